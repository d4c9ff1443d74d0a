#!/usr/bin/env bash
# Installs what is missing, builds, and runs every test: plain, under the sanitizers, and as processes.
# The last line is `N passed, N failed`; failures listed in KNOWN-RED.txt are printed and passed over.
set -uo pipefail
source "$(dirname "$0")/common.sh"
install_missing || exit 1
build=${BERGAMOTTIDE_BUILD:-$root/build}
build_in "$build" || { echo '0 passed, 1 failed'; exit 1; }
build_in "$build-asan" -DBERGAMOTTIDE_SANITIZE=ON -DBERGAMOTTIDE_BUILD_BENCHMARKS=OFF || { echo '0 passed, 1 failed'; exit 1; }

passed=0
failed=0
failures=()
# Adds up the closing line of a test program: add_up NAME LOG EXIT_STATUS.
add_up() {
    local name=$1 log=$2 code=$3 line
    line=$(grep -E '^[0-9]+ passed, [0-9]+ failed' "$log" | tail -n 1)
    mapfile -t -O "${#failures[@]}" failures < <(grep -E '^failed: ' "$log")
    if [ -z "$line" ]; then
        failed=$((failed + 1))
        echo "no result from: $name"
        return
    fi
    local here_passed here_failed
    here_passed=${line%% passed*}
    here_failed=$(sed -E 's/.*passed, ([0-9]+) failed.*/\1/' <<<"$line")
    passed=$((passed + here_passed))
    failed=$((failed + here_failed))
    if [ "$code" -ne 0 ] && [ "$here_failed" -eq 0 ]; then
        failed=$((failed + 1))
    fi
}
# Runs one test program and keeps its output beside it.
run() {
    "$@" 2>&1 | tee "$1.log"
    add_up "$*" "$1.log" "${PIPESTATUS[0]}"
}
# Runs a test program in several processes, each with a part of the tests.
run_shards() {
    local shards=$((($(nproc) + 1) / 2)) shard pids=()
    for ((shard = 0; shard < shards; ++shard)); do
        "$@" --shard "$shard" "$shards" >"$1.$shard.log" 2>&1 &
        pids+=($!)
    done
    for ((shard = 0; shard < shards; ++shard)); do
        wait "${pids[shard]}"
        add_up "$* --shard $shard $shards" "$1.$shard.log" $?
        cat "$1.$shard.log"
    done
}
run_shards "$build/bergamottide_test" --known-red "$root/KNOWN-RED.txt"
# Contexts of h2o stay until the process ends; the file names them.
export LSAN_OPTIONS=suppressions=$root/test/lsan.supp:print_suppressions=0
run_shards "$build-asan/bergamottide_test" --known-red "$root/KNOWN-RED.txt"
if [ -x "$build/bergamottide_processtest" ]; then
    run "$build/bergamottide_processtest" --known-red "$root/KNOWN-RED.txt"
fi
for check in "$root"/test/checks/*.sh; do
    [ -e "$check" ] || continue
    if BERGAMOTTIDE_BUILD="$build" bash "$check"; then
        passed=$((passed + 1))
    else
        echo "failed: ${check#"$root"/}"
        failed=$((failed + 1))
    fi
done
# Repeated here, since callers may keep only the end of the output.
[ "${#failures[@]}" -eq 0 ] || printf '%s\n' "${failures[@]}"
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
