# The router against the best plain policy of the same run, seed 2: ratios, less
# is better.
set terminal svg size 760,420 font "sans,11"
set output out
set style data histograms
set style fill solid 0.7
set yrange [0:1.2]
set ylabel "ratio to the best plain policy"
set xtics rotate by -30
set key top right
set grid ytics
filter(name) = sprintf("< grep '\\.%s ' %s | awk '$5 == 2' | sort -u -k1,1 | sed 's/\\.%s / /'", name, data, name)
plot filter("p99") using 4:xtic(1) title "p99", \
     filter("first99") using 4 title "p99 of the first token", \
     filter("prefill_tokens") using 4 title "prefill tokens", \
     filter("outside_home") using 4 title "outside home"
