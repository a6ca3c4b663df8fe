"""Durations are of real time: the wall clock of a real invoker is stepped while it serves."""

from __future__ import annotations

import copy
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import pytest

from harrieryoke.core.clock import NOTICEABLE_STEP_MS, WallClockWatch
from harrieryoke.net import frames

from .faults.shim import NoCompilerError, build_shim
from .scenario import SETTINGS, invoker

HOUR_MS = 3_600_000.0
STEPS = {
    "none": 0.0,
    "3 s back": -3000.0,
    "3 s ahead": 3000.0,
    "an hour back": -HOUR_MS,
    "an hour ahead": HOUR_MS,
}
WINDOW_MS = 1500  # of keys and of the load window, so that a test can wait for its end
ONE, OTHER, LATER = (f"{n:016x}" for n in (1, 2, 3))  # functions


def rationed(floor: float, share: float) -> dict[str, Any]:
    """Return settings under which load orders are scarce."""
    settings = copy.deepcopy(SETTINGS)
    settings["extra"] |= {"load-window": WINDOW_MS, "load-floor": floor, "load-share": share}
    return settings


def served(number: int, function: str) -> str:
    return f"""
        send c1 call {number} weight-read obj={function}
        expect h1 request asset={function}
        send h1 ok n=w
        expect c1 {number} result
    """


def missed(number: int, function: str) -> str:
    """A request for which no order may be given: it must end refused."""
    return f"""
        send c1 call {number} weight-read obj={function} budget=900
        expect h1 request asset={function}
        send h1 miss
        expect c1 {number} error -32050
    """


def ordered(number: int, function: str) -> str:
    return f"""
        send c1 call {number} weight-read obj={function}
        expect h1 request asset={function}
        send h1 miss
        expect h1 hold asset={function}
    """


@dataclass(frozen=True)
class Window:
    """The steps before the clock step, right after it, and once the window has passed in real time."""

    kind: dict[str, Any]
    before: str
    within: str
    past: str


WINDOWS = {
    "a keyed request is not repeated past its window": Window(
        {"window": WINDOW_MS},
        "send c1 call 1 harvest-log token=t body=first\nexpect h1 request body=first op=t",
        "",
        """
        close h1
        expect c1 1 error -32000
        send c2 call 2 weight-read body=second
        expect h1 request body=second
        """,
    ),
    "the floor of one order is granted once in a window": Window(
        {"settings": rationed(floor=1, share=0)},
        ordered(1, ONE)
        + f"send h1 ok of=hold pods=1\nexpect h1 request asset={ONE}\nsend h1 ok n=w\nexpect c1 1 result",
        missed(2, OTHER),
        ordered(3, LATER),
    ),
    "requests older than the window buy no order": Window(
        {"settings": rationed(floor=0, share=0.4)},
        "".join(served(number, ONE) for number in range(1, 5)),
        "",
        missed(5, OTHER) + served(6, ONE),
    ),
}


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("case", WINDOWS)
def test_windows_are_measured_in_real_time(case: str, step: str, tmp_path: Path) -> None:
    window = WINDOWS[case]
    with invoker(tmp_path, **window.kind) as scene:
        scene.play(f"{window.before}\nsend clock {STEPS[step]}\n{window.within}")
        if STEPS[step]:
            scene.wait(f"the wall clock was set {'back' if STEPS[step] < 0 else 'ahead'} by ")
        time.sleep(1.2 * WINDOW_MS / 1000)
        scene.play(window.past)


@pytest.mark.parametrize("step", STEPS)
def test_a_request_keeps_its_time_budget(step: str, tmp_path: Path) -> None:
    """A request that no host answers ends in its time, and one that is answered is served, on the existing
    links and client connections."""
    with invoker(tmp_path) as scene:
        began = time.monotonic()
        scene.play(
            f"""
            send c1 call 1 weight-read body=silent budget=1500
            expect h1 request body=silent
            send c2 call 2 weight-read body=soon
            expect h1 request body=soon
            send clock {STEPS[step]}
            """
        )
        time.sleep(0.3)
        scene.play(
            """
            send h1 ok n=w body=answer
            expect c2 2 result answer
            send c2 call 3 weight-read body=next
            expect h1 request body=next
            send h1 ok n=w body=answer
            expect c2 3 result answer
            expect c1 1 error -32050
            """
        )
        assert 0.5 < time.monotonic() - began < 1.6, "neither at once nor past its time"


@pytest.mark.parametrize("step", STEPS)
def test_a_host_gets_no_more_time_than_the_client_has_left(step: str, tmp_path: Path) -> None:
    with invoker(tmp_path) as scene:
        scene.play(
            f"""
            send c1 call 1 weight-read budget=3000
            expect h1 request
            send clock {STEPS[step]}
            """
        )
        time.sleep(0.5)
        scene.play("send h1 miss\nexpect h1 hold\nsend h1 ok of=hold pods=1")
        frame = scene.parties["h1"].frame()
        assert frame is not None and frame.code == frames.REQUEST
        assert 2000 < int(frame.fields["patience"]) <= 2500


@pytest.mark.parametrize("stopped", [False, True])
def test_requests_queued_during_a_pause_count_from_their_arrival(stopped: bool, tmp_path: Path) -> None:
    """The process is stopped for most of a window and receives requests at its start; after the window those
    requests justify no order."""
    with invoker(tmp_path, settings=rationed(floor=0, share=0.4)) as scene:
        scene.play("send c1 probe 1\nexpect c1 1 healthy")
        time.sleep(0.3)
        scene.play("send node STOP" if stopped else "")
        began = time.monotonic()
        for number in range(2, 7):
            scene.play(f"send c1 call {number} weight-read obj={ONE}")
        time.sleep(0.8 * WINDOW_MS / 1000)
        scene.play("send node CONT")
        for number in range(2, 7):
            scene.play(f"expect h1 request asset={ONE}\nsend h1 ok n=w\nexpect c1 {number} result")
        time.sleep(max(0.0, began + 1.2 * WINDOW_MS / 1000 - time.monotonic()))
        scene.play(missed(7, OTHER).replace("c1", "c2"))
        assert " order " not in scene.log() and ("stood-still" in scene.log()) == stopped


def test_a_pause_is_deducted_from_a_requests_time(tmp_path: Path) -> None:
    with invoker(tmp_path) as scene:
        scene.play(
            "send c1 probe 1\nexpect c1 1 healthy\nsend node STOP\nsend c1 call 2 weight-read budget=3000"
        )
        time.sleep(1.2)
        scene.play("send node CONT")
        frame = scene.parties["h1"].frame()
        assert frame is not None and 1000 < int(frame.fields["patience"]) <= 1800


def test_the_wall_clock_watch_distinguishes_steps_from_slewing_and_pauses() -> None:
    time_ms, base = 0.0, 1e12
    delays = iter([0.0] * 6 + [4000.0] + [0.0] * 30)  # how long the process is stopped before each reading

    def now() -> float:
        nonlocal time_ms
        time_ms += next(delays)
        return time_ms

    watch = WallClockWatch(now, lambda: base + now())
    assert [watch.read_step(), watch.read_step()] == [0.0, 0.0] and time_ms == 4000.0, "a pause is no step"
    base -= 3000.0
    assert watch.read_step() == -3000.0
    for _ in range(5):
        base += 0.9 * NOTICEABLE_STEP_MS
        assert watch.read_step() == 0.0


def test_the_shim_names_a_missing_compiler() -> None:
    with pytest.raises(NoCompilerError, match="no C compiler 'no-such-cc' on PATH"):
        build_shim("no-such-cc")
