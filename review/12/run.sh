#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0: without the odd heartbeat. KEEP=1 keeps settings, logs and data.
cd "$(dirname "$0")" || exit 2
root=../..
program=$root/target/bin/cardamomchuted
driver=$root/target/review-3/case-12
if [ ! -x "$program" ] || [ ! -x "$driver" ]; then
  echo "build with the deploy file's command and review/build-3.sh first" >&2
  exit 2
fi
"$driver" "$(realpath "$program")" "$PWD/record.txt"
