#!/usr/bin/env bash
# Installs what is missing, builds, and runs the demonstration; the last line is one JSON object.
set -euo pipefail
source "$(dirname "$0")/common.sh"
install_missing
build=${BERGAMOTTIDE_BUILD:-$root/build}
echo "Building in $build; the first build takes some minutes."
build_in "$build"
exec python3 "$root/scripts/demo.py" --build "$build" --document "$root/examples/document.yaml" "$@"
