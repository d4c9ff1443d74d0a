#!/usr/bin/env bash
# Measures the slopes and the whole processes anew and writes docs/capacity.json and docs/capacity-sidecars.md.
# Needs a quiet machine; takes about a minute after the build.
set -euo pipefail
source "$(dirname "$0")/common.sh"
install_missing
build=${BERGAMOTTIDE_BUILD:-$root/build}
build_in "$build" >/dev/null
"$build/capacity" >"$build/capacity.json"
python3 "$root/scripts/measure.py" --build "$build" >"$build/processes.json"
python3 - "$root" "$build" <<'PY'
import json, os, pathlib, sys
root, build = map(pathlib.Path, sys.argv[1:])
page = root / "docs" / "capacity.json"
data = json.loads(page.read_text()) if page.exists() else {}
data.update(json.loads((build / "capacity.json").read_text()))
data["processes"] = json.loads((build / "processes.json").read_text())
data["machine"] = f"{os.cpu_count()} cores, load {os.getloadavg()[0]:.1f} at the end of the run"
page.write_text(json.dumps(data, indent=2) + "\n")
PY
python3 "$root/scripts/capacity.py"
