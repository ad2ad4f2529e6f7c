#!/bin/sh
# Checks the stand-ins of review/6 and later. They use Python's standard library
# only and run from source, so that nothing has to be installed.
cd "$(dirname "$0")" || exit 1
for file in lib-2/*.py [0-9]*/case.py; do
    [ -e "$file" ] || continue
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' \
        "$file" || exit 1
done
