#!/bin/sh
# What each deciding mechanism is worth: plays the same days and seeds with each
# of them switched off alone, by setting its constant on a copy of the tree.
#   FLEETBENCH=PROGRAM bench/ablation.sh FOLDER SITE "DAY..." "SEED..."
# Results stay in FOLDER, a file for each mechanism, so that a run that was
# ended goes on where it stopped.
set -eu

# NAME  FILE  CONSTANT  VALUE THAT SWITCHES IT OFF
mechanisms='
queue             src/gateway_wait.c       WAITERS_MAX         0
queue-ranks       src/wait_queue.c         RANK_MS             0
backlog-bound     src/placement_choose.c   BACKLOG_MAX_MS      100000
prompt-harm       src/placement_choose.c   PROMPT_HARM         0.0
read-weight       src/placement_choose.c   READ_WEIGHT         1.0
failure-share     src/placement_choose.c   FAILURE_WEIGHT      0.0
second-best       src/placement_choose.c   SECOND_BEST_MS      0
part-spread       src/placement_choose.c   SPREAD_MS           1
lateness-learned  src/placement.c          LEARN_LATE          0.0
copies            src/placement_copy.c     COPY_TOKENS_MIN     1000000000
crossing          src/gateway_send.c       CROSSING_MS         1000000000
young-wait        src/gateway.c            YOUNG_WAIT_MS       0
survey            src/entry_role.c         SURVEY_MS           -1
leaving-zones     src/leaving_zones.c      LEAVING_MS          0
shortages         src/shortage.c           AGAIN_MAX_MS        0
silence           src/gateway_answer.c     STREAM_SILENT_MS    1000000000
'

here=$(dirname "$(realpath "$0")")
tree=$(dirname "$here")
out=$1
mkdir -p "$out"

# Copies the sources, and sets CONSTANT ($3) of FILE ($2) to VALUE ($4).  Times
# are kept, so that little is built anew; the file that was changed before and
# is restored now must be.
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
    echo "ablation: no constant $3 in $2; mend the list" >&2
    exit 1
  }
  sed -E -i "s/^(#define $3) .*/\1 $4/; s/^( +$3 =) [^,]*/\1 $4/" "$1/$2"
}

play ()
{
  [ -s "$out/$1" ] && return 0
  "$here/paired.sh" "$out/copy" "$2" "$3" "$4" "Ablation: $1" > "$out/$1.new"
  mv "$out/$1.new" "$out/$1"
}

make_copy "$out/copy"
play all-on "$2" "$3" "$4"
echo "$mechanisms" | while read -r name file constant value; do
  [ -n "$name" ] || continue
  make_copy "$out/copy" "$file" "$constant" "$value"
  play "$name" "$2" "$3" "$4"
  printf '%-17s ' "$name"
  "$here/paired.sh" compare "$out/all-on" "$out/$name" | head -1
done
