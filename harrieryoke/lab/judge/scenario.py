"""What one play of the judge does, drawn from a seed."""

from __future__ import annotations

import random
from dataclasses import dataclass, field, replace
from enum import Enum

from .lines import KINDS

MEMORY_MB = (32, 48, 64, 192, 2048)
BODY_BYTES = (1, 300, 4000, 16 * 1024)  # largest body of steady clients
MAX_KINDS = 3  # of lines, in one play
BURST_LINES = (1, 50, 200, 2000)
PAUSE_S = (0.0, 0.0, 0.01, 0.05, 0.4)
LOUD_CLIENTS = (1, 1, 1, 8, 100)  # 100 are more than there are places at 32 MB


class Reading(Enum):
    """How the loud client reads its answers."""

    ALWAYS = "always"
    PAUSING = "pausing"
    NEVER = "never"


class Leaving(Enum):
    """How the loud client ends its connections; it then connects again."""

    STAYS = "stays"
    CLOSE = "close"
    HALF_CLOSE = "half-close"
    RESET = "reset"


class Signal(Enum):
    """What happens to the invoker in the middle of the play."""

    NONE = "none"
    RELOAD = "reload"
    STOP = "stop"
    UPGRADE = "upgrade"


@dataclass(frozen=True, slots=True)
class Loud:
    """Loud clients: each sends `kinds` of lines in turn, `burst` of them each `pause_s`."""

    kinds: tuple[str, ...]
    burst: int
    pause_s: float
    reading: Reading = Reading.ALWAYS
    leaving: Leaving = Leaving.STAYS
    body_bytes: int = 300
    clients: int = 1


@dataclass(frozen=True, slots=True)
class Steady:
    """The steady clients: each keeps one connection; `connecting_rate_s` calls connect for themselves."""

    clients: int = 20
    rate_s: float = 8.0
    connecting_rate_s: float = 5.0
    body_bytes: int = 300


@dataclass(frozen=True, slots=True)
class Scenario:
    """One play of `seconds`; without `loud` it is the yardstick of the latency."""

    seed: int
    memory_mb: int
    seconds: float
    loud: Loud | None
    steady: Steady = field(default_factory=Steady)
    signal: Signal = Signal.NONE
    warm: bool = True  # the steady clients' functions are loaded before the loud client comes


def draw(seed: int, seconds: float = 8.0) -> Scenario:
    """Return the scenario of a seed."""
    rng = random.Random(f"scenario {seed}")
    kinds = tuple(rng.sample(sorted(KINDS), rng.randrange(1, MAX_KINDS + 1)))
    loud = Loud(
        kinds,
        rng.choice(BURST_LINES),
        rng.choice(PAUSE_S),
        rng.choice([Reading.ALWAYS, Reading.ALWAYS, *Reading]),
        rng.choice([Leaving.STAYS, Leaving.STAYS, Leaving.STAYS, *Leaving]),
        rng.choice(BODY_BYTES),
    )
    steady = Steady(clients=rng.choice((5, 20, 60)), rate_s=3.0, body_bytes=rng.choice(BODY_BYTES))
    signal = rng.choice([Signal.NONE, Signal.NONE, Signal.NONE, *Signal])
    memory_mb, warm = rng.choice(MEMORY_MB), rng.random() < 0.75
    loud = replace(loud, clients=rng.choice(LOUD_CLIENTS))
    return Scenario(seed, memory_mb, seconds, loud, steady, signal, warm)
