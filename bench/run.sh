#!/bin/sh
# Runs the benchmark programs of the build folder $1 and the benchmark
# scenarios, or only those named by further arguments.  Each prints lines
# "metric=NAME value=N unit=U baseline=N baseline_name=...", which are also
# saved in bench/raw.  A scenario with a line "-- sizes: NAME N N" is run
# once per N, with NAME=N in the environment; "-- limit: N" sets its time limit
# in seconds.
build=$1
shift
status=0
mkdir -p bench/raw

selected () {
  name=$1
  shift
  [ $# -eq 0 ] || echo " $* " | grep -q " $name "
}

run_and_save () {
  raw=bench/raw/$1.txt
  shift
  { echo "# $(date -u +%Y-%m-%d), load average $(cut -d' ' -f1 /proc/loadavg)," \
         "command: $*"; "$@"; } > "$raw.part" 2> "$raw.err" || return 1
  cat "$raw.part" >> "$raw"
  grep '^metric=' "$raw.part"
  rm -f "$raw.part" "$raw.err"
}

for bench in "$build"/bench_*; do
  name=$(basename "$bench")
  [ -x "$bench" ] && [ -f "$bench" ] || continue
  selected "$name" "$@" || continue
  rm -f "bench/raw/$name.txt"
  run_and_save "$name" "$bench" || { status=1; echo "FAILED $name"; }
done
for bench in bench/*.scn; do
  name=$(basename "$bench" .scn)
  [ -f "$bench" ] || continue
  selected "$name" "$@" || continue
  rm -f "bench/raw/$name.txt"
  sizes=$(sed -n 's/^-- sizes: //p' "$bench")
  variable=${sizes%% *}
  for size in ${sizes#* }; do
    run_and_save "$name" env "$variable=$size" "$build/tool_scenario" \
      --prelude test/scenarios "$bench" || { status=1; echo "FAILED $name $size"; }
  done
  limit=$(sed -n "s/^-- limit: //p" "$bench")
  [ -n "$sizes" ] || run_and_save "$name" "$build/tool_scenario" \
    --limit "${limit:-120}" --prelude \
    test/scenarios "$bench" || { status=1; echo "FAILED $name"; }
done
exit $status
