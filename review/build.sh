#!/bin/sh
# Builds the stand-ins of the scripts. They are Python 3 files (3.11, which the project's own scripts need too), so this
# only compiles them in memory, which finds syntax errors.
set -e
cd "$(dirname "$0")"
for file in standins/*.py */case.py; do
    python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done
