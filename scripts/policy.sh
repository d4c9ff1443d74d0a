#!/usr/bin/env bash
# Measures the decisions under load against a naive version and a bound:
# scripts/policy.sh [--scenario NAME] [--seed N | --seeds FROM:TO] [--json FILE] [--engines N --workspaces N --entries N]
#                   [--ablate MECHANISM]
# Prints one table and writes a plot to build/policy.svg. The exit status is 1 when a figure is short.
# JOBS sets the number of processes (default 4).
set -uo pipefail
source "$(dirname "$0")/common.sh"
build=${BERGAMOTTIDE_BUILD:-$root/build}
jobs=${JOBS:-4}
seeds=1:20
scenario=
json=
rest=()
while [ "$#" -gt 0 ]; do
    case $1 in
    --seed) seeds=$2:$2; shift 2 ;;
    --seeds) seeds=$2; shift 2 ;;
    --scenario) scenario=$2; shift 2 ;;
    --json) json=$2; shift 2 ;;
    --*=*) rest+=("$1"); shift ;;
    *) rest+=("$1=$2"); shift 2 ;;
    esac
done
cmake -S "$root" -B "$build" -G Ninja >/dev/null && cmake --build "$build" --target policy >/dev/null || exit 1

lines=$(mktemp)
trap 'rm -f "$lines" "$lines".*' EXIT
mapfile -t names < <("$build/policy" --list | grep -F -- "$scenario")
for name in "${names[@]}"; do
    for seed in $(seq "${seeds%%:*}" "${seeds##*:}"); do
        echo "$name $seed"
    done
done | xargs -P "$jobs" -L 1 bash -c '"$0" --scenario="$4" --from="$5" --to="$5" ${2:+$2} >"$1.$4.$5"' "$build/policy" "$lines" "${rest[*]-}" --
cat "$lines".* >"$lines"
"$build/policy" --merge="$lines" --json="$json" --data="$build/policy.dat"
code=$?
gnuplot <<PLOT
set terminal svg size 1400,900
set output "$build/policy.svg"
set style data histogram
set style fill solid 0.6
set xtics rotate by -45 right noenhanced font ",8"
set bmargin 16
set key outside top
set yrange [-10:110]
plot "$build/policy.dat" using 2:xtic(1) title "naive", "" using 3 title "median", "" using 4 title "worst", "" using 5 title "bound"
PLOT
exit "$code"
