#!/bin/sh
# Demonstration on loopback addresses: starts two regions of three entry hosts
# each with fake upstreams, applies a configuration, sends requests and
# simulates a partition between the regions.  Stops all started processes on
# exit.
set -eu
build=$1
run=build/demo
hosts="ba-1-a ba-1-b ba-1-c ke-1-a ke-1-b ke-1-c"
pids=
shown=3

cleanup () {
  for pid in $pids; do
    kill "$pid" 2> /dev/null || :
  done
  for pid in $pids; do
    wait "$pid" 2> /dev/null || :
  done
}
trap cleanup EXIT
trap 'exit 1' INT TERM

say () {
  printf '\n== %s\n' "$1"
}

launch () {
  log=$run/$1.log
  shift
  "$@" > "$log" 2>&1 &
  last=$!
  pids="$pids $last"
}

ctl () {
  "$build/marjoramctl" --settings examples/demo/ba-1-a.ini "$@"
}

# Prints LISTEN=TARGET for a relay from each host to each host of the other
# region, matching [peers] in the settings.
links () {
  from=0
  for region in 1 2; do
    other=$((3 - region))
    for _ in 1 2 3; do
      from=$((from + 1))
      for to in 1 2 3; do
        port=$((7000 + (other - 1) * 3 + to))
        echo "127.5.3.$from:$port=127.5.$other.$to:7000"
      done
    done
  done
}

# NAME ZONE ADDRESS FIRST-ENTRY OPTIONS...
upstream () {
  name=$1 zone=$2 address=$3 entries=$4
  shift 4
  launch "$name" "$build/fake_engine" --name "$name" --zone "$zone" \
    --listen "$address" --entry "$entries" --history "$run/history" "$@"
}

# TOKEN HOST PATH BODY [CURL-OPTION...]: sends a request and prints the
# outcome, the upstream and the response.
ask () {
  token=$1 host=$2 path=$3 body=$4
  shift 4
  curl -sS -m 20 -D "$run/head" -o "$run/body" "$@" \
    -H "Authorization: Bearer $token" -H 'Content-Type: application/json' \
    -d "$body" "http://$host:8080$path" || :
  tr -d '\r' < "$run/head" | awk -v host="$host" '
    tolower ($1) == "marjoram-outcome:" { outcome = $2 }
    tolower ($1) == "marjoram-reason:" { reason = $2 }
    tolower ($1) == "marjoram-upstream:" { upstream = $2 }
    tolower ($1) == "marjoram-zone:" { zone = $2 }
    tolower ($1) == "marjoram-replayed:" { replayed = ", replayed" }
    END { printf "entry host %s: %s (%s), upstream %s in %s%s\n", host,
          outcome, reason, upstream, zone, replayed }'
  cut -c 1-150 "$run/body" | sed '/^$/d' | head -n "$shown"
}

until_true () {
  tries=0
  until "$@" > /dev/null 2>&1; do
    tries=$((tries + 1))
    if [ "$tries" -gt 200 ]; then
      echo "timed out waiting for: $*; see $run/*.log" >&2
      exit 1
    fi
    sleep 0.1
  done
}

ready () {
  curl -sf -m 2 "http://$1:8080/readyz"
}

known () {
  curl -sf -m 5 -H "Authorization: Bearer $1" -d "$4" "http://$2:8080$3"
}

rm -rf "$run"
mkdir -p "$run"
"$build/marjoramctl" new-secret "$run/secret"
say "starting six entry hosts and their upstreams in two regions"
# shellcheck disable=SC2046
launch relay "$build/tool_relay" $(links)
relay=$last
for host in $hosts; do
  launch "$host" "$build/marjoramd" --settings "examples/demo/$host.ini"
done
ba=127.5.1.1:8080,127.5.1.2:8080,127.5.1.3:8080
ke=127.5.2.1:8080,127.5.2.2:8080,127.5.2.3:8080
upstream lm-ba ba-1 127.5.1.11:9100 $ba --works shift-summary
upstream lm-ke ke-1 127.5.2.11:9100 $ke --works shift-summary
upstream board-ba ba-1 127.5.1.12:9100 $ba --works board --service
upstream board-ke ke-1 127.5.2.12:9100 $ke --works board --service

say "applying examples/demo/site.ini"
ctl check examples/demo/site.ini
until_true ctl apply examples/demo/site.ini
for address in 127.5.1.1 127.5.1.2 127.5.1.3 127.5.2.1 127.5.2.2 127.5.2.3; do
  until_true ready $address
done

desk=front-desk-0123456789
bakery=bakery-0123456789
chat=/v1/chat/completions
summary='{"model":"shift-summary","max_tokens":8,"messages":[{"role":"user","content":"room 12 is clean"}]}'
streamed='{"model":"shift-summary","max_tokens":4,"stream":true,"messages":[{"role":"user","content":"room 14 is clean"}]}'
flip='{"room":12,"state":"clean"}'
until_true known $desk 127.5.1.1 $chat "$summary"
until_true known $bakery 127.5.2.3 $chat "$summary"

ctl status

say "an idempotent request"
ask $desk 127.5.1.1 $chat "$summary"
say "a streamed request"
shown=9
ask $desk 127.5.1.2 $chat "$streamed"
shown=3
say "a non-idempotent request, and its resend to another entry host"
prefix=$(curl -s http://127.5.1.3:8080/v1/entries \
  | sed -n 's/.*"key_prefix": *"\([^"]*\)".*/\1/p')
for host in 127.5.1.3 127.5.1.1; do
  ask $desk $host /v1/services/board/flip "$flip" \
    -H "Idempotency-Key: ${prefix}flip-1" -H 'Marjoram-Idempotent: no'
done
echo "runs of it: $(grep '"event":"start"' "$run/history" \
  | grep -c '"upstream":"board-')"

say "network partition between the regions; both keep serving"
kill -USR1 "$relay"
ask $desk 127.5.1.1 $chat "$summary"
ask $bakery 127.5.2.1 $chat "$summary"
prefix=$(curl -s http://127.5.2.2:8080/v1/entries \
  | sed -n 's/.*"key_prefix": *"\([^"]*\)".*/\1/p')
ask $bakery 127.5.2.2 /v1/services/board/flip "$flip" \
  -H "Idempotency-Key: ${prefix}flip-2" -H 'Marjoram-Idempotent: no'

say "partition healed; stopping all processes"
kill -USR2 "$relay"
