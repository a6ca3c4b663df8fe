"""The simulator's adapter on short transcripts, valid and malformed."""

from __future__ import annotations

import io
import json
import subprocess
import sys

import pytest

from harrieryoke import wirehost
from harrieryoke.interface import Action, AttemptEnded, CopyLookup, LoadReport
from harrieryoke.router import Router

INFO = json.dumps(
    {
        "classes": [{"name": "a", "goal-time": 500, "hard-limit": 2000, "repeat": "repeatable"}],
        "extra": {"orders": True},
        "ceilings": {"max-attempts": 3},
        "novelty": {"x": 1},
        "load-report": {"fields": ["concurrent", "x0", "unheard"]},
    }
)
START = [
    "BEGIN_BATCH 100.5",
    f"INIT 3 77 {INFO}",
    "SHEET 0 2",
    "M 11 0 0 0 on 1 -",
    "M 12 0 0 0 on 1.5 6.0",
    "FLEET 3 Persisted 41 0",
    "EOF_BATCH",
]
ASKED = ["BEGIN_BATCH 102", "REQUEST 3 5 0 - m-x 2000 - 384 2 900 2", "EOF_BATCH"]


def talk(lines: list[str]) -> list[str]:
    sink = io.StringIO()
    wirehost.serve((line + "\n" for line in lines), sink)
    return sink.getvalue().splitlines()


def test_a_transcript_from_start_to_answer() -> None:
    out = talk([*START, *ASKED])
    assert out[0] == "DONE"  # nothing is scheduled yet
    tag, who, request, worker, stop_at = out[1].split(" ")
    assert (tag, who, request, stop_at) == ("SUBMIT_TO", "3", "5", "-") and worker in ("11", "12")
    miss = f"SETTLED 3 5 0 Miss 1.5 - {worker} 0 7,0.4,1"
    out = talk([*START, *ASKED, "BEGIN_BATCH 104", miss, "EOF_BATCH"])
    assert out[2].startswith("AFTER 3 agenda ") and out[3] == "DONE"
    assert out[4] == f"START_COPY 3 {worker} m-x 1" and out[-1] == "DONE"


def test_an_empty_batch_gets_an_empty_reply_and_a_torn_down_instance_is_removed() -> None:
    assert talk(["BEGIN_BATCH 1", "EOF_BATCH"]) == ["DONE"]
    out = talk([*START, "BEGIN_BATCH 102", ASKED[1], "TEARDOWN 3", "EOF_BATCH"])
    assert out == ["DONE", "DONE"]


def test_reports_and_notes_are_read_by_name() -> None:
    event = wirehost.READERS["SETTLED"](
        "5 1 Ok 18.5 25 11 0 7,-,1".split(" "), ("concurrent", "x0", "unheard")
    )
    assert isinstance(event, AttemptEnded)
    assert (
        event.copy_lookup is CopyLookup.LOADED
        and event.concurrent_requests == 3
        and event.report == LoadReport(in_progress=7.0)
    )


def test_an_exception_in_a_router_is_reported(monkeypatch: pytest.MonkeyPatch) -> None:
    def broken(*_: object) -> list[Action]:
        raise RuntimeError("out of\nluck")

    monkeypatch.setattr(Router, "handle", broken)
    assert talk(START) == ["INTERNAL_ERROR 3 RuntimeError: out of luck", "DONE"]


@pytest.mark.parametrize(
    "lines",
    [
        ["HELLO"],
        ["BEGIN_BATCH x", "EOF_BATCH"],
        ["BEGIN_BATCH 1"],
        ["BEGIN_BATCH 1", "WAKE 9 sweep", "EOF_BATCH"],
        [*START, "BEGIN_BATCH 2", "REQUEST 3 5", "EOF_BATCH"],
        [*START, "BEGIN_BATCH 2", "NOISE 3", "EOF_BATCH"],
        ["BEGIN_BATCH 1", "INIT 3 77 {not json}", "EOF_BATCH"],
        ["BEGIN_BATCH 1", "SHEET 0 2", "M 1 0", "EOF_BATCH"],
        [*START, "BEGIN_BATCH 2", "FLEET 3 Partial 2 9", "EOF_BATCH"],
        [*START, "BEGIN_BATCH 2", "SETTLED 3 5 0 Vanished 1 - 11 0 -", "EOF_BATCH"],
    ],
)
def test_malformed_input_ends_with_an_error_message(lines: list[str]) -> None:
    run = subprocess.run(
        [sys.executable, "-m", "harrieryoke.wirehost"],
        input="\n".join(lines) + "\n",
        text=True,
        capture_output=True,
        check=False,
    )
    assert run.returncode == 2
    assert run.stderr.startswith("harrieryoke: malformed input") and "Traceback" not in run.stderr
