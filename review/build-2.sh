#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10 into target/review-2/. They need a
# compiler only; the system itself is built by the deploy file's command.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for number in 6 7 8 9 10; do
  source=review/$number/case.cc
  [ -f "$source" ] || continue
  g++ -std=c++20 -O1 -Wall -Wextra -pthread \
    -o "target/review-2/case-$number" "$source"
done
