#!/bin/sh
# Builds the stand-ins, after the build of the deploy file. They are Python with its own library alone.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
