# A small deployment like izba-boards on loopback: three regions of one zone
# each, with a keeper and HOSTS entry hosts (2 by default), and the stand-ins'
# replicas.  To be sourced by a script that has set HERE, its folder.  Settings
# follow the templates deploy/entry.ini and deploy/keeper.ini.

ROOT=$(cd "$HERE/../.." && pwd)
BIN=$ROOT/target/review
TMP=$(mktemp -d)
export RECORD=$HERE/record.txt
export START_MS
START_MS=$(awk '{ printf "%d", $1 * 1000 }' /proc/uptime)
TROUBLE=${TROUBLE:-1}
ZONES="ba-hall-a za-hall-a ke-hall-a"
REGIONS="bratislava zilina kosice"
HOSTS=${HOSTS:-2}
NET=127.$((1 + $$ % 199)).$((RANDOM % 250))
PORT=$((20000 + RANDOM % 9000))
CONTROL=$((PORT + 2))
FRONT=$((PORT + 4))
READY=$((PORT + 5))
REPLICA=$((PORT + 6))
SEEDS=$NET.1:$CONTROL,$NET.2:$CONTROL,$NET.3:$CONTROL
PIDS=
: > "$RECORD"

say () {
  printf '%9.3f %s\n' "$(awk -v s="$START_MS" '{ print $1 - s / 1000 }' \
    /proc/uptime)" "$*" >> "$RECORD"
}

# Ends the processes that this script started.
stop_all () {
  for pid in $PIDS; do kill -TERM "$pid" 2> /dev/null; done
  for pid in $PIDS; do wait "$pid" 2> /dev/null; done
  if [ -n "${KEEP:-}" ]; then cp -r "$TMP" "$KEEP"; fi
  rm -rf "$TMP"
}
trap stop_all EXIT
trap 'exit 2' INT TERM

zone_of () { echo "$ZONES" | cut -d' ' -f"$1"; }
region_of () { echo "$REGIONS" | cut -d' ' -f"$1"; }
keeper_ip () { echo "$NET.$1"; }
# Address of entry host $2 of region $1.
entry_ip () { echo "$NET.$(($1 * 20 + $2))"; }

# NAME IP ROLE REGION-INDEX: prints settings; first_start is in $FIRST.
settings () {
  printf '[gateway]\nrole = %s\nname = %s\nip = %s\nzone = %s\nregion = %s\n' \
    "$3" "$1" "$2" "$(zone_of "$4")" "$(region_of "$4")"
  printf 'first_start = %s\n' "$FIRST"
  [ "$3" = entry ] || printf 'data_folder = %s/data-%s\n' "$TMP" "$1"
  printf '[listen]\nlink = %s:%s\nmetrics = %s:%s\n' "$2" "$PORT" "$2" \
    $((PORT + 1))
  if [ "$3" = entry ]; then
    printf 'entry = %s:%s\nready = %s:%s\n' "$2" "$FRONT" "$2" "$READY"
    printf '[limits]\nrepeat_ratio = 0.2\nrepeat_allowance = 58\n'
    printf 'repeat_window_ms = 10000\ndrain_limit_ms = 8000\n'
    printf '[load]\nterms = base,drain,config,cost,retry,recover,engine,'
    printf 'stream,places\n'
  else
    printf 'control = %s:%s\nlookup = %s:%s\n' "$2" "$CONTROL" "$2" \
      $((PORT + 3))
    printf '[limits]\ndisk_losses = 1\n'
  fi
  printf '[seeds]\nkeepers = %s\n[zones]\n' "$SEEDS"
  printf 'ba-hall-a = bratislava\nza-hall-a = zilina\nke-hall-a = kosice\n'
}

# Runs a daemon as the platform does: one that ends is started again after a
# short delay.
supervise () {
  name=$1
  child=
  trap 'kill -TERM $child 2> /dev/null; wait $child 2> /dev/null; exit 0' TERM
  FIRST=yes
  while :; do
    settings "$@" > "$TMP/$name.ini"
    (cd "$ROOT" && exec target/marjoramd --settings "$TMP/$name.ini") \
      >> "$TMP/$name.log" 2>&1 &
    child=$!
    wait "$child" 2> /dev/null
    say "process $name has ended by itself, status $?"
    sleep 0.5
    FIRST=no
  done
}

start_hosts () {
  for r in 1 2 3; do
    mkdir -p "$TMP/data-keeper-$r"
    supervise "keeper-$r" "$(keeper_ip $r)" keeper $r &
    PIDS="$PIDS $!"
    for h in $(seq 1 "$HOSTS"); do
      supervise "entry-$r-$h" "$(entry_ip $r "$h")" entry $r &
      PIDS="$PIDS $!"
    done
  done
}

# NAME SERVICE REGION-INDEX NUMBER SLOTS WORK-MS
start_replica () {
  "$BIN/replica" "$1" "$2" "$(zone_of "$3")" \
    "$NET.$((100 + $3 * 20 + $4)):$REPLICA" "$5" "$6" \
    "$(keeper_ip "$3"):$CONTROL" "$(keeper_ip 1):$CONTROL" \
    "$(keeper_ip 2):$CONTROL" &
  PIDS="$PIDS $!"
}
