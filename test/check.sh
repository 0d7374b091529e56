#!/bin/sh
# Runs every unit test and every scenario of the build folder $1, prints the
# failing ones and a closing line.  Tests named in KNOWN-RED.txt are printed
# and passed over.
build=$1
passed=0
failed=0
red=0
known_red () {
  [ -f KNOWN-RED.txt ] && grep -q "^$1:" KNOWN-RED.txt
}
run () {
  name=$1
  shift
  log=$build/log-$name.txt
  if "$@" > "$log" 2>&1; then
    passed=$((passed + 1))
    known_red "$name" && echo "$name: listed in KNOWN-RED.txt, but passed"
  elif known_red "$name"; then
    red=$((red + 1))
    echo "KNOWN RED $(grep "^$name:" KNOWN-RED.txt)"
  else
    failed=$((failed + 1))
    echo "FAILED $name, its log's last lines:"
    tail -n 40 "$log"
  fi
}
for test in "$build"/test_* "$build"/api_test_*; do
  [ -x "$test" ] && [ -f "$test" ] && run "$(basename "$test")" "$test"
done
for scenario in test/scenarios/*.scn; do
  [ -f "$scenario" ] && [ -x "$build/tool_scenario" ] \
    && run "$(basename "$scenario" .scn)" "$build/tool_scenario" "$scenario"
done
echo "$passed passed, $failed failed, $red skipped"
[ "$failed" -eq 0 ]
