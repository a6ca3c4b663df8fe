"""Plays scenarios by their seeds: `python -m harrieryoke.lab.judge SEED...`; ends with 1 at a break."""

from __future__ import annotations

import sys

from .play import play
from .scenario import draw


def main() -> int:
    """Play the seeds of the command line."""
    broken_seeds, slowed_seeds = [], []
    for word in sys.argv[1:]:
        verdict = play(draw(int(word)))
        rules = verdict.broken_rules()
        print(f"seed {word}: {verdict.scenario}\n  {verdict.describe()}", flush=True)
        if rules:
            broken_seeds.append(word)
            print(f"  BROKEN: {'; '.join(rules)}", flush=True)
        if slowed_ms := verdict.slowed_ms():
            slowed_seeds.append(word)
            print(f"  SLOWED: p99 {slowed_ms:.0f} ms is more than twice that before")
    broken, slowed = (" ".join(seeds) or "none" for seeds in (broken_seeds, slowed_seeds))
    print(f"{len(sys.argv) - 1} seeds, broken: {broken}; p99 more than doubled: {slowed}")
    return 1 if broken_seeds else 0


if __name__ == "__main__":
    sys.exit(main())
