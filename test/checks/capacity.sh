#!/usr/bin/env bash
# The capacity page is what its figures give.
exec python3 "$(dirname "$0")/../../scripts/capacity.py" --check
