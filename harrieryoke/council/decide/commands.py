"""What is agreed beside who holds what: each duty's machine, fed from the same log.

An `Act` counts under the duty's token alone, which is checked where it is applied: that is the fence of the
log. An `Ask` may come from any member and counts by the machine's own rules. Every member has the same
machines, also one that never holds the duty: a snapshot of one that lacked a machine would lose its state.
"""

from __future__ import annotations

from collections import Counter
from typing import Protocol

import msgspec
from msgspec import Struct

from .duties import MOST_BODY, Act, Ask, Command, Duties

MOST_DUMP = 16 << 20  # bytes of one machine's dump


class ActsError(ValueError):
    """A state that can't be dumped or loaded; the message names the duty and what can be done."""


class Machine(Protocol):
    """Deterministic, bounded, without a clock. It raises on no body: what it can't read, or what does not fit
    its state any more, changes nothing, and it says False."""

    def apply(self, index: int, token: int, body: bytes) -> bool:
        """An act of the duty's rightful holder. `index`: of the entry, so that it only grows."""
        ...

    def ask(self, index: int, body: bytes) -> bool:
        """Of any member."""
        ...

    def dump(self) -> bytes:
        """Never more than MOST_DUMP bytes."""
        ...

    def load(self, data: bytes) -> None:
        """Takes the place of all it has; b"" stands for nothing. Raises ValueError for what is no dump."""
        ...


class Dumped(Struct):
    duties: bytes
    machines: dict[str, bytes] = {}


class Acts:
    """The whole agreed state: `duties`, and the machines of duties. `apply` in the order of the log.

    `void` counts by why what came changed nothing, since the start: "size", "token", "machine" (the duty has
    none here), "body" (the machine did not take it)."""

    def __init__(self, duties: Duties) -> None:
        self.duties = duties
        self.machines: dict[str, Machine] = {}
        self.void: Counter[str] = Counter()

    def add(self, duty: str, machine: Machine) -> None:
        """Before the first entry."""
        self.machines[duty] = machine

    def apply(self, index: int, command: Command) -> bool:
        """Whether it changed anything."""
        if not isinstance(command, Act | Ask):
            return self.duties.apply(index, command)
        why = self.give(index, command)
        if why:
            self.void[why] += 1
        return not why

    def give(self, index: int, command: Act | Ask) -> str:
        """Why it changed nothing, or ""."""
        if len(command.body) > MOST_BODY:
            return "size"
        # before the machine is looked for: the fence is state, and must be the same where there is none
        if isinstance(command, Act) and not self.duties.rightful(command.duty, command.token):
            return "token"
        machine = self.machines.get(command.duty)
        if machine is None:
            return "machine"
        if isinstance(command, Act):
            took = machine.apply(index, command.token, command.body)
        else:
            took = machine.ask(index, command.body)
        return "" if took else "body"

    def dump(self) -> bytes:
        """Raises ActsError where a machine has grown past its bound."""
        made = {duty: machine.dump() for duty, machine in self.machines.items()}
        for duty, data in made.items():
            if len(data) > MOST_DUMP:
                raise ActsError(f"{duty}: its state has {len(data)} bytes, of {MOST_DUMP} at the most")
        return msgspec.msgpack.encode(Dumped(self.duties.dump(), made))

    def load(self, data: bytes) -> None:
        """Raises ActsError, and nothing has changed, for a state with a machine that is not here: to go on
        without it would lose it. For what is no dump msgspec.ValidationError or another ValueError."""
        told: Dumped = msgspec.msgpack.decode(data, type=Dumped)
        if unknown := ", ".join(sorted(told.machines.keys() - self.machines.keys())):
            raise ActsError(f"{unknown}: nothing here applies it; bring this member to the others' version")
        self.duties.load(told.duties)
        for duty, machine in self.machines.items():
            machine.load(told.machines.get(duty, b""))
