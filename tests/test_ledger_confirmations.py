"""Operators' changes of the ledger: what was confirmed is in the store, whatever ends the process then."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import gevent
import pytest

from harrieryoke.ledger import operator_changes
from harrieryoke.ledger.decide.entry import CORRECTION, EntryId
from harrieryoke.ledger.decide.ledger import PERIOD_SEALED
from harrieryoke.store.commands import open_reader
from harrieryoke.store.store import Store

from .test_ledger import Rig, until

RELEASE_S = 0.3  # the disk stands still for this long
NO_AMOUNTS = {"calls": "0", "worth": "0", "took": "0", "held": "0"}
Answer = tuple[int, Any]


class Gate:
    """Stops the store's thread before it takes the records that follow an operator's change."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.open = threading.Event()
        self.open.set()
        append = Store.append

        def append_when_open(store: Store, *record: Any) -> int | None:
            self.open.wait(10)
            return append(store, *record)

        monkeypatch.setattr(Store, "append", append_when_open)

    def close_for(self, seconds: float) -> None:
        self.open.clear()
        opening = threading.Timer(seconds, self.open.set)  # the caller may be the store's thread
        opening.daemon = True
        opening.start()


@pytest.fixture
def gate(monkeypatch: pytest.MonkeyPatch) -> Iterator[Gate]:
    created = Gate(monkeypatch)
    yield created
    created.open.set()


def start_rig(folder: Path, sync: str) -> Rig:
    """A ledger of periods of a second with an entry in one that is over; nothing is sealed by itself."""
    rig = Rig(folder, None, period_s=1, grace_s=3600, store={"sync": sync})
    rig.finish_calls(3)
    until(lambda: rig.part.actor.ledger.book.last_number == 3)
    gevent.sleep(1.1)  # to the end of their period
    return rig


def correct(rig: Rig) -> Answer:
    query = {"id": f"n1/{rig.part.actor.epoch:x}/1", "reason": "a test", **NO_AMOUNTS}
    return rig.part.answer("POST", "/ledger/correct", query, 1000)


def close(rig: Rig) -> Answer:
    period = rig.part.actor.ledger.unbatched[0].entry.period
    return rig.part.answer("POST", "/ledger/close", {"period": str(period)}, 1000)


def stored(folder: Path, kind: int) -> int:
    """How many records of a kind another process finds in the folder now."""
    return sum(record.kind == kind for record in open_reader(str(folder)).records_from_seq(1))


CHANGES: dict[str, tuple[Callable[[Rig], Answer], int]] = {
    "correct": (correct, CORRECTION),
    "close": (close, PERIOD_SEALED),
}


def close_gate_after_reading(gate: Gate, seconds: float, monkeypatch: pytest.MonkeyPatch) -> None:
    """The disk stands still from the moment on at which the amounts before the change have been read."""
    read = Store.records_with_key

    def read_then_close(store: Store, key: bytes) -> Any:
        records = list(read(store, key))
        gate.close_for(seconds)
        return iter(records)

    monkeypatch.setattr(Store, "records_with_key", read_then_close)


@pytest.mark.parametrize("sync", ["group", "interval", "none"])
@pytest.mark.parametrize("change", CHANGES)
def test_a_confirmed_change_is_in_the_store(
    change: str, sync: str, gate: Gate, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against corrections and seals that were confirmed and are gone after a kill (review/10)."""
    rig = start_rig(tmp_path, sync)
    make, kind = CHANGES[change]
    if change == "correct":
        close_gate_after_reading(gate, RELEASE_S, monkeypatch)
    else:
        gate.close_for(RELEASE_S)
    code, answer = make(rig)
    found, durable = stored(tmp_path, kind), rig.part.actor.durable_seq() == rig.part.actor.last_seq()
    gate.open.set()
    rig.part.stop()
    assert (code, found, durable) == (200, 1, True), answer


@pytest.mark.parametrize("change", CHANGES)
def test_a_change_that_the_disk_does_not_take_in_time_is_not_confirmed(
    change: str, gate: Gate, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a second correction where the first one stands, but was not confirmed (review/10)."""
    monkeypatch.setattr(operator_changes, "CONFIRM_TIMEOUT_S", 0.5)
    rig = start_rig(tmp_path, "group")
    make, kind = CHANGES[change]
    with monkeypatch.context() as patched:
        if change == "correct":
            close_gate_after_reading(gate, 10, patched)
        else:
            gate.close_for(10)
        code, answer = make(rig)
        assert code == 503 and "not durable yet" in answer["error"], answer
        if change == "correct":  # what the first one came to can't be read, so nothing is added to it
            code, answer = make(rig)
            assert code == 503 and "was not corrected" in answer["error"], answer
    gate.open.set()
    until(lambda: stored(tmp_path, kind) == 1)
    code, answer = make(rig)
    assert code == 400 and "already" in answer["error"], answer
    rig.part.stop()
    assert stored(tmp_path, kind) == 1


def test_corrections_of_one_entry_at_once_are_applied_once(tmp_path: Path) -> None:
    """Guards against corrections that each take the sum before the others (issue 46, 4)."""
    rig = start_rig(tmp_path, "group")
    answers: list[Answer] = []
    callers = [gevent.spawn(lambda: answers.append(correct(rig))) for _ in range(10)]
    gevent.joinall(callers)
    totals = rig.part.actor.request_status(1000)["totals"]
    rig.part.stop()
    (made,) = [answer["id"] for code, answer in answers if code == 200]
    assert [made in answer["error"] for code, answer in answers if code == 400] == 9 * [True], answers
    assert sum(row["calls"] for row in totals) == 2 and stored(tmp_path, CORRECTION) == 1


def test_a_correction_whose_own_entry_is_unreadable_is_turned_down(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a request that ends without an answer: the root of the entry is there, it is not."""
    rig = start_rig(tmp_path, "group")
    epoch, store_writer = rig.part.actor.epoch, rig.part.actor.store_writer
    assert store_writer is not None
    others = operator_changes.find_with_corrections(store_writer.store, EntryId("n1", epoch, 2))
    monkeypatch.setattr(operator_changes, "find_with_corrections", lambda store, id: others)
    code, answer = correct(rig)
    rig.part.stop()
    assert code == 400 and "can't be read" in answer["error"], answer
