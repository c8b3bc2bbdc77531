#!/usr/bin/env bash
# Builds the stand-ins of all cases into review/bin/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in */case.cc; do
  number=${source%/case.cc}
  "${CXX:-g++}" -std=c++20 -O2 -Wall -pthread -o "bin/case-$number" \
    "$source" common/*.cc &
done
status=0
for job in $(jobs -p); do wait "$job" || status=1; done
exit "$status"
