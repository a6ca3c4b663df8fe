"""One case of an experiment, as a process: NAME CASE SEED SECONDS RATE FOLDER FILE."""

from __future__ import annotations

import sys
from pathlib import Path

from gevent import monkey

monkey.patch_all()


def main() -> None:
    import msgspec

    from . import plugins

    _, case, seed, seconds, rate, folder, out = sys.argv[1:]
    figures = plugins.play(case, int(seed), float(seconds), float(rate), Path(folder))
    Path(out).write_bytes(msgspec.json.encode(figures))


if __name__ == "__main__":
    main()
