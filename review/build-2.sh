#!/bin/sh
# Checks the stand-ins that the scripts of review/6 to review/10 start. They are Python and need no build.
set -e
cd "$(dirname "$0")"
for file in standins-2/*.py [0-9]/case.py 10/case.py; do
    case $file in [1-5]/*) continue ;; esac
    [ -f "$file" ] && python3 -c "import ast, sys; ast.parse(open(sys.argv[1]).read())" "$file"
done
exit 0
