"""The key-value state of one plug-in: small, bounded, and kept by the invoker over restarts and swaps."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from .abi import Fault

MOST_KEY = 128


class State:
    """Texts by name. It survives the plug-in's process: changes come with each answer."""

    def __init__(self, most_bytes: int, values: Mapping[str, str] | None = None) -> None:
        self.most, self.values, self.held = most_bytes, dict[str, str](), 0
        self.change(values or {})

    def change(self, changes: Mapping[str, Any]) -> None:
        """All of them, or none: None takes a key away. Raises Fault."""
        held = self.held
        for key, value in changes.items():
            if not isinstance(key, str) or not 0 < len(key) <= MOST_KEY:
                raise Fault("wrong-answer", f"state: a key of 1 to {MOST_KEY} characters is wanted")
            if value is not None and not isinstance(value, str):
                raise Fault(
                    "wrong-answer", f"state: a text is wanted for {key!r}, not {type(value).__name__}"
                )
            if key in self.values:
                held -= size(key, self.values[key])
            if value is not None:
                held += size(key, value)
        if held > self.most:
            raise Fault("state-full", f"state: {held} bytes, {self.most} at most")
        for key, value in changes.items():
            if value is None:
                self.values.pop(key, None)
            else:
                self.values[key] = value
        self.held = held


def size(key: str, value: str) -> int:
    """Bytes held for one entry, with a little for its place."""
    return len(key.encode("utf-8", "replace")) + len(value.encode("utf-8", "replace")) + 16
