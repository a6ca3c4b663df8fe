"""The replicated state: the duty table and one state machine per duty, fed from the same log.

A `FencedCommand` is applied only under the duty's current token, which is checked when the entry is applied.
An `UnfencedCommand` may come from any member and is subject to the state machine's own rules. Every member
runs the same state machines, also a member that never holds the duty: a snapshot taken by a member that
lacked a state machine would lose that machine's state.
"""

from __future__ import annotations

from collections import Counter
from typing import Protocol

import msgspec
from msgspec import Struct

from .duties import MAX_BODY_BYTES, Command, DutyTable, FencedCommand, UnfencedCommand

MAX_DUMP_BYTES = 16 << 20  # of one state machine's dump


class StateError(ValueError):
    """A state that cannot be dumped or loaded. The message names the duty and what can be done about it."""


class StateMachine(Protocol):
    """Deterministic, bounded and without a clock. Applying a body never raises: one that cannot be
    decoded, or that no longer fits the state, changes nothing, and the result is False.
    """

    def apply(self, index: int, token: int, body: bytes) -> bool:
        """A command of the current holder of the duty. `index` is the entry's log index, so it only grows."""
        ...

    def apply_unfenced(self, index: int, body: bytes) -> bool:
        """A command of any member."""
        ...

    def dump(self) -> bytes:
        """At most MAX_DUMP_BYTES bytes."""
        ...

    def load(self, data: bytes) -> None:
        """Replaces the whole state; b"" is the empty state. Raises ValueError for data that is not a dump."""
        ...


class ReplicatedStateDump(Struct):
    duties: bytes
    machines: dict[str, bytes] = {}


class ReplicatedState:
    """The whole replicated state: the duty table and the duties' state machines. `apply` must be called in
    log order.

    `rejected` counts, since the start and by reason, the commands that changed nothing: "size", "token",
    "machine" (no state machine for the duty here), "body" (refused by the state machine).
    """

    def __init__(self, duties: DutyTable) -> None:
        self.duties = duties
        self.machines: dict[str, StateMachine] = {}
        self.rejected: Counter[str] = Counter()

    def add_machine(self, duty: str, machine: StateMachine) -> None:
        """Must be called before the first entry is applied."""
        self.machines[duty] = machine

    def apply(self, index: int, command: Command) -> bool:
        """Returns whether the command changed anything."""
        if not isinstance(command, FencedCommand | UnfencedCommand):
            return self.duties.apply(index, command)
        reason = self.dispatch(index, command)
        if reason:
            self.rejected[reason] += 1
        return not reason

    def dispatch(self, index: int, command: FencedCommand | UnfencedCommand) -> str:
        """Returns the reason why the command changed nothing, or ""."""
        if len(command.body) > MAX_BODY_BYTES:
            return "size"
        # Checked before the machine lookup: the token check changes replicated state, so it must also run on
        # members that have no such machine.
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
        """Raises StateError if a state machine's dump exceeds its bound."""
        dumps = {duty: machine.dump() for duty, machine in self.machines.items()}
        for duty, data in dumps.items():
            if len(data) > MAX_DUMP_BYTES:
                raise StateError(f"{duty}: state of {len(data)} bytes exceeds the limit of {MAX_DUMP_BYTES}")
        return msgspec.msgpack.encode(ReplicatedStateDump(self.duties.dump(), dumps))

    def load(self, data: bytes) -> None:
        """Raises StateError, without changing anything, if the dump holds a state machine that does not exist
        here: going on without it would lose its state. Raises msgspec.ValidationError or another ValueError
        for data that is not a dump.
        """
        dump: ReplicatedStateDump = msgspec.msgpack.decode(data, type=ReplicatedStateDump)
        if unknown := ", ".join(sorted(dump.machines.keys() - self.machines.keys())):
            raise StateError(f"{unknown}: no state machine here; bring this member to the others' version")
        self.duties.load(dump.duties)
        for duty, machine in self.machines.items():
            machine.load(dump.machines.get(duty, b""))
