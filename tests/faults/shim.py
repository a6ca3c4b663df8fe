"""Faults of the machine below a process of the program: its wall clock is stepped and its system calls fail
while it runs, by a small C library that is loaded into it (`fault_shim.c`)."""

from __future__ import annotations

import errno
import mmap
import shutil
import struct
import subprocess
import tempfile
from enum import IntEnum
from functools import cache
from pathlib import Path

SOURCE = Path(__file__).with_name("fault_shim.c")
NANOS_PER_MS = 1_000_000
HEAD = struct.Struct("=qQ")  # of a plan: the wall clock's step in nanoseconds, and the seed
RULE = struct.Struct("=iiiIqqqq")  # call, failure, peer, chance, from, to, left, struck
RULES = 16
ALWAYS = 0xFFFFFFFF
FOREVER = 1 << 62
SHORT = -1  # the call takes or brings only a part


class NoCompilerError(RuntimeError):
    """The machine has no C compiler to build the shim with."""


class BadPlanError(ValueError):
    """A fault that the shim does not know, or more of them than a plan holds."""


class Call(IntEnum):
    """What may fail; the numbers are those of the C library."""

    ACCEPT = 1
    SOCKET = 2
    CONNECT = 3  # at once
    CONNECTED = 4  # later: the error that the socket then holds
    RECV = 5
    SEND = 6
    WAIT = 7  # epoll_wait and poll
    DUPLICATE = 8


class Peer(IntEnum):
    """Which sockets a rule holds for."""

    ANY = 0
    ACCEPTED = 1
    DIALLED = 2


@cache
def build_shim(compiler: str = "cc") -> Path:
    """Compile the shim once for this run of the tests. Raises NoCompilerError, and CalledProcessError where
    the compiler fails."""
    if shutil.which(compiler) is None:
        raise NoCompilerError(f"no C compiler {compiler!r} on PATH: install one (Debian: gcc and libc6-dev)")
    library = Path(tempfile.mkdtemp(prefix="fault-shim-")) / "fault_shim.so"
    command = [compiler, "-O2", "-Wall", "-Werror", "-shared", "-fPIC", "-o", str(library), str(SOURCE)]
    subprocess.run(command, check=True)
    return library


def read_failure(name: str) -> int:
    """The number of an error by its name, or `short`. Raises BadPlanError."""
    if name == "short":
        return SHORT
    number = getattr(errno, name, None)
    if not isinstance(number, int):
        raise BadPlanError(f"no error {name!r}: one of errno's names is wanted, or 'short'")
    return number


def read_call(name: str) -> Call:
    """The call of that name. Raises BadPlanError."""
    try:
        return Call[name.upper()]
    except KeyError:
        known = ", ".join(call.name.lower() for call in Call)
        raise BadPlanError(f"no call {name!r}: one of {known} is wanted") from None


class FaultShim:
    """The faults of the processes that are started with `environment`; what is told binds at once."""

    def __init__(self, folder: Path, seed: int = 1) -> None:
        self.ahead_ms = 0.0
        self.file = folder / "faults-plan"
        self.file.write_bytes(HEAD.pack(0, seed) + bytes(RULES * RULE.size))
        with open(self.file, "r+b") as file:
            self.plan = mmap.mmap(file.fileno(), 0)

    def environment(self) -> dict[str, str]:
        """Variables for the process, beside its own. Raises NoCompilerError."""
        return {"LD_PRELOAD": str(build_shim()), "FAULTS_PLAN": str(self.file)}

    def step_clock(self, ms: float) -> None:
        """Set the wall clock by this many milliseconds, ahead or, where negative, back."""
        self.ahead_ms += ms
        self.plan[:8] = struct.pack("=q", round(self.ahead_ms * NANOS_PER_MS))

    def rules(self) -> list[tuple[int, ...]]:
        """All places for rules, the free ones too."""
        return [RULE.unpack_from(self.plan, HEAD.size + n * RULE.size) for n in range(RULES)]

    def fail(
        self,
        call: str,
        failure: str,
        peer: str = "any",
        chance: float = 1.0,
        times: int = FOREVER,
        from_ms: float = 0.0,
        to_ms: float = FOREVER / NANOS_PER_MS,
    ) -> None:
        """From now on calls of that name fail, until `clear`. `chance` is a probability, `times` how often it
        may happen, the times count from the process's begin. Raises BadPlanError."""
        free = [n for n, rule in enumerate(self.rules()) if rule[0] == 0]
        if not free:
            raise BadPlanError(f"a plan holds {RULES} rules: clear it first")
        number, kind = read_call(call), Peer[peer.upper()]
        span = (round(from_ms * NANOS_PER_MS), min(FOREVER, round(to_ms * NANOS_PER_MS)))
        fields = (read_failure(failure), kind, round(chance * ALWAYS), *span, times, 0)
        place = HEAD.size + free[0] * RULE.size
        RULE.pack_into(self.plan, place, 0, *fields)
        struct.pack_into("=i", self.plan, place, number)  # last: a rule binds once it is whole

    def tell(self, words: list[str]) -> None:
        """`fail CALL FAILURE [peer=accepted] [chance=0.5] [times=3]`, or `clear`. Raises BadPlanError."""
        given = dict(word.split("=", 1) for word in words[3:])
        match words[:3]:
            case ["clear"]:
                self.clear()
            case ["fail", call, failure]:
                chance, times = float(given.get("chance", 1)), int(given.get("times", FOREVER))
                self.fail(call, failure, given.get("peer", "any"), chance, times)
            case _:
                raise BadPlanError(f"'fail CALL FAILURE' or 'clear' is wanted, not {' '.join(words)!r}")

    def clear(self) -> None:
        """No call fails any more."""
        for n in range(RULES):
            RULE.pack_into(self.plan, HEAD.size + n * RULE.size, *[0] * 8)

    def struck(self, call: str) -> int:
        """How many calls of that name have failed since the last `clear`."""
        number = read_call(call)
        return sum(rule[-1] for rule in self.rules() if rule[0] == number)
