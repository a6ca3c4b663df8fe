"""Upgrades under load with parts of the operator's file, which may fail at the start of the new process."""

from __future__ import annotations

import http.client
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import gevent
import msgspec
import pytest

from .scenario import listener, where
from .test_upgrade import Relays, start_load, terminate

DOOR = "[door]\nqueue = 2048\n"


class OperatedRelays(Relays):
    """Processes with an operator's file, which can be another one for each process."""

    def __init__(self, folder: Path) -> None:
        path = str(folder / "operator.toml")
        self.command = (sys.executable, "-B", "-m", "harrieryoke", "serve", "--operator", path)
        super().__init__(folder, 3, 150.0, operator=DOOR)

    def write_operator(self, ops: str, text: str = "") -> None:
        (self.folder / "operator.toml").write_text(f'{DOOR}[ops]\nlisten = "{ops}"\n{text}')

    def ask(self, path: str) -> dict[str, Any]:
        """Send one request of an operator."""
        connection = http.client.HTTPConnection(self.ops, timeout=5)
        connection.request("GET", path)
        answer = msgspec.json.decode(connection.getresponse().read())
        connection.close()
        assert isinstance(answer, dict)
        return answer


@pytest.fixture
def operated(tmp_path: Path) -> Iterator[OperatedRelays]:
    started = OperatedRelays(tmp_path)
    yield started
    started.close()


def assert_all_answered(relays: OperatedRelays) -> None:
    ended = relays.audit()
    assert relays.load.unreachable == 0 and set(ended) <= {"served", "refused"}, (ended, relays.log_text())


def test_an_upgrade_with_operators_http_loses_no_call_and_the_new_process_answers_operators(
    operated: OperatedRelays,
) -> None:
    """Guards against a new process that ends after its takeover: the old one has the address (review/8)."""
    load = start_load(operated, 5.0)
    for upgrades in (1, 2):
        gevent.sleep(1.0)
        old = operated.start_next()
        gevent.sleep(0.3)
        answers = [operated.ask("/counters") for _ in range(10)]
        assert not any("taken-over" in answer["log"] for answer in answers), "the old process answered"
        assert terminate(old)[0] == 0 and operated.ask("/healthz") == {"healthy": True}
        assert operated.log_text().count("taken-over") == upgrades
    load.join()
    assert_all_answered(operated)


def test_after_a_new_process_ended_the_old_one_answers_operators_again(operated: OperatedRelays) -> None:
    old, new = operated.start_next(), operated.process
    new.kill()
    new.wait()
    operated.process = old
    gevent.sleep(0.5)
    assert "taken-over" in operated.ask("/counters")["log"]


FAULTS = {
    "ops": ("", "ops.listen"),
    "plug-in": ('[plugins]\n[[plugins.use]]\npath = "missing"\n', "missing"),
    "store": ('[store]\nfolder = "config.json"\n[ledger]\n', "store.folder"),
    "certificate": ('[ledger]\n[ledger.collector]\naddress = "127.0.0.1:9"\nca = "none.pem"\n', "ca"),
    "council": (
        '[council]\ninstallation = "x"\nvoters = ["lab"]\nmembers = { lab = "OCCUPIED" }\n',
        "council.listen",
    ),
}


@pytest.mark.parametrize("fault", FAULTS)
def test_a_start_that_fails_leaves_the_old_process_with_its_clients(
    operated: OperatedRelays, fault: str
) -> None:
    """Guards against starts that take over first and fail then; each names what is at fault (review/8)."""
    text, key = FAULTS[fault]
    load = start_load(operated, 3.0)
    gevent.sleep(0.5)
    occupied = listener()
    ops = where(occupied) if fault == "ops" else operated.ops
    operated.write_operator(ops, text.replace("OCCUPIED", where(occupied)))
    old, new = operated.process, operated.launch()
    code = wait(new)
    load.join()
    occupied.close()
    operated.process = old
    log = operated.log_text()
    assert code == 2 and key in log and "Traceback" not in log and "taken-over" not in log, (code, log)
    assert_all_answered(operated)


def wait(process: subprocess.Popen[bytes], seconds: float = 10.0) -> int | None:
    """The exit code of a process; None if it is still running after that time."""
    with gevent.Timeout(seconds, False):
        while process.poll() is None:
            gevent.sleep(0.02)
    if process.poll() is None:
        process.kill()
        process.wait()
        return None
    return process.returncode
