#!/bin/bash
# Case 2: see claim.txt.  Exits with 1 if the rule was broken, 0 if it held, 2
# if the case couldn't run.
HERE=$(cd "$(dirname "$0")" && pwd)
. "$HERE/../standin/deployment.sh"
export TROUBLE
for program in "$ROOT/target/marjoramd" "$BIN/replica" "$BIN/client_2"; do
  [ -x "$program" ] || exit 2
done
start_hosts
for r in 1 2 3; do
  start_replica "board-$r" board-app $r 1 6 15
done
timeout 110 "$BIN/client_2" "$(keeper_ip 1):$CONTROL" \
  "$(keeper_ip 2):$CONTROL" "$(keeper_ip 3):$CONTROL"
result=$?
say "result $result"
[ $result -le 1 ] || exit 2
exit $result
