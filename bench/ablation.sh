#!/bin/sh
# Measures the contribution of each mechanism: runs the same days and seeds
# with one mechanism disabled at a time, by setting its constant in a copy of
# the tree.
#   FLEETBENCH=PROGRAM bench/ablation.sh FOLDER SITE "DAY..." "SEED..."
# FOLDER keeps one result file per mechanism, so that an interrupted run can be
# resumed.
set -eu

# NAME  FILE  CONSTANT  VALUE THAT DISABLES IT
mechanisms='
queue             src/gateway_wait.c       QUEUE_MAX           0
queue-ranks       src/wait_queue.c         PRIORITY_STEP_MS    0
backlog-bound     src/placement_choose.c   BACKLOG_MAX_MS      100000
prompt-harm       src/placement_choose.c   INTERFERENCE_WEIGHT 0.0
read-weight       src/placement_choose.c   READ_WEIGHT         1.0
failure-share     src/placement_choose.c   FAILURE_WEIGHT      0.0
second-best       src/placement_choose.c   DEADLINE_COST_MS    0
part-spread       src/placement_choose.c   TIE_BREAKER_MS      1
lateness-learned  src/placement.c          DELAY_SMOOTHING     0.0
copies            src/placement_copy.c     COPY_TOKENS_MIN     1000000000
crossing          src/gateway_forward.c    REGION_RTT_MS       1000000000
young-wait        src/gateway.c            STARTUP_WAIT_MS     0
survey            src/entry_role.c         SURVEY_PERIOD_MS    -1
leaving-zones     src/leaving_zones.c      LEAVING_PERIOD_MS   0
shortages         src/shortage.c           RETRY_MAX_MS        0
silence           src/gateway_answer.c     STREAM_IDLE_MS      1000000000
'

here=$(dirname "$(realpath "$0")")
tree=$(dirname "$here")
out=$1
mkdir -p "$out"

# Copies the sources to $1 and sets CONSTANT ($3) of FILE ($2) to VALUE ($4).
# Preserves timestamps for incremental builds, and touches the file that the
# previous mechanism changed, so that it is rebuilt.
make_copy ()
{
  mkdir -p "$1/journal"
  rm -rf "$1/src" "$1/platform" "$1/deploy"
  cp -rp "$tree/src" "$tree/platform" "$tree/deploy" "$tree/CMakeLists.txt" \
    "$tree/Makefile" "$1"
  [ ! -f "$1/changed" ] || touch "$1/$(cat "$1/changed")"
  echo "${2:-CMakeLists.txt}" > "$1/changed"
  [ -d "$1/.git" ] || git -C "$1" init -q
  [ -n "${2:-}" ] || return 0
  grep -Eq "(#define|^ +) ?$3( =)? " "$1/$2" || {
    echo "ablation: no constant $3 in $2; update the list" >&2
    exit 1
  }
  sed -E -i "s/^(#define $3) .*/\1 $4/; s/^( +$3 =) [^,]*/\1 $4/" "$1/$2"
}

run_mechanism ()
{
  [ -s "$out/$1" ] && return 0
  "$here/paired.sh" "$out/copy" "$2" "$3" "$4" "Ablation: $1" > "$out/$1.new"
  mv "$out/$1.new" "$out/$1"
}

make_copy "$out/copy"
run_mechanism all-on "$2" "$3" "$4"
echo "$mechanisms" | while read -r name file constant value; do
  [ -n "$name" ] || continue
  make_copy "$out/copy" "$file" "$constant" "$value"
  run_mechanism "$name" "$2" "$3" "$4"
  printf '%-17s ' "$name"
  "$here/paired.sh" compare "$out/all-on" "$out/$name" | head -1
done
