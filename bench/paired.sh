#!/bin/sh
# Runs the same days with the same seeds on a copy of the tree, for a paired
# comparison of two versions of the code:
#   FLEETBENCH=PROGRAM bench/paired.sh TREE SITE "DAY..." "SEED..." WHY > OUT
#   bench/paired.sh compare BEFORE AFTER
# Prints one line per run: day, seed, score, broken rules.  Runs JOBS processes
# in parallel.
set -eu

compare ()
{
  awk 'NR == FNR { before[$1 " " $2] = $3; next }
       ($1 " " $2) in before {
         d = $3 - before[$1 " " $2]; sum += d; sum_squares += d * d; n++
         before_sum += before[$1 " " $2]; after_sum += $3
         by[$1] += d; count[$1]++
       }
       END {
         mean = sum / n; error = sqrt ((sum_squares / n - mean * mean) / n)
         printf "before %.3f after %.3f change %+.3f standard error %.3f pairs %d\n",
                before_sum / n, after_sum / n, mean, error, n
         for (day in by)
           printf "  %s %+.3f\n", day, by[day] / count[day]
       }' "$1" "$2"
}

run_one ()
{
  "$FLEETBENCH" run "$1" "$2" --seed "$3" --no-cpu --jobs 1 --why "$4" 2>&1 \
    | awk -v day="$2" -v seed="$3" '
        $2 ~ /^[0-9]+\/[0-9]+$/ { score = $4 }
        /^rules broken/ { broken = substr ($0, 15) }
        END { print day, seed, score, broken }'
}

if [ "$1" = compare ]; then
  compare "$2" "$3"
  exit
fi
if [ "$1" = run_one ]; then
  shift
  run_one "$@"
  exit
fi
self=$(realpath "$0")
cd "$1"
"$FLEETBENCH" build > /dev/null
for seed in $4; do
  for day in $3; do
    printf '%s\0%s\0%s\0%s\0' "$2" "$day" "$seed" "$5"
  done
done | xargs -0 -n 4 -P "${JOBS:-4}" "$self" run_one | sort
