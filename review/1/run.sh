#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case cannot run.
# TROUBLE=0: the same without the disruption.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
program=review/bin/case-$(basename "$folder")
[ -x "$program" ] && [ -x target/bin/cardamomchuted ] || exit 2
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
trap 'rm -rf "$TMPDIR"' EXIT
timeout -k 2 115 "$program" "$folder/record.txt"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
