"""For the whole suite: the plugin of the known failing tests, and the check of how connections end."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import pytest

from harrieryoke.net.connection_ends import ConnectionEnds
from harrieryoke.net.connection_state import EndReason

from .known_red import pytest_collection_modifyitems, pytest_configure, pytest_terminal_summary

__all__ = ["pytest_collection_modifyitems", "pytest_configure", "pytest_terminal_summary"]


@pytest.fixture
def expects_end_faults() -> None:
    """Marks a test that ends a connection against the rules on purpose."""


@pytest.fixture(autouse=True)
def no_end_faults(request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    """Fail each test in whose process a connection ended, or was to end, against the rules."""
    faults: list[str] = []
    report = ConnectionEnds.report_fault

    def record(self: ConnectionEnds, client: str, reason: EndReason, owed: Any, detail: str) -> None:
        faults.append(f"{client}: {reason.value}: {detail}")
        report(self, client, reason, owed, detail)

    monkeypatch.setattr(ConnectionEnds, "report_fault", record)
    yield
    if "expects_end_faults" not in request.fixturenames:
        assert faults == []
