"""The key-value state of one plug-in: small, bounded, and kept by the invoker over restarts and swaps."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from .abi import Fault

MAX_KEY_CHARS = 128
ENTRY_OVERHEAD_BYTES = 16


class PluginState:
    """Texts by key. The invoker's copy outlives the plug-in's process: each answer carries the changes."""

    def __init__(self, max_bytes: int, values: Mapping[str, str] | None = None) -> None:
        self.max_bytes, self.values, self.used_bytes = max_bytes, dict[str, str](), 0
        self.apply(values or {})

    def apply(self, changes: Mapping[str, Any]) -> None:
        """Apply all changes or none; a value of None removes the key. Raises Fault."""
        used_bytes = self.used_bytes
        for key, value in changes.items():
            if not isinstance(key, str) or not 0 < len(key) <= MAX_KEY_CHARS:
                raise Fault("wrong-answer", f"state: a key must have 1 to {MAX_KEY_CHARS} characters")
            if value is not None and not isinstance(value, str):
                raise Fault(
                    "wrong-answer", f"state: the value of {key!r} must be a text, not {type(value).__name__}"
                )
            if key in self.values:
                used_bytes -= entry_size(key, self.values[key])
            if value is not None:
                used_bytes += entry_size(key, value)
        if used_bytes > self.max_bytes:
            raise Fault("state-full", f"state: {used_bytes} bytes, {self.max_bytes} at most")
        for key, value in changes.items():
            if value is None:
                self.values.pop(key, None)
            else:
                self.values[key] = value
        self.used_bytes = used_bytes


def entry_size(key: str, value: str) -> int:
    """Bytes that one entry counts for."""
    return len(key.encode("utf-8", "replace")) + len(value.encode("utf-8", "replace")) + ENTRY_OVERHEAD_BYTES
