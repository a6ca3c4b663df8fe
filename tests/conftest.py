"""The plugin of the known failing tests, for the whole suite."""

from __future__ import annotations

from .known_red import pytest_collection_modifyitems, pytest_configure, pytest_terminal_summary

__all__ = ["pytest_collection_modifyitems", "pytest_configure", "pytest_terminal_summary"]
