#!/usr/bin/env bash
# Nothing outside platform/, deploy/ and their tests knows a name of the users' platform.
cd "$(dirname "$0")/../.." || exit 1
# Headers, paths and keys, wherever they stand; fields of JSON as string literals.
names=(attempt-id deadline-ms x-api-key token-counts prompt-prefix piece-key last-event-id expect-instance request-urgency
    response-seal not-executed server-load expect-version pin-ms kv-backup kv-from kv-fetch length-hint weight-versions
    stage-run stage-free kv-key kv-range kv-watch kv-events kv-list kv-move kv-pin hold-take hold-drop
    op/config op/evacuate cold-ms BERGAMOTTIDE_SETTINGS)
fields=(trafficSplit targetLatencyMs pathPrefix kvCapacityTokens callMs itemMs headroomMb handleS storeRevision tombstone
    apiKeys tenants gapAimMs leftMs allowStale waitMs hasMore coldLeftMs coldPerS coldStartS allowedRegions heartbeatMs)
pattern=$(printf '%s|' "${names[@]}")$(printf '"%s\\?"|' "${fields[@]}")
found=$(git ls-files --cached --others --exclude-standard -- src test bench examples scripts |
    grep -vE '^test/(platform/|checks/platformnames.sh)' | xargs grep -nE -- "${pattern%|}")
if [ -n "$found" ]; then
    echo "names of the platform outside of platform/:"
    echo "$found"
    exit 1
fi
echo "platform names: none outside of platform/"
