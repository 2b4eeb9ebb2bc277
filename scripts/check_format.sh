#!/usr/bin/env bash
# Checks that every source file follows .clang-format; prints each violation.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files -co --exclude-standard '*.h' '*.cc' | xargs -r clang-format-16 --dry-run -Werror
