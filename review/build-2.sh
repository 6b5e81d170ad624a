#!/bin/sh
# Checks the stand-ins of review/standins-2, which need no build of their own:
# they are Python, run from their source, with the standard library only.
set -eu
cd "$(dirname "$0")/.."
for file in review/standins-2/*.py review/[4-8]/case.py; do
    [ -e "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
