#!/bin/sh
# Plays case 3. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
.venv/bin/python review/3/case.py &
case=$!
trap 'kill -TERM "$case" 2>/dev/null' TERM INT HUP # the case then ends what it has started
wait "$case"
code=$?
while kill -0 "$case" 2>/dev/null; do # a signal ended the wait early
    wait "$case"
    code=$?
done
if [ "$code" = 3 ]; then
    exit 1
elif [ "$code" != 0 ]; then
    exit 2
fi
