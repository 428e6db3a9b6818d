#!/usr/bin/env bash
# Runs clang-tidy over all C++ sources in BUILD (first argument). A file whose preprocessed
# text and lint settings passed before is not read again, also in another checkout: __FILE__ is
# shortened for that. Further arguments name single files.
set -euo pipefail
cd "$(dirname "$0")/.."
export BUILD=${1:?build folder}
shift
export CACHE=${CELERYROUTE_LINT_CACHE:-${XDG_CACHE_HOME:-$HOME/.cache}/celeryroute-lint}
mkdir -p "$CACHE"
lint_one() {
    command=$(python3 - "$BUILD/compile_commands.json" "$1" <<'PY'
import json, os, shlex, sys
target = os.path.abspath(sys.argv[2])
for entry in json.load(open(sys.argv[1])):
    if os.path.abspath(os.path.join(entry["directory"], entry["file"])) == target:
        words = [w for w in shlex.split(entry["command"]) if "ccache" not in w]
        out = words.index("-o")
        print(shlex.join(words[:out] + words[out + 2:]))
        break
PY
    )
    if [ -z "$command" ]; then return 0; fi
    key=$({ cat .clang-tidy; clang-tidy --version; eval "$command -E -P -fmacro-prefix-map=$PWD/=" 2>/dev/null; cat "$1"; } | sha256sum | cut -d' ' -f1)
    if [ -e "$CACHE/$key" ]; then return 0; fi
    if output=$(clang-tidy --quiet -p "$BUILD" "$1" 2>/dev/null); then
        touch "$CACHE/$key"
    else
        printf '%s\n' "$output"
        return 1
    fi
}
export -f lint_one
if [ $# -gt 0 ]; then files=("$@"); else mapfile -t files < <(scripts/sources.sh '*.cpp'); fi
printf '%s\n' "${files[@]}" | xargs -P "${CELERYROUTE_JOBS:-$(nproc)}" -I{} bash -c 'lint_one {}'
