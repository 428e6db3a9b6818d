#!/usr/bin/env bash
# Verifies every spec/*.pml with spin. A model X.pml must pass; each X.broken-*.flags file
# holds the preprocessor flags of a deliberately broken variant, which spin must reject.
set -euo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
# verify MODEL FLAGS: prints spin's summary; succeeds when no error was found.
verify() {
    local name
    name=$(basename "$1" .pml)-$RANDOM$RANDOM
    mkdir "$work/$name"
    cp spec/*.pml spec/*.h "$work/$name/" 2>/dev/null || true
    (
        cd "$work/$name"
        # shellcheck disable=SC2086
        spin $2 -a "$(basename "$1")" > spin.log
        gcc -O2 -DSAFETY -DNOREDUCE -DMEMLIM=4096 -DVECTORSZ=4096 -o pan pan.c
        ./pan -m200000 -w24 > pan.log 2>&1 || true
        states=$(awk '/states, stored/ {print $1}' pan.log)
        grep -q 'error: max search depth too small\|out of memory\|reached -DMEMLIM' pan.log && { echo "$1: search truncated"; exit 2; }
        errors=$(sed -nE 's/.*errors: ([0-9]+).*/\1/p' pan.log)
        echo "$1 ${2:-} states=${states:-0} errors=${errors:-none}"
        [ "${errors:-1}" = 0 ]
    )
}
status=0
shopt -s nullglob
for model in spec/*.pml; do
    base=${model%.pml}
    verify "$model" "" || { echo "FAIL: $model must hold"; status=1; }
    for broken in "$base".broken-*.flags; do
        if verify "$model" "$(cat "$broken")"; then
            echo "FAIL: $broken must be rejected"
            status=1
        fi
    done
done
exit $status
