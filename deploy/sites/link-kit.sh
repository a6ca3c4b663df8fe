#!/usr/bin/env bash
# Lays the kit's files beside the sites: deploy/sites/link-kit.sh DIR, the folder that has them.
set -euo pipefail
cp -f "${1:?usage: link-kit.sh DIR}"/{real.json,wire.json,unlock.txt} "$(dirname "$0")/"
