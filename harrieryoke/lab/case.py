"""Runs one case of an experiment in its own process.

Arguments: NAME CASE SEED SECONDS RATE FOLDER FILE; the figures are written to FILE as JSON.
"""

from __future__ import annotations

import sys
from pathlib import Path

from gevent import monkey

monkey.patch_all()


def main() -> None:
    import msgspec

    from . import door, fleet, ledger, plugins

    name, case, seed, seconds, rate, folder, output = sys.argv[1:]
    run_case = {
        "plugins": plugins.run_case,
        "door": door.run_case,
        "ledger": ledger.run_case,
        "fleet": fleet.run_case,
    }[name]
    figures = run_case(case, int(seed), float(seconds), float(rate), Path(folder))
    Path(output).write_bytes(msgspec.json.encode(figures))


if __name__ == "__main__":
    main()
