#!/bin/sh
# The stand-ins of the cases 11 to 15 are Python scripts that need no build. Checks that they parse.
set -e
cd "$(dirname "$0")"
for file in lib-4/*.py 1[1-5]/*.py; do
    [ -e "$file" ] || continue
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
