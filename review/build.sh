#!/bin/sh
# Builds the stand-ins of the cases into target/review.  Needs a C compiler.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
flags="-std=gnu11 -D_GNU_SOURCE -O2 -Wall -Wextra -pthread -Ireview/standin"
# shellcheck disable=SC2086
for program in review/standin/replica.c review/[0-9]/client_*.c; do
  [ -f "$program" ] || continue
  ${CC:-cc} $flags -o "target/review/$(basename "$program" .c)" "$program" \
    review/standin/net.c
done
