#!/bin/sh
# The stand-ins of the scripts are Python programs that need the standard library alone.
set -e
cd "$(dirname "$0")"
python3 -B -c 'import asyncio, tomllib'
for file in common/*.py [0-9]/*.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
