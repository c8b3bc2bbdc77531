#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases from 11 on, after the build of
# the deploy file. Needs g++ alone.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
for source in review/standin-3/case-*.cc; do
  name=$(basename "$source" .cc)
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "$out/$name" "$source"
done
