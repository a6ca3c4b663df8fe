"""One invoker on real processes under crowds, loud clients and clients that leave (docs/incidents/55)."""

from __future__ import annotations

import signal
from collections.abc import Callable, Iterator
from pathlib import Path

import gevent
import pytest

from .overload import Play

CROWD = 330  # a third of the descriptors
CROWD_S, LOUD_S = 4.0, 8.0
LATE_MS = 100.0  # an attempt may begin so long after its client has left
WAIT_MS = 50.0  # by which other clients may wait longer beside a loud one
FLAT_MB = 1.0  # of growth after the first second that is no trend
CROWDS = ("half_request", "short_lines", "unread_answers", "long_answers", "many_props")

StartPlay = Callable[[int], Play]


@pytest.fixture
def start_play(tmp_path: Path) -> Iterator[StartPlay]:
    plays: list[Play] = []

    def start(memory_mb: int) -> Play:
        plays.append(Play(tmp_path, memory_mb))
        return plays[-1]

    yield start
    for play in plays:
        play.close()


def assert_serves_in_its_memory(play: Play, memory_mb: int, seconds: float) -> None:
    """Have the usual client call beside the crowds; it loses nothing and the process keeps to its limit."""
    usual = gevent.spawn(play.usual.run, seconds)
    results = play.crowd_results()
    usual.join()
    assert play.process.poll() is None, play.log()[-2000:]
    assert play.memory_mb() <= memory_mb
    assert play.usual.outcomes and set(play.usual.outcomes) == {"served"}
    assert [result.unanswered for result in results] == [0] * len(results)


# Guards against a crowd of clients that makes the process pass its memory limit, or costs others their calls.
@pytest.mark.parametrize("memory_mb", [32, 64, 192])
@pytest.mark.parametrize("kind", CROWDS)
def test_crowd_of_one_kind_stays_within_the_memory(start_play: StartPlay, kind: str, memory_mb: int) -> None:
    play = start_play(memory_mb)
    play.start_crowd(kind, CROWD, CROWD_S)
    assert_serves_in_its_memory(play, memory_mb, CROWD_S)


# Guards against kinds of clients that each keep to a bound of their own, and together pass the memory limit.
@pytest.mark.parametrize("memory_mb", [32, 64, 192])
def test_crowds_of_all_kinds_stay_within_the_memory(start_play: StartPlay, memory_mb: int) -> None:
    play = start_play(memory_mb)
    for seed, kind in enumerate(CROWDS):
        play.start_crowd(kind, CROWD // len(CROWDS), CROWD_S, seed)
    assert_serves_in_its_memory(play, memory_mb, CROWD_S)


# Guards against one client at full speed that makes the memory grow without end, or others wait.
@pytest.mark.parametrize("kind", ["unsound_lines", "withdrawn_calls"])
def test_loud_client_neither_fills_the_memory_nor_delays_others(start_play: StartPlay, kind: str) -> None:
    play = start_play(32)
    play.usual.run(LOUD_S / 2)
    alone = play.usual.latency(0.95)
    play.usual.latencies.clear()
    play.start_crowd(kind, 1, LOUD_S)
    usual = gevent.spawn(play.usual.run, LOUD_S)
    gevent.sleep(1.5)  # the loud client's process starts in the first half second
    first = play.memory_mb()
    usual.join()
    assert play.process.poll() is None
    assert play.memory_mb() - first <= FLAT_MB
    assert set(play.usual.outcomes) == {"served"}
    assert play.usual.latency(0.95) - alone <= WAIT_MS


# Guards against requests of a client that has left, read or not, that are sent on afterwards.
@pytest.mark.parametrize("how", ["closes", "resets", "half-closes"])
def test_nothing_begins_for_clients_that_left_while_the_process_stood_still(
    start_play: StartPlay, how: str
) -> None:
    play = start_play(192)
    play.start_crowd(how, 10, 0)
    for _ in range(12):
        gevent.sleep(0.15)
        play.process.send_signal(signal.SIGSTOP)
        gevent.sleep(0.3)
        play.process.send_signal(signal.SIGCONT)
    (result,) = play.crowd_results()
    late = [at - result.left[id] for at, id, _ in play.arrivals() if id in result.left]
    assert [round(ms) for ms in late if ms > LATE_MS] == []
