"""A pytest plugin for KNOWN-RED.txt: a test listed there has to fail, and the run prints the list.

A listed test that passes, a name that no test has, a line that can't be read and an entry too many each fail
the run. Whether every name is a test's is known only when the whole suite is collected.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import pytest
from _pytest.terminal import TerminalReporter

FILE = "KNOWN-RED.txt"  # in pytest's root directory; it may be missing
SEPARATOR = " | "  # no ',': the names of many tests have one
ENTRIES_MOST = 3


@dataclass(frozen=True, slots=True)
class KnownRed:
    """One known failing test: its node id, why it fails, and where the fault is followed."""

    test: str
    cause: str
    issue: str


ENTRIES = pytest.StashKey[tuple[KnownRed, ...]]()


def read_entry(line: str, where: str) -> KnownRed:
    """One line of the list. Raises UsageError, which names the place."""
    parts = [part.strip() for part in line.split(SEPARATOR)]
    if len(parts) != 3 or not all(parts):
        raise pytest.UsageError(f"{where}: 'test{SEPARATOR}cause{SEPARATOR}issue' is expected")
    return KnownRed(*parts)


def read_known_red(path: Path) -> tuple[KnownRed, ...]:
    """The entries of the list, none where there is no list. Raises UsageError."""
    try:
        lines = path.read_text(encoding="utf-8").splitlines()
    except FileNotFoundError:
        return ()
    except (OSError, UnicodeDecodeError) as error:
        raise pytest.UsageError(f"{FILE}: {error}") from None
    numbered = [(n, line) for n, line in enumerate(lines, 1) if line.strip()]
    if len(numbered) > ENTRIES_MOST:
        raise pytest.UsageError(f"{FILE}: {len(numbered)} entries, {ENTRIES_MOST} at most")
    return tuple(read_entry(line, f"{FILE}:{n}") for n, line in numbered)


def whole_suite(config: pytest.Config) -> bool:
    """Whether every test is collected. What -k, -m and --deselect leave out is collected before."""
    if config.getoption("ignore") or config.getoption("ignore_glob") or config.getoption("lf", False):
        return False
    suite = {config.rootpath / path for path in config.getini("testpaths") or ["."]}
    asked = {(config.invocation_params.dir / arg).resolve() for arg in config.args}
    return config.rootpath in asked or suite <= asked


def pytest_configure(config: pytest.Config) -> None:
    """Reads the list before anything is collected."""
    config.stash[ENTRIES] = read_known_red(config.rootpath / FILE)


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Marks the listed tests. pytest's own plug-ins, which take tests out of `items`, come later."""
    tests = {item.nodeid: item for item in items}
    for entry in config.stash[ENTRIES]:
        if entry.test in tests:
            mark = pytest.mark.xfail(strict=True, reason=f"{entry.cause} ({entry.issue})")
            tests[entry.test].add_marker(mark, append=False)  # before a mark of its own, which may be lax
        elif whole_suite(config):
            raise pytest.UsageError(f"{FILE}: no test is named {entry.test}")


def pytest_terminal_summary(terminalreporter: TerminalReporter, config: pytest.Config) -> None:
    """Prints the list, also in a quiet run."""
    entries = config.stash[ENTRIES]
    if entries:
        terminalreporter.section(f"known failing tests ({FILE})")
    for entry in entries:
        terminalreporter.line(SEPARATOR.join((entry.test, entry.cause, entry.issue)))
