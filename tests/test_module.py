"""Limits on the size of the decision modules and on what they use."""

from __future__ import annotations

import re
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
POLICY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
SOURCES = {name: (ROOT / name).read_text() for name in POLICY}


@pytest.mark.parametrize("name", POLICY)
def test_each_decision_module_stays_within_its_size_limit(name: str) -> None:
    lines = SOURCES[name].splitlines()
    assert sum(bool(line.strip()) for line in lines) <= 500
    assert max(map(len, lines)) <= 110


@pytest.mark.parametrize("name", POLICY)
def test_no_decision_module_keeps_a_clock(name: str) -> None:
    assert not re.search(r"\bhash\(|\btime\b\.|import time|import random|\bset\(", SOURCES[name])


def test_the_decision_module_names_its_interface_first() -> None:
    assert "`interface.py`" in SOURCES["harrieryoke/router.py"].splitlines()[0]
