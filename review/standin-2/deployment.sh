# Functions of the cases of the second review: a small deployment of three
# regions on loopback addresses.  To be sourced by run.sh, which sets CASE to
# its folder.  The settings are what deploy/entry.ini and deploy/keeper.ini
# give for the bounds of sites/huon-labels.toml.

ROOT=$(cd "$CASE/../.." && pwd)
STANDIN=$ROOT/build-review-2/standin
RECORD=$CASE/record.txt
TROUBLE=${TROUBLE:-1}
LINK_PORT=7660
pids=

no_case () {
  echo "can't run: $1" | tee -a "$RECORD"
  exit 2
}

cleanup () {
  for pid in $pids; do
    kill -CONT "$pid" 2> /dev/null
    kill -KILL "$pid" 2> /dev/null
  done
  for pid in $pids; do
    wait "$pid" 2> /dev/null
  done
  rm -rf "$WORK"
}

begin () {
  : > "$RECORD"
  WORK=$(mktemp -d) || exit 2
  trap cleanup EXIT
  trap 'exit 2' INT TERM
  [ -x "$ROOT/target/marjoramd" ] || no_case "target/marjoramd is missing"
  [ -x "$STANDIN" ] || no_case "run review/build-2.sh first"
  set -- $(od -An -N2 -tu1 /dev/urandom)
  NET=127.$((64 + $1 % 60)).$((1 + $2 % 250))
  note "trouble=$TROUBLE net=$NET"
}

note () {
  echo "$("$STANDIN" now) $1" >> "$RECORD"
}

# NAME COMMAND...: starts a process; its id is then in LAST.
launch () {
  name=$1
  shift
  "$@" >> "$WORK/$name.log" 2>&1 &
  LAST=$!
  pids="$pids $LAST"
  eval "pid_$name=$LAST"
}

zones () {
  printf '\n[zones]\nz-a = ra\nz-b = rb\nz-c = rc\n'
}

# NAME IP REGION-LETTER yes|no: a keeper; FIRST says whether the whole system
# starts for the first time.
start_keeper () {
  mkdir -p "$WORK/$1.data"
  {
    printf '[gateway]\nrole = keeper\nname = core-%s\nip = %s\n' "$1" "$2"
    printf 'zone = z-%s\nregion = r%s\ndata_folder = %s\n' "$3" "$3" \
      "$WORK/$1.data"
    printf 'first_start = %s\n\n[listen]\nlink = %s:%s\n' "$4" "$2" \
      "$LINK_PORT"
    printf 'metrics = %s:7661\ncontrol = %s:8146\nlookup = %s:8145\n' \
      "$2" "$2" "$2"
    printf '\n[limits]\ndisk_losses = 1\nrepair_within_s = 4\n'
    printf '\n[seeds]\nkeepers = %s\n' "$SEEDS"
    zones
  } > "$WORK/$1.ini"
  start_daemon "$1"
}

# NAME IP REGION-LETTER yes|no LINK-PORT: an entry host.
start_entry () {
  {
    printf '[gateway]\nrole = entry\nname = edge-%s\nip = %s\n' "$1" "$2"
    printf 'zone = z-%s\nregion = r%s\nfirst_start = %s\n' "$3" "$3" "$4"
    printf '\n[listen]\nlink = %s:%s\nmetrics = %s:7661\n' "$2" "$5" "$2"
    printf 'entry = %s:8144\nready = %s:8140\n' "$2" "$2"
    printf '\n[limits]\nrepeat_ratio = 0.2\nrepeat_allowance = 58\n'
    printf 'repeat_window_ms = 10000\ndrain_limit_ms = 8000\n'
    printf 'memory_mb = 260\n\n[load]\n'
    printf 'terms = base,drain,config,cost,retry,recover,engine,stream,places\n'
    printf '\n[seeds]\nkeepers = %s\n' "$SEEDS"
    zones
  } > "$WORK/$1.ini"
  start_daemon "$1"
}

# The command of deploy/system.toml.
start_daemon () {
  cd "$ROOT" || exit 2
  launch "$1" target/marjoramd --settings "$WORK/$1.ini"
}

# VERSION SERVICE FILE: writes a configuration whose route goes to SERVICE.
write_config () {
  cat > "$3" << EOF
{"version":$1,"routes":[{"name":"r-panel","host":"a.example","path_prefix":"/panel/","kind":"non_idempotent","timeout_ms":4000,"target_latency_ms":400,"priority":2,"service":"$2","max_attempts":1,"home_regions":[]}],"services":[{"name":"panel-old","health_path":"/health","max_connections":110,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0},{"name":"panel-new","health_path":"/health","max_connections":110,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}
EOF
}
