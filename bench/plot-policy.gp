# Plots bench/results/policy.csv: gnuplot bench/plot-policy.gp (from the root).
set datafile separator ","
set terminal svg size 900,420 dynamic
set output "bench/results/policy.svg"
set multiplot layout 1,2
set key bottom left
set xlabel "load, of the capacity"
set ylabel "goodput, requests/s"
set yrange [0:*]
policies = "round_robin least_in_flight optimistic two_choices static_slots home oracle"
do for [d in "qureshi tesfaye"] {
  set title d.", calm"
  plot for [p in policies] "< grep '^".d.",".p.",.*,calm,' bench/results/policy.csv" \
    using 3:11 with linespoints title p noenhanced
}
unset multiplot
