"""Injects operating system faults into a running process: steps of the wall clock and failing system calls.

The faults are implemented by a small C library that the process preloads (`fault_shim.c`).
"""

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
HEADER = struct.Struct("=qQ")  # of a plan: the wall clock's offset in nanoseconds, and the seed
RULE = struct.Struct("=iiiIqqqq")  # call, failure, peer, chance, from, to, remaining, failures
RULES = 16
CHANCE_ALWAYS = 0xFFFFFFFF
FOREVER = 1 << 62
SHORT = -1  # a partial read or write


class NoCompilerError(RuntimeError):
    """The machine has no C compiler to build the shim with."""


class BadPlanError(ValueError):
    """An unknown fault, or more rules than a plan holds."""


class SystemCall(IntEnum):
    """The system calls that can fail; the numbers are those of the C library."""

    ACCEPT = 1
    SOCKET = 2
    CONNECT = 3  # fails immediately
    CONNECTED = 4  # fails later: the pending error of the socket
    RECV = 5
    SEND = 6
    WAIT = 7  # epoll_wait and poll
    DUPLICATE = 8


class Peer(IntEnum):
    """The sockets that a rule applies to."""

    ANY = 0
    ACCEPTED = 1
    DIALLED = 2


@cache
def build_shim(compiler: str = "cc") -> Path:
    """Compile the shim once per test run.

    Raises NoCompilerError, or CalledProcessError if the compiler fails.
    """
    if shutil.which(compiler) is None:
        raise NoCompilerError(f"no C compiler {compiler!r} on PATH: install one (Debian: gcc and libc6-dev)")
    library = Path(tempfile.mkdtemp(prefix="fault-shim-")) / "fault_shim.so"
    command = [compiler, "-O2", "-Wall", "-Werror", "-shared", "-fPIC", "-o", str(library), str(SOURCE)]
    subprocess.run(command, check=True)
    return library


def parse_failure(name: str) -> int:
    """Return the number of an error name or of `short`. Raises BadPlanError."""
    if name == "short":
        return SHORT
    number = getattr(errno, name, None)
    if not isinstance(number, int):
        raise BadPlanError(f"unknown error {name!r}: expected a name of errno, or 'short'")
    return number


def parse_call(name: str) -> SystemCall:
    """Return the system call of that name. Raises BadPlanError."""
    try:
        return SystemCall[name.upper()]
    except KeyError:
        known = ", ".join(call.name.lower() for call in SystemCall)
        raise BadPlanError(f"unknown call {name!r}: expected one of {known}") from None


class FaultShim:
    """Controls the faults of processes started with `environment`; changes take effect immediately."""

    def __init__(self, folder: Path, seed: int = 1) -> None:
        self.clock_offset_ms = 0.0
        self.file = folder / "faults-plan"
        self.file.write_bytes(HEADER.pack(0, seed) + bytes(RULES * RULE.size))
        with open(self.file, "r+b") as file:
            self.plan = mmap.mmap(file.fileno(), 0)

    def environment(self) -> dict[str, str]:
        """Return the additional environment variables for the process. Raises NoCompilerError."""
        return {"LD_PRELOAD": str(build_shim()), "FAULTS_PLAN": str(self.file)}

    def step_clock(self, ms: float) -> None:
        """Step the wall clock forward by this many milliseconds, or backward if negative."""
        self.clock_offset_ms += ms
        self.plan[:8] = struct.pack("=q", round(self.clock_offset_ms * NANOS_PER_MS))

    def rules(self) -> list[tuple[int, ...]]:
        """Return all rule slots, including free ones."""
        return [RULE.unpack_from(self.plan, HEADER.size + n * RULE.size) for n in range(RULES)]

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
        """Let system calls of that name fail until `clear`. Raises BadPlanError.

        `chance` is a probability and `times` the maximum number of failures; `from_ms` and `to_ms` count from
        the start of the process.
        """
        free_slots = [n for n, rule in enumerate(self.rules()) if rule[0] == 0]
        if not free_slots:
            raise BadPlanError(f"a plan holds at most {RULES} rules: clear it first")
        call_number, peer_kind = parse_call(call), Peer[peer.upper()]
        span = (round(from_ms * NANOS_PER_MS), min(FOREVER, round(to_ms * NANOS_PER_MS)))
        rule_fields = (parse_failure(failure), peer_kind, round(chance * CHANCE_ALWAYS), *span, times, 0)
        slot_offset = HEADER.size + free_slots[0] * RULE.size
        RULE.pack_into(self.plan, slot_offset, 0, *rule_fields)
        # the call number comes last: a rule takes effect once it is complete
        struct.pack_into("=i", self.plan, slot_offset, call_number)

    def run_command(self, words: list[str]) -> None:
        """`fail CALL FAILURE [peer=accepted] [chance=0.5] [times=3]`, or `clear`. Raises BadPlanError."""
        options = dict(word.split("=", 1) for word in words[3:])
        match words[:3]:
            case ["clear"]:
                self.clear()
            case ["fail", call, failure]:
                chance, times = float(options.get("chance", 1)), int(options.get("times", FOREVER))
                self.fail(call, failure, options.get("peer", "any"), chance, times)
            case _:
                raise BadPlanError(f"expected 'fail CALL FAILURE' or 'clear', not {' '.join(words)!r}")

    def clear(self) -> None:
        """Remove all rules."""
        for n in range(RULES):
            RULE.pack_into(self.plan, HEADER.size + n * RULE.size, *[0] * 8)

    def failure_count(self, call: str) -> int:
        """Return how many calls of that name have failed since the last `clear`."""
        number = parse_call(call)
        return sum(rule[-1] for rule in self.rules() if rule[0] == number)
