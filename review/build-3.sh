#!/bin/sh
# Builds the stand-ins of the scripts of review/11 to review/15: compiles them once.
# They use the standard library only; the daemons need the build of deploy/system.toml.
set -e
cd "$(dirname "$0")"
for folder in 11 12 13 14 15; do
    if [ -f "$folder/case.py" ]; then
        python3 -m py_compile "$folder/yard.py" "$folder/case.py"
    fi
done
