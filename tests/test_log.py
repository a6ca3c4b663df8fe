"""Tests the log with a full disk."""

from __future__ import annotations

import sys

import pytest

from harrieryoke.log import Log
from harrieryoke.structured import LogSettings, StructuredLog


@pytest.mark.parametrize("structured", [False, True])
def test_unwritable_log_raises_no_error(structured: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    with open("/dev/full", "w", buffering=1) as full:
        monkeypatch.setattr(sys, "stderr", full)
        log = StructuredLog("n", 20, LogSettings()) if structured else Log("n", 20)
        log("store-failing", "no space is left")
        monkeypatch.undo()
        full.close = lambda: None  # type: ignore[method-assign]
    assert log.totals == {"store-failing": 1}
