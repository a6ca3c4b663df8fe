#!/bin/sh
# Plays case 3. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
.venv/bin/python review/3/case.py
code=$?
if [ "$code" = 3 ]; then
    exit 1
elif [ "$code" != 0 ]; then
    exit 2
fi
