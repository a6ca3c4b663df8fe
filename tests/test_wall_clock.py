"""Spans are of real time: the wall clock of a real invoker is stepped while it serves."""

from __future__ import annotations

import copy
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import pytest

from harrieryoke.net import frames

from .faults.clock import NoCompilerError, WallClockShim, build_shim
from .scenario import SETTINGS, Scene

HOUR_MS = 3_600_000.0
STEPS = {
    "none": 0.0,
    "3 s back": -3000.0,
    "3 s ahead": 3000.0,
    "an hour back": -HOUR_MS,
    "an hour ahead": HOUR_MS,
}
WINDOW_MS = 1500  # of keys and of the ration, so that a test can wait for its end


@contextmanager
def invoker(folder: Path, settings: dict[str, Any] | None = None, **kind: Any) -> Iterator[Scene]:
    """An invoker whose wall clock the step `send clock MS` sets."""
    scene = Scene(folder, settings=settings, clock=WallClockShim(folder), **kind)
    try:
        yield scene
    finally:
        log = scene.end()
    assert "greenlet-died" not in log and "module-fault" not in log, log


def rationed(floor: float, share: float) -> dict[str, Any]:
    """Settings under which load orders are scarce."""
    settings = copy.deepcopy(SETTINGS)
    settings["extra"] |= {"load-window": WINDOW_MS, "load-floor": floor, "load-share": share}
    return settings


def functions() -> Iterator[str]:
    """Names of functions, each of them new."""
    return (f"{n:016x}" for n in range(1, 1000))


@pytest.mark.parametrize("step", STEPS)
def test_a_keyed_request_is_not_repeated_past_its_real_window(step: str, tmp_path: Path) -> None:
    with invoker(tmp_path, window=WINDOW_MS) as scene:
        scene.play(
            f"""
            send c1 call 1 harvest-log token=t body=first
            expect h1 request body=first op=t
            send clock {STEPS[step]}
            """
        )
        time.sleep(1.2 * WINDOW_MS / 1000)
        scene.play(
            """
            close h1
            expect c1 1 error -32000
            send c2 call 2 weight-read body=second
            expect h1 request body=second
            """
        )


@pytest.mark.parametrize("step", STEPS)
def test_orders_keep_to_their_ration_in_real_time(step: str, tmp_path: Path) -> None:
    """The floor of one order is spent; what the wall clock says gives nobody a second one."""
    one, other, later = list(functions())[:3]
    with invoker(tmp_path, rationed(floor=1, share=0)) as scene:
        scene.play(
            f"""
            send c1 call 1 weight-read obj={one}
            expect h1 request asset={one}
            send h1 miss
            expect h1 hold asset={one}
            send h1 ok of=hold pods=1
            expect h1 request asset={one}
            send h1 ok n=w
            expect c1 1 result
            send clock {STEPS[step]}
            send c1 call 2 weight-read obj={other} budget=900
            expect h1 request asset={other}
            send h1 miss
            expect c1 2 error -32050
            """
        )
        time.sleep(1.2 * WINDOW_MS / 1000)
        scene.play(
            f"""
            send c1 call 3 weight-read obj={later}
            expect h1 request asset={later}
            send h1 miss
            expect h1 hold asset={later}
            """
        )


@pytest.mark.parametrize("step", STEPS)
def test_requests_buy_orders_for_their_real_window_alone(step: str, tmp_path: Path) -> None:
    """Requests that lie longer back than the window buy no order, wherever the wall clock puts them."""
    one, other = list(functions())[:2]
    with invoker(tmp_path, rationed(floor=0, share=0.4)) as scene:
        for number in range(1, 5):
            scene.play(
                f"""
                send c1 call {number} weight-read obj={one}
                expect h1 request asset={one}
                send h1 ok n=w
                expect c1 {number} result
                """
            )
        scene.play(f"send clock {STEPS[step]}")
        time.sleep(1.2 * WINDOW_MS / 1000)
        scene.play(
            f"""
            send c1 call 5 weight-read obj={other} budget=900
            expect h1 request asset={other}
            send h1 miss
            expect c1 5 error -32050
            send c1 call 6 weight-read obj={one}
            expect h1 request asset={one}
            """
        )


@pytest.mark.parametrize("step", STEPS)
def test_a_request_has_the_time_that_its_client_gave_it(step: str, tmp_path: Path) -> None:
    """One that no host answers ends in its time, and one that a host answers soon is served, on the links and
    client connections that there were."""
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
def test_a_host_is_given_no_more_time_than_the_client_has_left(step: str, tmp_path: Path) -> None:
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


def test_the_shim_names_a_missing_compiler() -> None:
    with pytest.raises(NoCompilerError, match="no C compiler 'no-such-cc' on PATH"):
        build_shim("no-such-cc")
