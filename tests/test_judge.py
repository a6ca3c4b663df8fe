"""The judge of overload plays some scenarios by their seeds, and finds planted faults."""

from __future__ import annotations

import pytest

from harrieryoke.lab.judge.faults import FAULTS
from harrieryoke.lab.judge.play import play
from harrieryoke.lab.judge.scenario import Loud, Scenario, draw

SEEDS = range(1, 9)
FAULTY_S = 6.0


# Guards against any rule that a loud client can break, for itself or for steady clients.
@pytest.mark.parametrize("seed", SEEDS)
def test_no_scenario_breaks_a_rule(seed: int) -> None:
    verdict = play(draw(seed))
    assert verdict.broken_rules() == [], f"seed {seed}: {verdict.scenario}; {verdict.describe()}"


# Guards against a judge that passes everything.
@pytest.mark.parametrize("fault", FAULTS)
def test_judge_finds_a_planted_fault(fault: str) -> None:
    assert play(Scenario(1, 48, FAULTY_S, Loud(("new_safe", "sound"), 50, 0.0)), fault).broken_rules()
