"""Acts and requests reach the duty's machine, and nothing else does."""

from __future__ import annotations

import pytest

from harrieryoke.council.decide import duties as d
from harrieryoke.council.decide.commands import ReplicatedState, StateError


class Lines:
    """Takes any text but an empty one."""

    def __init__(self) -> None:
        self.lines: list[tuple[int, int, bytes]] = []

    def apply(self, index: int, token: int, body: bytes) -> bool:
        self.lines += [(index, token, body)] if body else []
        return bool(body)

    def apply_unfenced(self, index: int, body: bytes) -> bool:
        return self.apply(index, 0, body)

    def dump(self) -> bytes:
        return b"|".join(body for _, _, body in self.lines)

    def load(self, data: bytes) -> None:
        self.lines = [(0, 0, body) for body in data.split(b"|") if body]


def acts() -> tuple[ReplicatedState, Lines]:
    made, lines = ReplicatedState(d.DutyTable()), Lines()
    made.add_machine("x", lines)
    first: list[d.Command] = [
        d.DefineDuties(("x", "y")),
        d.RenewSession("a", 1, 1, 1.0),
        d.GrantDuty("x", "a", 1),
    ]
    for index, command in enumerate(first, 1):
        assert made.apply(index, command)
    return made, lines


def test_an_act_counts_under_the_dutys_token_and_a_request_without_one() -> None:
    made, lines = acts()
    told: list[tuple[d.FencedCommand | d.UnfencedCommand, str]] = [
        (d.FencedCommand("x", 3, b"one"), ""),
        (d.FencedCommand("x", 0, b"of one that does not act"), "token"),
        (d.FencedCommand("x", 2, b"old"), "token"),
        (d.FencedCommand("y", 3, b"nobody holds it"), "token"),
        (d.UnfencedCommand("y", b"no machine"), "machine"),
        (d.UnfencedCommand("x", b""), "body"),
        (d.UnfencedCommand("x", b"two"), ""),
        (d.FencedCommand("x", 3, b"-" * (d.MAX_BODY_BYTES + 1)), "size"),
    ]
    for index, (command, why) in enumerate(told, 10):
        before = made.rejected.copy()
        assert made.apply(index, d.decode(d.encode(command))) is not bool(why)
        assert made.rejected - before == ({why: 1} if why else {})
    assert lines.lines == [(10, 3, b"one"), (16, 0, b"two")]


def test_all_are_dumped_together_and_none_is_lost_on_the_way() -> None:
    made, _ = acts()
    made.apply(4, d.FencedCommand("x", 3, b"one"))
    other = ReplicatedState(d.DutyTable())
    with pytest.raises(StateError, match="x: no state machine here"):
        other.load(made.dump())
    assert not other.duties.duties
    lines = Lines()
    other.add_machine("x", lines)
    other.add_machine("y", more := Lines())
    more.lines = [(1, 1, b"of before")]
    other.load(made.dump())
    assert other.duties.dump() == made.duties.dump() and lines.dump() == b"one" and not more.lines
    with pytest.raises(ValueError):
        other.load(b"x")
