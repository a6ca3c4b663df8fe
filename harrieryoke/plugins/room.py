"""What a hook may reach of the invoker while it runs: its state and the log, so often and so much."""

from __future__ import annotations

from typing import Any

from .decide.abi import Fault
from .decide.state import State

MOST_LINE = 300


class Room:
    """What a hook may reach while it runs: its state, the log, and how often."""

    def __init__(self, most_state: int, most_calls: int, stateful: bool) -> None:
        self.state, self.most_calls, self.stateful = State(most_state), most_calls, stateful
        self.begin()

    def begin(self) -> None:
        self.calls, self.lines, self.changes = 0, list[str](), dict[str, str | None]()

    def count(self) -> None:
        self.calls += 1
        if self.calls > self.most_calls:
            raise Fault("host-calls", f"more than {self.most_calls} calls of the invoker's functions")

    def log(self, text: Any) -> None:
        self.count()
        if len(self.lines) < 32:
            self.lines.append(str(text)[:MOST_LINE])

    def get(self, key: str) -> str | None:
        self.may_state()
        return self.changes[key] if key in self.changes else self.state.values.get(key)

    def put(self, key: str, value: str | None) -> None:
        """Checked at once, kept only if the hook ends well."""
        self.may_state()
        trial = State(self.state.most, self.state.values)
        trial.change(self.changes | {key: value})
        self.changes[key] = value

    def may_state(self) -> None:
        self.count()
        if not self.stateful:
            raise Fault("not-allowed", "state: the capability 'state' is not granted")

    def keep(self) -> None:
        self.state.change(self.changes)
