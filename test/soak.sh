#!/bin/sh
# Runs the seeded scenarios of the build folder $1 with COUNT seeds starting at
# SEED.  Prints failing seeds and keeps their files.
build=$1
first=${SEED:-1}
count=${COUNT:-100}
at_once=${CHECK_JOBS:-4}
failed=$build/soak-failed

: > "$failed"
for scenario in $(grep -l '^-- seeds: ' test/scenarios/*.scn); do
  seq "$first" $((first + count - 1)) | xargs -P "$at_once" -I SEED sh -c '
    log=$2/soak-$(basename "$1" .scn)-SEED.log
    if "$2/tool_scenario" --seed SEED "$1" > "$log" 2>&1; then
      rm "$log"
    else
      echo "$1 seed SEED: $log" | tee -a "$3"
    fi' soak "$scenario" "$build" "$failed"
done
echo "$(wc -l < "$failed") failed of $count seeds from $first"
[ ! -s "$failed" ]
