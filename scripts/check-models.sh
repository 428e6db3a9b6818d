#!/usr/bin/env bash
# Verifies every spec/*.pml with spin and prints the states explored. A model X.pml must hold; each
# X.broken-*.flags file holds the preprocessor flags of a broken variant, which spin must reject, and
# each X.holds-*.flags file those of other bounds, within which the model must hold too.
# A search that spin cut short counts as a failure. Usage: check-models.sh [MODEL...]
set -euo pipefail
cd "$(dirname "$0")/.."
readonly MEMORY_MB=3000
readonly SEARCH_DEPTH=2000000
jobs=${CELERYROUTE_JOBS:-4}
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# verify MODEL WANT FLAGS NAME: writes one line to $work/NAME.line, and $work/NAME.passed if the verdict is WANT.
verify() {
    local model=$1 want=$2 flags=$3 name=$4 dir
    dir=$work/$name
    mkdir "$dir"
    cp spec/*.pml "$dir/"
    (
        cd "$dir"
        # shellcheck disable=SC2086
        spin $flags -a "$(basename "$model")" > spin.log 2>&1 || { cat spin.log; exit 1; }
        gcc -w -O2 -DSAFETY -DCOLLAPSE -DMEMLIM=$MEMORY_MB -DVECTORSZ=4096 -o pan pan.c
        ./pan -m$SEARCH_DEPTH -w22 > pan.log 2>&1 || true
    ) || { echo "FAIL: $name does not compile" > "$work/$name.line"; return 1; }
    local log=$dir/pan.log states errors seen
    states=$(awk '/states, stored/ {print $1}' "$log")
    errors=$(sed -nE 's/.*errors: ([0-9]+).*/\1/p' "$log")
    seen=holds
    [ "${errors:-none}" = 0 ] || seen=rejected
    if grep -qE 'max search depth too small|out of memory|MEMLIM|Search not completed' "$log" \
        && ! grep -qE 'assertion violated|invalid end state' "$log"; then
        seen=truncated
    fi
    [ -n "$errors" ] || seen=crashed
    local reason
    reason=$(sed -nE 's/^pan:1: (assertion violated .*|invalid end state) \(at.*/\1/p' "$log" | head -1)
    echo "$name: $seen, ${states:-0} states ${reason:+($reason)}" > "$work/$name.line"
    [ "$seen" = "$want" ] || { echo "FAIL: $name must be: $want" >> "$work/$name.line"; return 1; }
    touch "$work/$name.passed"
}

names=()
start() {
    while [ "$(jobs -rp | wc -l)" -ge "$jobs" ]; do
        sleep 0.1
    done
    verify "$@" &
    names+=("$4")
}

shopt -s nullglob
models=("$@")
[ ${#models[@]} -gt 0 ] || models=(spec/*.pml)
[ ${#models[@]} -gt 0 ] || { echo "FAIL: no model found"; exit 1; }
for model in "${models[@]}"; do
    base=${model%.pml}
    name=$(basename "$base")
    start "$model" holds "" "$name"
    for bounds in "$base".holds-*.flags; do
        start "$model" holds "$(cat "$bounds")" "$(basename "$bounds" .flags)"
    done
    twins=("$base".broken-*.flags)
    [ ${#twins[@]} -gt 0 ] || { echo "FAIL: $model has no broken variant"; exit 1; }
    for twin in "${twins[@]}"; do
        start "$model" rejected "$(cat "$twin")" "$(basename "$twin" .flags)"
    done
done
# The shell forgets the status of a job whose process number is given out again, so the jobs leave files.
wait
status=0
for name in "${names[@]}"; do
    cat "$work/$name.line" || status=1
    [ -e "$work/$name.passed" ] || status=1
done
exit $status
