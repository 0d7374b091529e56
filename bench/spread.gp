# From accepted to in force everywhere, and the bytes of control, by hosts.
set terminal svg size 720,300 font "sans,11"
set output out
set multiplot layout 1,2
set xlabel "hosts"
set xrange [0:80]
set yrange [0:*]
set key top left
set title "accepted to in force on all hosts, ms"
plot "< grep '^accepted_to_everywhere_median' ".data using 2:3 with linespoints title "median", \
     "< grep '^accepted_to_everywhere_worst' ".data using 2:3 with linespoints title "worst"
set title "control, bytes a second and host"
plot "< grep '^control_idle_bytes_mean' ".data using 2:3 with linespoints title "idle, mean", \
     "< grep '^control_idle_bytes_worst' ".data using 2:3 with linespoints title "idle, worst", \
     "< grep '^control_changing_bytes_mean' ".data using 2:3 with linespoints title "50 times the changes, mean"
unset multiplot
