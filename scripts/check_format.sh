#!/usr/bin/env bash
# Checks every source against .clang-format; prints the lines that differ.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files -co --exclude-standard '*.h' '*.cc' | xargs -r clang-format-16 --dry-run -Werror
