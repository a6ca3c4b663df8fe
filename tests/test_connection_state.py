"""The decisions on a client connection, in every order of what can happen to it (docs/incidents/61)."""

from __future__ import annotations

import json
from collections.abc import Callable
from copy import deepcopy
from functools import partial

from hypothesis import given
from hypothesis import strategies as st

from harrieryoke.net.connection_state import (
    MAX_MEMORY_WAIT_MS,
    MAY_OWE,
    MEMORY_WAIT_SHARE,
    ConnectionState,
    EndReason,
)
from harrieryoke.net.jsonrpc import decode_message
from harrieryoke.net.line_skimmer import SHORT_LINE_BYTES, LineSkimmer

LINES = 3  # that the client sends
OWING_NOTHING = [reason for reason, may_owe in MAY_OWE.items() if not may_owe]


class Model:
    """A client that sends LINES calls, the kernel, the reader, the actor and the core; `owed` is kept apart.

    Calls move on: sent, unread, read, open, unsent, answered.
    """

    def __init__(self, ignores_decisions: bool = False) -> None:
        self.state, self.ignores = ConnectionState(), ignores_decisions
        self.to_send = list(range(LINES))
        self.unread, self.read = list[int](), list[int]()
        self.open, self.unsent = list[int](), list[int]()
        self.owed: set[int] = set()
        self.is_short = False

    def steps(self) -> dict[str, Callable[[], object]]:
        """Return what can happen next."""
        if self.state.ended is not None:
            return {}
        steps: dict[str, Callable[[], object]] = {"hangs up": lambda: self.end(EndReason.CLIENT_LEFT)}
        steps |= {reason.value: partial(self.end, reason) for reason in OWING_NOTHING}
        if self.to_send:
            steps["sends"] = self.send
        if self.unread and (self.ignores or self.state.may_read()):
            steps["reads"] = self.read_line
        if self.read and (self.ignores or self.state.may_handle()):
            steps["handles"] = self.handle
            steps["refuses"] = self.refuse
        if self.open:
            steps["answers"] = self.answer
        if self.unsent:
            steps["accepts"] = self.accept
        return steps

    def send(self) -> None:
        line = self.to_send.pop()
        self.unread.append(line)
        self.owed.add(line)

    def read_line(self) -> None:
        assert not self.unsent, "read while answers wait"
        self.read.append(self.unread.pop(0))
        self.state.lines_read(1)

    def handle(self) -> None:
        assert not self.unsent, "handled while answers wait"
        line = self.read.pop(0)
        self.state.line_handled()
        self.open.append(line)
        self.state.call_opened(line)

    def refuse(self) -> None:
        """Under pressure: the refusal is an answer at once."""
        assert not self.unsent, "refused while answers wait"
        self.unsent.append(self.read.pop(0))
        self.state.line_handled()
        self.state.unsent_changed(len(self.unsent), len(self.unsent))

    def answer(self) -> None:
        line = self.open.pop()
        self.state.call_closed(line)
        self.unsent.append(line)
        self.state.unsent_changed(len(self.unsent), len(self.unsent))

    def accept(self) -> None:
        self.owed.remove(self.unsent.pop(0))
        self.state.unsent_changed(len(self.unsent), len(self.unsent))

    def end(self, reason: EndReason) -> None:
        if self.state.may_end(reason, bool(self.unread)):
            assert MAY_OWE[reason] or not self.owed, f"ended as {reason.value}, owes {self.owed}"
            self.state.connection_ended(reason)
        else:
            assert self.owed, f"kept though nothing is owed: {reason.value}"

    def key(self) -> str:
        return json.dumps(
            [self.to_send, self.unread, self.read, self.open, self.unsent, str(self.state.ended)]
        )


def explore(model: Model, seen: set[str]) -> None:
    """Play each step that can happen, from each state that can be reached."""
    if (key := model.key()) in seen:
        return
    seen.add(key)
    for name in model.steps():
        following = deepcopy(model)
        following.steps()[name]()
        explore(following, seen)


# Guards against a connection that ends over a call, or is read while answers wait, in any order of events.
def test_no_order_of_events_ends_a_connection_that_owes_an_answer() -> None:
    seen: set[str] = set()
    explore(Model(), seen)
    assert len(seen) > 100


# Guards against a check that finds nothing: without the decisions there is an order that breaks the rules.
def test_reading_while_answers_wait_is_found() -> None:
    try:
        explore(Model(ignores_decisions=True), set())
    except AssertionError as found:
        assert "while answers wait" in str(found)
    else:
        raise AssertionError("not found")


@given(
    st.sets(st.integers(1, 9)),
    st.integers(0, 9),
    st.integers(0, 9),
    st.integers(0, 9),
    st.booleans(),
    st.booleans(),
)
def test_each_reason_may_owe_or_waits_for_all_answers(
    open_ids: set[int], lines: int, unsent: int, errors: int, has_unread: bool, has_partial: bool
) -> None:
    state = ConnectionState()
    for id in open_ids:
        state.call_opened(id)
    state.lines_read(lines)
    state.unsent_changed(unsent + errors, unsent)
    state.partial_changed(has_partial)
    owes = bool(open_ids or lines or unsent or has_unread)
    for reason in EndReason:
        assert state.may_end(reason, has_unread) == (not owes or MAY_OWE[reason])
    assert state.may_read() == state.may_handle() == (unsent + errors == 0)
    assert state.is_busy() == bool(open_ids or lines or unsent or errors)
    assert state.must_refuse(MAX_MEMORY_WAIT_MS + 1) and not state.must_refuse(MAX_MEMORY_WAIT_MS)
    allowed_ms = MEMORY_WAIT_SHARE * 100.0
    assert state.must_refuse(allowed_ms + 1, 100.0) and not state.must_refuse(allowed_ms, 100.0)


JSON = st.recursive(
    st.none() | st.integers(0, 9) | st.text('ab"\\{}[]\u00e9'),
    lambda values: st.lists(values, max_size=3) | st.dictionaries(st.text("ab"), values, max_size=3),
)


# Guards against a refused line that is answered under a wrong id, or swallows the line behind it.
@given(
    JSON,
    st.permutations(["jsonrpc", "id", "method", "params", "x"]),
    st.integers(0, 3000),
    st.lists(st.integers(1, 700), min_size=1, max_size=9),
)
def test_skimmed_line_keeps_its_id_and_what_follows_it(
    value: object, order: list[str], size: int, pieces: list[int]
) -> None:
    params = {"blob": "A" * size, "id": 99, "value": value}
    members = {"jsonrpc": "2.0", "id": 7, "method": "weight-read", "params": params, "x": value}
    line = json.dumps({name: members[name] for name in order}).encode()
    skimmer, data, condensed, rest = LineSkimmer(), line + b"\nrest", None, b""
    for size_of_piece in (pieces * len(data))[: len(data)]:
        condensed, rest = skimmer.feed(data[:size_of_piece])
        data = data[size_of_piece:]
        if condensed is not None:
            break
    assert condensed is not None and rest + data == b"rest"
    assert len(condensed) <= SHORT_LINE_BYTES
    if len(condensed) < SHORT_LINE_BYTES:
        message = decode_message(condensed)
        assert (message.id, message.method) == (7, "weight-read")
