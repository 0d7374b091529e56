#!/bin/sh
# Generates docs/MEASUREMENTS.md and its plots from the output of "make bench"
# in bench/raw.
set -e
page=docs/MEASUREMENTS.md
mkdir -p docs/plots
{
  echo "# Measurements"
  echo
  echo "Made by \`make report\` from the raw lines in bench/raw/, which"
  echo "\`make bench\` leaves there. Where a row has three values they are the"
  echo "minimum, median and maximum over seeds. All on one machine over"
  echo "loopback; figures of a busy machine are marked in the raw files."
  for raw in bench/raw/*.txt; do
    name=$(basename "$raw" .txt)
    echo
    echo "## $name"
    echo
    sed -n 's/^# //p' "$raw"
    echo
    awk -f bench/table.awk "$raw"
    [ -f "bench/$name.gp" ] && printf '\n![%s](plots/%s.svg)\n' "$name" "$name"
  done
} > "$page"
for plot in bench/*.gp; do
  name=$(basename "$plot" .gp)
  [ -f "bench/raw/$name.txt" ] || continue
  awk '/^metric=/ { for (i = 1; i <= NF; i++) { split($i, f, "="); v[f[1]] = f[2] }
       print v["metric"], v["hosts"] == "" ? "-" : v["hosts"], v["value"],
         v["baseline"] + 0 == 0 ? 0 : v["value"] / v["baseline"], v["seed"] }' "bench/raw/$name.txt" \
    > /tmp/plot-$$.txt
  gnuplot -e "data='/tmp/plot-$$.txt'; out='docs/plots/$name.svg'" "$plot"
  rm -f /tmp/plot-$$.txt
done
echo "wrote $page"
