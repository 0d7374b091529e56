#!/bin/sh
# Mutation testing: applies each patch of test/mutants/ to a scratch copy of
# the tree, builds it with sanitizers and runs the test named in the patch's
# first line, "# test: NAME".  The test must pass without the patch and fail
# with it.  Arguments select patches.  A patch that no longer applies is an
# error.
set -u
scratch=$(mktemp -d /tmp/marjoram-mutants-XXXXXX)
trap 'rm -rf "$scratch"' EXIT
jobs=${JOBS:-4}
killed=0
wrong=0

build () {
  if [ -f "test/$1.c" ]; then
    targets=$1
  elif [ -f "api_test/$1.c" ]; then
    targets=$1
  else
    targets="marjoramd marjoramctl fake_engine fake_flood fake_replica tool_scenario \
      tool_promises"
  fi
  # shellcheck disable=SC2086
  make -C "$scratch/build-san" -j"$jobs" $targets > "$scratch/build.log" 2>&1
}

run () {
  if [ -x "$scratch/build-san/$1" ]; then
    (cd "$scratch" && "build-san/$1")
  else
    seed=$(echo "$1" | sed -n 's/.*-\([0-9][0-9]*\)$/\1/p')
    scenario=$1
    [ -f "test/scenarios/$scenario.scn" ] || scenario=${1%-*}
    (cd "$scratch" && build-san/tool_scenario --seed "${seed:-1}" \
      "test/scenarios/$scenario.scn")
  fi > "$scratch/run.log" 2>&1
}

first_failing_line () {
  grep -m1 -E ':[FE]:|\.scn:[0-9]+:|prelude\.lua:[0-9]+:|Sanitizer|runtime error|FAIL' \
    "$scratch/run.log" || tail -n 1 "$scratch/run.log"
}

complain () {
  wrong=$((wrong + 1))
  echo "WRONG $1: $2"
}

try () {
  patch=$1
  name=$(basename "$patch" .patch)
  test=$(sed -n '1s/^# test: *//p' "$patch")
  if [ -z "$test" ]; then
    complain "$name" "first line does not name a test"
    return
  fi
  if ! build "$test" || ! run "$test"; then
    complain "$name" "$test fails without the patch: $(first_failing_line)"
    return
  fi
  if ! patch -d "$scratch" -p1 -s --fuzz=0 --dry-run < "$patch" > /dev/null; then
    complain "$name" "patch does not apply"
    return
  fi
  patch -d "$scratch" -p1 -s --fuzz=0 < "$patch"
  if ! build "$test"; then
    complain "$name" "does not build: $(grep -m1 error: "$scratch/build.log")"
  elif run "$test"; then
    complain "$name" "survived $test"
  else
    killed=$((killed + 1))
    echo "killed $name by $test: $(first_failing_line)"
  fi
  patch -d "$scratch" -p1 -s -R --fuzz=0 < "$patch"
}

tar -c --exclude=./build --exclude=./build-san --exclude=./.git . \
  | tar -x -C "$scratch"
cmake -S "$scratch" -B "$scratch/build-san" -DMARJORAM_SANITIZE=ON > /dev/null
if [ $# -eq 0 ]; then
  set -- $(find test/mutants -name '*.patch' | sort)
fi
for patch in "$@"; do
  if [ -f "$patch" ]; then
    try "$patch"
  else
    complain "$patch" "no such file"
  fi
done
echo "$killed killed, $wrong wrong"
[ "$wrong" -eq 0 ]
