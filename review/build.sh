#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/case.cc; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O2 -Wall -Wextra -pthread -o "target/review/case-$number" \
    "$source" review/bed/bed.cc
done
