"""The invoker's functions that a hook may call while it runs: its state and the log, within limits."""

from __future__ import annotations

from typing import Any

from .decide.abi import Fault
from .decide.state import PluginState

MAX_LINE_CHARS = 300
MAX_LOG_LINES = 32  # of one call of a hook; further lines are dropped


class HookContext:
    """The state, the log lines and the count of host calls of the hook that runs."""

    def __init__(self, max_state_bytes: int, max_host_calls: int, stateful: bool) -> None:
        self.state, self.max_host_calls, self.stateful = (
            PluginState(max_state_bytes),
            max_host_calls,
            stateful,
        )
        self.reset()

    def reset(self) -> None:
        """Prepare for the next hook."""
        self.host_calls, self.lines, self.changes = 0, list[str](), dict[str, str | None]()

    def count_host_call(self) -> None:
        self.host_calls += 1
        if self.host_calls > self.max_host_calls:
            raise Fault("host-calls", f"more than {self.max_host_calls} calls of the invoker's functions")

    def log(self, text: Any) -> None:
        self.count_host_call()
        if len(self.lines) < MAX_LOG_LINES:
            self.lines.append(str(text)[:MAX_LINE_CHARS])

    def state_get(self, key: str) -> str | None:
        self.require_state()
        return self.changes[key] if key in self.changes else self.state.values.get(key)

    def state_put(self, key: str, value: str | None) -> None:
        """Record a change. It is checked at once, but applied only if the hook succeeds."""
        self.require_state()
        trial = PluginState(self.state.max_bytes, self.state.values)
        trial.apply(self.changes | {key: value})
        self.changes[key] = value

    def require_state(self) -> None:
        self.count_host_call()
        if not self.stateful:
            raise Fault("not-allowed", "state: the capability 'state' is not granted")

    def apply_changes(self) -> None:
        self.state.apply(self.changes)
