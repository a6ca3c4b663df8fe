"""A pytest plugin for KNOWN-RED.txt: a test listed there has to fail, and the run prints the list.

The run fails if a listed test passes, if a listed name is no test, if a line is malformed, or if there are
too many entries. Unknown names are detected only when the whole suite is collected.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import pytest
from _pytest.terminal import TerminalReporter

FILE = "KNOWN-RED.txt"  # in pytest's root directory; it may be missing
SEPARATOR = " | "  # not ',', as the names of many tests contain one
MAX_ENTRIES = 3


@dataclass(frozen=True, slots=True)
class KnownRed:
    """One known failing test: its node id, the cause, and the issue that tracks the fault."""

    test: str
    cause: str
    issue: str


ENTRIES = pytest.StashKey[tuple[KnownRed, ...]]()


def parse_entry(line: str, where: str) -> KnownRed:
    """Parse one line of the list. Raises UsageError, which names the line."""
    parts = [part.strip() for part in line.split(SEPARATOR)]
    if len(parts) != 3 or not all(parts):
        raise pytest.UsageError(f"{where}: 'test{SEPARATOR}cause{SEPARATOR}issue' is expected")
    return KnownRed(*parts)


def read_known_red(path: Path) -> tuple[KnownRed, ...]:
    """Read the entries of the list; none if the file is missing. Raises UsageError."""
    try:
        lines = path.read_text(encoding="utf-8").splitlines()
    except FileNotFoundError:
        return ()
    except (OSError, UnicodeDecodeError) as error:
        raise pytest.UsageError(f"{FILE}: {error}") from None
    numbered = [(n, line) for n, line in enumerate(lines, 1) if line.strip()]
    if len(numbered) > MAX_ENTRIES:
        raise pytest.UsageError(f"{FILE}: {len(numbered)} entries, {MAX_ENTRIES} at most")
    return tuple(parse_entry(line, f"{FILE}:{n}") for n, line in numbered)


def is_whole_suite(config: pytest.Config) -> bool:
    """Return whether all tests are collected. Tests excluded by -k, -m and --deselect are collected, too."""
    if config.getoption("ignore") or config.getoption("ignore_glob") or config.getoption("lf", False):
        return False
    suite = {config.rootpath / path for path in config.getini("testpaths") or ["."]}
    requested = {(config.invocation_params.dir / arg).resolve() for arg in config.args}
    return config.rootpath in requested or suite <= requested


def pytest_configure(config: pytest.Config) -> None:
    """Read the list before the collection."""
    config.stash[ENTRIES] = read_known_red(config.rootpath / FILE)


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Mark the listed tests. The plug-ins of pytest that remove tests from `items` run later."""
    tests = {item.nodeid: item for item in items}
    for entry in config.stash[ENTRIES]:
        if entry.test in tests:
            mark = pytest.mark.xfail(strict=True, reason=f"{entry.cause} ({entry.issue})")
            tests[entry.test].add_marker(
                mark, append=False
            )  # before an xfail mark of the test itself, which may not be strict
        elif is_whole_suite(config):
            raise pytest.UsageError(f"{FILE}: no test is named {entry.test}")


def pytest_terminal_summary(terminalreporter: TerminalReporter, config: pytest.Config) -> None:
    """Print the list, also in a quiet run."""
    entries = config.stash[ENTRIES]
    if entries:
        terminalreporter.section(f"known failing tests ({FILE})")
    for entry in entries:
        terminalreporter.line(SEPARATOR.join((entry.test, entry.cause, entry.issue)))
