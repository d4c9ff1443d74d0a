#!/usr/bin/env bash
# The pages name only what exists.
exec python3 "$(dirname "$0")/docs.py" "$BERGAMOTTIDE_BUILD"
