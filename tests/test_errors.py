"""Compares the operator errors and log kinds of the program with the lists on the on-call page."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

from harrieryoke import errors
from harrieryoke.errors import OperatorError

ROOT = Path(__file__).parent.parent
LOGS, ANSWERS = (ROOT / "docs" / "on-call.md").read_text().split("\n| code |")
TYPES = OperatorError.__subclasses__()


def rows(text: str) -> dict[str, list[str]]:
    """Return the other cells of each table row, by the names in its first column."""
    cells = [line.strip("| ").split(" | ") for line in text.splitlines() if line.startswith("| `")]
    return {name: rest for first, *rest in cells for name in re.findall(r"`([a-z-]+)`", first)}


def test_operator_errors_are_in_one_module_and_have_unique_codes() -> None:
    assert TYPES and {t.__module__ for t in TYPES} == {errors.__name__}
    codes = [t.code for t in TYPES]
    assert len(set(codes)) == len(codes) and OperatorError.code not in codes
    assert all(re.fullmatch(r"[a-z]+(-[a-z]+)*", code) for code in codes)


@pytest.mark.parametrize("error", TYPES)
def test_error_says_in_one_line_what_to_do(error: type[OperatorError]) -> None:
    assert str(error("mh-1")) == f"{error.code} mh-1: {error.action}" and "\n" not in error.action
    assert error.action != OperatorError.action and str(error()) == f"{error.code} {error.action}"


def test_page_lists_exactly_the_existing_errors() -> None:
    listed = rows(ANSWERS)
    assert listed.keys() == {t.code for t in TYPES}
    assert all(len(rest) == 2 and all(rest) for rest in listed.values()), "what it means, and what to do"


def test_page_lists_exactly_the_existing_log_kinds() -> None:
    source = "\n".join(p.read_text() for p in (ROOT / "harrieryoke").rglob("*.py") if "lab" not in p.parts)
    written = set(re.findall(r"\blog\(\s*\"([a-z-]+)\"", source))
    listed = rows(LOGS).keys()
    assert written <= listed, written - listed
    unused = {kind for kind in listed if f'"{kind}"' not in source}
    assert not unused
