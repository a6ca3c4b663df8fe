"""Steady clients beside a loud one, and the loud one itself, on real processes (docs/incidents/61)."""

from __future__ import annotations

import pytest

from harrieryoke.lab.judge.play import Verdict, play
from harrieryoke.lab.judge.scenario import Loud, Scenario, Steady

SMALL_LINES = Loud(("unsound", "tiny", "sound"), 150, 0.0)
NEW_NAMES = Loud(("new_safe", "new_keyed", "unsound"), 50, 0.0)
LARGE_BODIES = Steady(clients=20, rate_s=8.0, connecting_rate_s=0.0, body_bytes=16_000)


def check(verdict: Verdict) -> None:
    assert verdict.broken_rules() == [], verdict.describe()


# Guards against a connection that is ended with calls on it, as many answers wait to be accepted.
@pytest.mark.parametrize("memory_mb", [48, 64, 192])
def test_connection_of_a_client_that_reads_is_not_ended_for_its_small_lines(memory_mb: int) -> None:
    check(play(Scenario(1, memory_mb, 6.0, SMALL_LINES)))


# Guards against steady clients that lose calls and connections while another calls ever new names.
def test_steady_clients_lose_nothing_beside_ever_new_names() -> None:
    verdict = play(Scenario(1, 48, 20.0, NEW_NAMES, LARGE_BODIES))
    check(verdict)
    assert verdict.kept.ended == 0
