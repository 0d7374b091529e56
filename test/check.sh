#!/bin/sh
# Runs all unit tests and scenarios of the build folder $1 in parallel and
# prints failures and a summary.  A scenario whose first line is "-- seeds: N"
# runs with seeds 1 to N and those of a line "-- and seeds that once failed: N
# N".  Failures listed in KNOWN-RED.txt are printed but do not fail the run if
# their log has the recorded message.
build=$1
at_once=${CHECK_JOBS:-4}
results=$build/results
passed=0
failed=0
red=0

listed_red () {
  [ -f KNOWN-RED.txt ] && grep -q "^$1:" KNOWN-RED.txt
}

# Whether the log of test $1 contains one of the messages, in double quotes,
# that its entries in KNOWN-RED.txt record.
known_red () {
  listed_red "$1" || return 1
  grep "^$1:" KNOWN-RED.txt | grep -o '"[^"]*"' | tr -d '"' \
    > "$results/$1.recorded"
  [ -s "$results/$1.recorded" ] \
    && grep -q -F -f "$results/$1.recorded" "$results/$1.log"
}

# Prints one line per test: name and command.
list () {
  for test in "$build"/test_* "$build"/api_test_*; do
    [ -x "$test" ] && [ -f "$test" ] && echo "$(basename "$test") $test"
  done
  for scenario in test/scenarios/*.scn; do
    [ -f "$scenario" ] && [ -x "$build/tool_scenario" ] || continue
    name=$(basename "$scenario" .scn)
    seeds=$(sed -n '1s/^-- seeds: \([0-9]*\)$/\1/p' "$scenario")
    if [ -z "$seeds" ]; then
      echo "$name $build/tool_scenario $scenario"
      continue
    fi
    also=$(sed -n 's/^-- and seeds that once failed: \(.*\)$/\1/p' "$scenario")
    for seed in $(seq "$seeds") $also; do
      echo "$name-$seed $build/tool_scenario --seed $seed $scenario"
    done
  done
}

report () {
  if [ "$(cat "$results/$1.status" 2> /dev/null)" = 0 ]; then
    passed=$((passed + 1))
    listed_red "$1" && echo "$1: listed in KNOWN-RED.txt, but passed"
  elif known_red "$1"; then
    red=$((red + 1))
    echo "KNOWN RED $(grep "^$1:" KNOWN-RED.txt)"
  else
    failed=$((failed + 1))
    echo "FAILED $1, its log's last lines:"
    tail -n 40 "$results/$1.log"
  fi
}

rm -rf "$results"
mkdir -p "$results"
list > "$results/list"
xargs -P "$at_once" -L 1 sh -c '
  results=$0
  name=$1
  shift
  "$@" > "$results/$name.log" 2>&1
  echo $? > "$results/$name.status"' "$results" < "$results/list"
while read -r name command; do
  report "$name"
done < "$results/list"
echo "$passed passed, $failed failed, $red skipped"
[ "$failed" -eq 0 ]
