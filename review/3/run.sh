#!/bin/bash
# Case 3: see claim.txt.  Exits with 1 if the rule was broken, 0 if it held, 2
# if the case couldn't run.
HERE=$(cd "$(dirname "$0")" && pwd)
. "$HERE/../standin/deployment.sh"
export TROUBLE
for program in "$ROOT/target/marjoramd" "$BIN/replica" "$BIN/client_3"; do
  [ -x "$program" ] || exit 2
done
start_hosts
for r in 1 2 3; do
  start_replica "board-$r" board-app $r 1 6 100
done
timeout 90 "$BIN/client_3" "$(keeper_ip 1):$CONTROL" \
  "$(entry_ip 1 1):$FRONT" "$(entry_ip 1 2):$FRONT" \
  "$(entry_ip 2 1):$FRONT" "$(entry_ip 3 1):$FRONT"
result=$?
say "result $result"
[ $result -le 1 ] || exit 2
exit $result
