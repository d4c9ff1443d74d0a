#!/usr/bin/env bash
# Hunts for runs that break a promise: scripts/explore.sh --seeds FROM:TO [--trace]
# or tries every placement of faults in the smallest case: scripts/explore.sh --faults N [--after_loss fetch|resubmit].
# JOBS sets the number of processes (default 4). The exit status is 1 when a run failed.
set -euo pipefail
source "$(dirname "$0")/common.sh"
build=${BERGAMOTTIDE_BUILD:-$root/build}
jobs=${JOBS:-4}
seeds=
faults=
rest=()
while [ "$#" -gt 0 ]; do
    case $1 in
    --seeds) seeds=$2; shift 2 ;;
    --faults) faults=$2; shift 2 ;;
    --replay | --after_loss) rest+=("$1=$2"); shift 2 ;;
    *) rest+=("$1"); shift ;;
    esac
done
cmake -S "$root" -B "$build" -G Ninja >/dev/null
cmake --build "$build" --target explore >/dev/null

if [ -n "$faults" ]; then
    shards=$((jobs * 4))
    seq 0 $((shards - 1)) | xargs -P "$jobs" -I{} "$build/explore" --faults="$faults" --shard={} --shards="$shards" "${rest[@]}" \
        | tee "$build/explore.log"
    awk '/^part/ {for (i = 1; i <= NF; i++) {if ($i == "runs,") runs += $(i - 1); if ($i == "choices,") choices += $(i - 1)
        if ($i == "states,") states += $(i - 1); if ($i == "failed,") failed += $(i - 1)}}
        END {print failed " failed, " runs " runs, " choices " choices, at most " states " states"}' "$build/explore.log"
elif [ -n "$seeds" ]; then
    from=${seeds%%:*}
    to=${seeds##*:}
    step=$(((to - from) / jobs + 1))
    seq "$from" "$step" "$to" | while read -r first; do
        last=$((first + step - 1))
        echo "--from=$first --to=$((last < to ? last : to))"
    done | xargs -P "$jobs" -L 1 "$build/explore" "${rest[@]}"
else
    "$build/explore" "${rest[@]}"
fi
