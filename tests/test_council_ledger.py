"""The ledger's turns if the operator's file has a council."""

from __future__ import annotations

from pathlib import Path

import pytest

from harrieryoke.core.calls import CallMaker
from harrieryoke.core.module import ModuleActor
from harrieryoke.council.turns import TurnsActor
from harrieryoke.ledger.part import LedgerPart
from harrieryoke.ledger.reconciler import LocalTurns
from harrieryoke.limits import Limits
from harrieryoke.log import Log
from harrieryoke.operator_file import read_operator

from .rig import SETTINGS

FILE = """
[ledger]
[ledger.collector]
address = "127.0.0.1:9"
[council]
installation = "hall"
voters = ["n"]
duties = [{duties}]
members = {{ n = "127.0.0.1:9" }}
[council.reconcile]
at_once = {at_once}
"""


def turns(folder: Path, duties: str, at_once: int = 2) -> object:
    path = folder / "operator.toml"
    path.write_text(FILE.format(duties=duties, at_once=at_once))
    operator_file, limits, log = read_operator(str(path)), Limits(), Log("n")
    operator_file.check(SETTINGS, limits)
    core = ModuleActor(SETTINGS, 7, limits, log)
    made = operator_file.parts(
        SETTINGS, core, CallMaker(SETTINGS, limits), limits, log, lambda *_: (404, None)
    )
    assert isinstance(made.ledger, LedgerPart) and made.ledger.link is not None
    return made.ledger.link.reconciler.turns


def test_a_period_waits_for_its_turn_if_the_council_has_the_duty(tmp_path: Path) -> None:
    assert isinstance(turns(tmp_path, '"reconcile"'), TurnsActor)
    assert isinstance(turns(tmp_path, '"calendar:kef"'), LocalTurns)


def test_an_invalid_turn_setting_is_named(tmp_path: Path) -> None:
    with pytest.raises(ValueError, match=r"council\.reconcile\.at_once"):
        turns(tmp_path, '"reconcile"', at_once=0)
