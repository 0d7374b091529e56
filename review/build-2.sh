#!/bin/sh
# Builds the stand-ins of the cases of the second review, into build-review-2.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build-review-2
cc -std=c11 -O2 -g -Wall -Wextra -Werror -o build-review-2/standin \
  review/standin-2/standin.c -lpthread
