#!/usr/bin/env bash
# Lists the hand-written C++ files of the repository that match the given git pathspecs.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files --cached --others --exclude-standard -- "$@" | grep -v '\.pb\.' | while read -r file; do
    if [ -f "$file" ]; then echo "$file"; fi
done
