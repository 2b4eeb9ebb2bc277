#!/usr/bin/env bash
# Runs clang-tidy on every source file, with the compile commands of a build.
#   scripts/lint.sh [BUILD_FOLDER]
# Skips a file that has passed with the same .clang-tidy, source and headers.
# Each pass is recorded as a file in BUILD_FOLDER/lint, named by their hash.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
stamps=$build/lint
mkdir -p "$stamps"
lint_one() {
  local source=$1 build=$2 stamps=$3 key
  key=$({ cat .clang-tidy "$source"; git ls-files -co --exclude-standard 'filbertwick/*.h' "${source%%/*}/*.h" | sort -u | xargs cat; } | sha1sum | cut -d' ' -f1)
  [ -f "$stamps/$key" ] && return 0
  clang-tidy-16 --quiet -p "$build" "$source" 2>/dev/null || { echo "lint failed: $source"; return 1; }
  touch "$stamps/$key"
}
export -f lint_one
git ls-files -co --exclude-standard '*.cc' | grep -v '^examples/embed/' |
  xargs -P "${LINT_JOBS:-$(nproc)}" -I{} bash -c 'lint_one "$@"' _ {} "$build" "$stamps"
