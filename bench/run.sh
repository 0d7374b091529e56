#!/bin/sh
# Runs every bench program and bench scenario of the build folder $1; each
# prints lines "metric=NAME value=N unit=U baseline=N baseline_name=...".
# Arguments after $1 name single ones.
build=$1
shift
status=0
for bench in "$build"/bench_*; do
  name=$(basename "$bench")
  [ -x "$bench" ] && [ -f "$bench" ] || continue
  [ $# -eq 0 ] || echo " $* " | grep -q " $name " || continue
  "$bench" || { status=1; echo "FAILED $name"; }
done
for bench in bench/*.scn; do
  name=$(basename "$bench" .scn)
  [ -f "$bench" ] || continue
  [ $# -eq 0 ] || echo " $* " | grep -q " $name " || continue
  "$build/tool_scenario" --prelude test/scenarios "$bench" \
    || { status=1; echo "FAILED $name"; }
done
exit $status
