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

from .duties import MAX_BODY_BYTES, Command, DutyTable, FencedCommand, UnfencedCommand

MAX_DUMP_BYTES = 16 << 20  # bytes of one machine's dump


class StateError(ValueError):
    """A state that can't be dumped or loaded; the message names the duty and what can be done."""


class StateMachine(Protocol):
    """Deterministic, bounded, without a clock. It raises on no body: what it can't read, or what does not fit
    its state any more, changes nothing, and it says False."""

    def apply(self, index: int, token: int, body: bytes) -> bool:
        """An act of the duty's rightful holder. `index`: of the entry, so that it only grows."""
        ...

    def apply_unfenced(self, index: int, body: bytes) -> bool:
        """Of any member."""
        ...

    def dump(self) -> bytes:
        """Never more than MOST_DUMP bytes."""
        ...

    def load(self, data: bytes) -> None:
        """Takes the place of all it has; b"" stands for nothing. Raises ValueError for what is no dump."""
        ...


class ReplicatedStateDump(Struct):
    duties: bytes
    machines: dict[str, bytes] = {}


class ReplicatedState:
    """The whole agreed state: `duties`, and the machines of duties. `apply` in the order of the log.

    `void` counts by why what came changed nothing, since the start: "size", "token", "machine" (the duty has
    none here), "body" (the machine did not take it)."""

    def __init__(self, duties: DutyTable) -> None:
        self.duties = duties
        self.machines: dict[str, StateMachine] = {}
        self.rejected: Counter[str] = Counter()

    def add_machine(self, duty: str, machine: StateMachine) -> None:
        """Before the first entry."""
        self.machines[duty] = machine

    def apply(self, index: int, command: Command) -> bool:
        """Whether it changed anything."""
        if not isinstance(command, FencedCommand | UnfencedCommand):
            return self.duties.apply(index, command)
        reason = self.dispatch(index, command)
        if reason:
            self.rejected[reason] += 1
        return not reason

    def dispatch(self, index: int, command: FencedCommand | UnfencedCommand) -> str:
        """Why it changed nothing, or ""."""
        if len(command.body) > MAX_BODY_BYTES:
            return "size"
        # before the machine is looked for: the fence is state, and must be the same where there is none
        if isinstance(command, FencedCommand) and not self.duties.admit_token(command.duty, command.token):
            return "token"
        machine = self.machines.get(command.duty)
        if machine is None:
            return "machine"
        if isinstance(command, FencedCommand):
            changed = machine.apply(index, command.token, command.body)
        else:
            changed = machine.apply_unfenced(index, command.body)
        return "" if changed else "body"

    def dump(self) -> bytes:
        """Raises ActsError where a machine has grown past its bound."""
        dumps = {duty: machine.dump() for duty, machine in self.machines.items()}
        for duty, data in dumps.items():
            if len(data) > MAX_DUMP_BYTES:
                raise StateError(f"{duty}: its state has {len(data)} bytes, of {MAX_DUMP_BYTES} at the most")
        return msgspec.msgpack.encode(ReplicatedStateDump(self.duties.dump(), dumps))

    def load(self, data: bytes) -> None:
        """Raises ActsError, and nothing has changed, for a state with a machine that is not here: to go on
        without it would lose it. For what is no dump msgspec.ValidationError or another ValueError."""
        dump: ReplicatedStateDump = msgspec.msgpack.decode(data, type=ReplicatedStateDump)
        if unknown := ", ".join(sorted(dump.machines.keys() - self.machines.keys())):
            raise StateError(f"{unknown}: nothing here applies it; bring this member to the others' version")
        self.duties.load(dump.duties)
        for duty, machine in self.machines.items():
            machine.load(dump.machines.get(duty, b""))
