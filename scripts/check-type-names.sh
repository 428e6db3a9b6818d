#!/usr/bin/env bash
# Fails when two headers define different types of one name in the project's namespace: their inline
# functions and template instances would be merged by the linker.
set -euo pipefail
cd "$(dirname "$0")/.."
found=$(scripts/sources.sh 'include/*.h' 'src/*.h' 'standins/*.h' | while read -r file; do
    { grep -oE '^(struct|class|enum class) [A-Z][A-Za-z0-9]*( final)?( :[^;]*)?( \{)?$' "$file" || true; } \
        | awk -v file="$file" '{ print ($1 == "enum" ? $3 : $2), file }'
done | sort | awk '{ if ($1 == name) print name ": " file " " $2; name = $1; file = $2 }')
if [ -n "$found" ]; then
    echo "types defined twice:"
    echo "$found"
    exit 1
fi
