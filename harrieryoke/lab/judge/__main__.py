"""Plays scenarios by their seeds: `python -m harrieryoke.lab.judge SEED...`; ends with 1 at a break."""

from __future__ import annotations

import sys

from .play import play
from .scenario import draw


def main() -> int:
    """Play the seeds of the command line."""
    broken_seeds = []
    for word in sys.argv[1:]:
        verdict = play(draw(int(word)))
        broken = verdict.broken_rules()
        print(f"seed {word}: {verdict.scenario}\n  {verdict.describe()}", flush=True)
        if broken:
            broken_seeds.append(word)
            print(f"  BROKEN: {'; '.join(broken)}", flush=True)
    print(f"{len(sys.argv) - 1} seeds, broken: {' '.join(broken_seeds) or 'none'}")
    return 1 if broken_seeds else 0


if __name__ == "__main__":
    sys.exit(main())
