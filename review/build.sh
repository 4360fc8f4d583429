#!/bin/sh
# Check the stand-ins; they are Python files that need only the standard library.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 11), sys.version'
for file in lab/*.py [1-5]/case.py earlier*/*/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
