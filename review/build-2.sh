#!/usr/bin/env bash
# Builds the programs of the cases 6 and up into target/review-2/. They need the
# packages of deploy/system.toml only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
flags=(-std=c++20 -O1 -Wall -Wextra -pthread)
for source in http fleet; do
  g++ "${flags[@]}" -c "review/standins-2/$source.cc" -o "target/review-2/$source.o"
done
for source in review/*/case.cc; do
  number=$(basename "$(dirname "$source")")
  [ "$number" -ge 6 ] || continue
  g++ "${flags[@]}" "$source" target/review-2/http.o target/review-2/fleet.o \
    -o "target/review-2/case-$number"
done
