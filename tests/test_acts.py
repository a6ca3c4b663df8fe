"""Fenced and unfenced commands reach the duty's state machine, and no others do."""

from __future__ import annotations

import pytest

from harrieryoke.council.decide import duties as d
from harrieryoke.council.decide.commands import ReplicatedState, StateError


class RecordedCommands:
    """Accepts any body but an empty one."""

    def __init__(self) -> None:
        self.commands: list[tuple[int, int, bytes]] = []

    def apply(self, index: int, token: int, body: bytes) -> bool:
        self.commands += [(index, token, body)] if body else []
        return bool(body)

    def apply_unfenced(self, index: int, body: bytes) -> bool:
        return self.apply(index, 0, body)

    def dump(self) -> bytes:
        return b"|".join(body for _, _, body in self.commands)

    def load(self, data: bytes) -> None:
        self.commands = [(0, 0, body) for body in data.split(b"|") if body]


def make_state() -> tuple[ReplicatedState, RecordedCommands]:
    state, machine = ReplicatedState(d.DutyTable()), RecordedCommands()
    state.add_machine("x", machine)
    setup: list[d.Command] = [
        d.DefineDuties(("x", "y")),
        d.RenewSession("a", 1, 1, 1.0),
        d.GrantDuty("x", "a", 1),
    ]
    for index, command in enumerate(setup, 1):
        assert state.apply(index, command)
    return state, machine


def test_a_fenced_command_needs_the_dutys_token_and_an_unfenced_one_none() -> None:
    state, machine = make_state()
    cases: list[tuple[d.FencedCommand | d.UnfencedCommand, str]] = [
        (d.FencedCommand("x", 3, b"one"), ""),
        (d.FencedCommand("x", 0, b"of one that does not act"), "token"),
        (d.FencedCommand("x", 2, b"old"), "token"),
        (d.FencedCommand("y", 3, b"nobody holds it"), "token"),
        (d.UnfencedCommand("y", b"no machine"), "machine"),
        (d.UnfencedCommand("x", b""), "body"),
        (d.UnfencedCommand("x", b"two"), ""),
        (d.FencedCommand("x", 3, b"-" * (d.MAX_BODY_BYTES + 1)), "size"),
    ]
    for index, (command, reason) in enumerate(cases, 10):
        before = state.rejected.copy()
        assert state.apply(index, d.decode(d.encode(command))) is not bool(reason)
        assert state.rejected - before == ({reason: 1} if reason else {})
    assert machine.commands == [(10, 3, b"one"), (16, 0, b"two")]


def test_the_dump_holds_all_state_machines() -> None:
    state, _ = make_state()
    state.apply(4, d.FencedCommand("x", 3, b"one"))
    other = ReplicatedState(d.DutyTable())
    with pytest.raises(StateError, match="x: no state machine here"):
        other.load(state.dump())
    assert not other.duties.duties
    machine = RecordedCommands()
    other.add_machine("x", machine)
    other.add_machine("y", second_machine := RecordedCommands())
    second_machine.commands = [(1, 1, b"of before")]
    other.load(state.dump())
    assert (
        other.duties.dump() == state.duties.dump()
        and machine.dump() == b"one"
        and not second_machine.commands
    )
    with pytest.raises(ValueError):
        other.load(b"x")
