#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
case=target/review/release/case3
if [ ! -x "$case" ] || [ ! -x target/release/rowanmill ]; then
    echo "build first: the command of the deploy file, then review/build.sh" >&2
    exit 2
fi
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
trap 'rm -rf "$TMPDIR"' EXIT
# Ends the whole group, the controllers too, if the case does not end by itself or this script is told to end.
timeout -k 1 117 "$case" review/3/record.txt &
group=$!
trap 'kill "$group"; wait "$group"; exit 2' TERM INT
wait "$group"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
