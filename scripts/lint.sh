#!/usr/bin/env bash
# Checks formatting and runs the linter: scripts/lint.sh BUILD_FOLDER [FILE...]; all files without a list.
set -euo pipefail
source "$(dirname "$0")/common.sh"
folder=$1
shift
if [ "$#" -eq 0 ]; then
    mapfile -t files < <(cd "$root" && git ls-files --cached --others --exclude-standard '*.cpp' '*.h' | grep -v '^proto/')
else
    files=("$@")
fi
cd "$root"
clang-format --dry-run --Werror "${files[@]}"
sources=()
for file in "${files[@]}"; do
    [[ $file == *.cpp ]] && sources+=("$file")
done
# g++-only flags are unknown to clang-tidy's own front end, hence the extra argument.
printf '%s\n' "${sources[@]}" | xargs -P "$(nproc)" -n 2 clang-tidy --quiet -p "$folder" --extra-arg=-Wno-unknown-warning-option 2>&1 \
    | { grep -vE '^[0-9]+ warnings? generated|^Suppressed|^Use -header-filter' || true; } | tee "$folder/lint.log"
! grep -qE '(error|warning):' "$folder/lint.log"
echo "lint: ${#files[@]} files clean"
