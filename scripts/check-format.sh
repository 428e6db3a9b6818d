#!/usr/bin/env bash
# Fails when a C++ file is not formatted as .clang-format says; `--fix` formats in place.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(--dry-run --Werror)
[ "${1:-}" = --fix ] && mode=(-i)
scripts/sources.sh '*.cpp' '*.h' | xargs -r -n 16 -P "$(nproc)" clang-format "${mode[@]}"
