#!/bin/sh
# Builds the stand-ins of the second review's cases: Python files, which only have to compile.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m compileall -q review/world2.py review/ledger2.py review/collector2.py tests/broker.py harrieryoke/lab/collector.py
