#!/usr/bin/env bash
# Fails when configuring a second time changes a command, so that everything would be built anew.
# Usage: check-configure.sh BUILD-FOLDER
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p "${1:?build folder}"
probe=$(mktemp -d "$1/configure.XXXXXX")
trap 'rm -rf "$probe"' EXIT
for run in first second; do
    cmake -G Ninja -S . -B "$probe/build" > "$probe/$run.log" 2>&1 || { cat "$probe/$run.log"; exit 1; }
    ninja -C "$probe/build" -t commands > "$probe/$run"
done
changed=$(diff "$probe/first" "$probe/second" | grep -c '^>' || true)
if [ "$changed" -gt 0 ]; then
    echo "configuring again changes $changed of $(wc -l < "$probe/first") commands; the first one:" >&2
    diff "$probe/first" "$probe/second" | grep -m1 '^<' >&2
    diff "$probe/first" "$probe/second" | grep -m1 '^>' >&2
    exit 1
fi
