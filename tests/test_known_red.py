"""The list of known failing tests: pytest runs a small suite with the plugin loaded."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

from .known_red import KnownRed, run_scripts

ROOT = Path(__file__).parent.parent
SUITE = {
    "pytest.ini": "[pytest]\ntestpaths = suite\n",
    "suite/test_a.py": """
import pytest

@pytest.mark.parametrize("n", [1, 2, 3])
def test_bad(n):
    assert n == 0

@pytest.mark.xfail(strict=False)
def test_lax():
    pass
""",
    "suite/test_b.py": "def test_good():\n    pass\n",
}


def entry(test: str) -> str:
    return f"suite/{test} | pytest suite | a cause, with a comma | issue 7\n"


FAILING_ENTRIES = [entry(f"test_a.py::test_bad[{n}]") for n in (1, 2, 3)]
PASSING_ENTRY = entry("test_b.py::test_good")
UNKNOWN_ENTRY = entry("test_a.py::test_gone")
# case -> list, arguments of pytest, exit code, and part of the output
CASES: dict[str, tuple[str | None, str, int, str]] = {
    "there is no list": (None, "", 1, "3 failed, 1 passed, 1 xpassed"),
    "the list is empty": ("\n", "", 1, "3 failed, 1 passed, 1 xpassed"),
    "a listed test fails": (FAILING_ENTRIES[0], "", 1, "2 failed, 1 passed, 1 xfailed, 1 xpassed"),
    "all that fail are listed": ("".join(FAILING_ENTRIES), "", 0, "1 passed, 3 xfailed, 1 xpassed"),
    "the list is printed": (
        FAILING_ENTRIES[0],
        "-k good",
        0,
        f"known failing tests (KNOWN-RED.txt) \n{FAILING_ENTRIES[0]}",
    ),
    "a listed test passes": (PASSING_ENTRY, "", 1, "[XPASS(strict)] a cause, with a comma (issue 7)"),
    "a listed test with a lax mark passes": (entry("test_a.py::test_lax"), "-k lax", 1, "1 failed"),
    "no test has the name": (
        UNKNOWN_ENTRY,
        "",
        4,
        "KNOWN-RED.txt: no test is named suite/test_a.py::test_gone",
    ),
    "no test has the name, the folder is named": (UNKNOWN_ENTRY, "suite", 4, "no test is named"),
    "no test has the name, some are picked": (UNKNOWN_ENTRY, "-k good", 4, "no test is named"),
    "one file is run": (UNKNOWN_ENTRY, "suite/test_b.py", 0, "1 passed"),
    "one test is run": (UNKNOWN_ENTRY, "suite/test_b.py::test_good", 0, "1 passed"),
    "a file is left out": (UNKNOWN_ENTRY, "--ignore=suite/test_a.py", 0, "1 passed"),
    "four entries, one passes": ("".join(FAILING_ENTRIES) + PASSING_ENTRY, "", 1, "[XPASS(strict)] a cause"),
    "a script is listed": ("pytest.ini | exit 1 | a cause | issue 7\n", "-k good", 0, "1 passed"),
    "no script has the name": ("none.sh | exit 1 | a cause | issue 7\n", "", 4, "no script outside"),
    "a file of the suite is listed": (
        "suite/test_a.py | exit 1 | a cause | issue 7\n",
        "",
        4,
        "no script outside",
    ),
    "a line of three parts": (
        FAILING_ENTRIES[0] + "suite/test_a.py::test_bad[2] | why | issue 7\n",
        "",
        4,
        "KNOWN-RED.txt:2: 'test",
    ),
    "a line of five parts": (FAILING_ENTRIES[0][:-1] + " | more\n", "", 4, "KNOWN-RED.txt:1: 'test"),
    "a part is empty": (
        "suite/test_a.py::test_bad[1] | x |  | issue 7\n",
        "",
        4,
        "KNOWN-RED.txt:1: 'test",
    ),
    "bytes that are no text": ("\udcff", "", 4, "KNOWN-RED.txt: 'utf-8' codec"),
}


@pytest.mark.parametrize("name", CASES)
def test_a_run_with_a_list_of_known_failing_tests(name: str, tmp_path: Path) -> None:
    list_text, args, exit_code, expected_output = CASES[name]
    (tmp_path / "suite").mkdir()
    for path, text in SUITE.items():
        (tmp_path / path).write_text(text)
    if list_text is not None:
        (tmp_path / "KNOWN-RED.txt").write_text(list_text, errors="surrogateescape")
    command = [sys.executable, "-m", "pytest", "-q", "-p", "tests.known_red", *args.split()]
    env = os.environ | {"PYTHONPATH": str(ROOT), "COLUMNS": "200", "PYTEST_DISABLE_PLUGIN_AUTOLOAD": "1"}
    completed = subprocess.run(command, cwd=tmp_path, env=env, capture_output=True, text=True, timeout=120)
    output = (completed.stdout + completed.stderr).replace("=", "")  # section lines
    assert completed.returncode == exit_code and expected_output in output, output


@pytest.mark.parametrize(("command", "is_wrong"), [("exit 1", False), ("exit 0", True), ("exit 2", True)])
def test_a_listed_script_has_to_show_its_fault(command: str, is_wrong: bool, tmp_path: Path) -> None:
    entries = [
        KnownRed("review/x", command, "a cause", "issue 7"),
        KnownRed("suite/test_a.py::test_bad", "exit 0", "a test of the suite is not run here", "issue 7"),
    ]
    assert bool(run_scripts(entries, tmp_path)) == is_wrong
