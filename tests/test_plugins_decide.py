"""What is decided about plug-ins, without I/O: whatever comes back, whatever the order of events."""

from __future__ import annotations

import math
from collections import Counter
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from harrieryoke.plugins.decide import abi, trust
from harrieryoke.plugins.decide.abi import ADMIT, Fault, Said, Target
from harrieryoke.plugins.decide.binding import Binding
from harrieryoke.plugins.decide.breaker import CLOSED, HALF_OPEN, OPEN, Breaker, BreakerLimits
from harrieryoke.plugins.decide.budget import Allowance, Restarts
from harrieryoke.plugins.decide.manifest import Budgets, Manifest, ManifestError, granted, within
from harrieryoke.plugins.decide.merge import AVOID, PREFER, Fleet, Host, Merged, WishBook, by_label, settle
from harrieryoke.plugins.decide.state import State
from harrieryoke.plugins.decide.trust import Signature, TrustedKey, TrustError
from harrieryoke.plugins.decide.versions import Back, Promote, Reject, Retire, Slot, SwapLimits
from harrieryoke.plugins.decide.walk import Stop, Walk, time_for

ALL = frozenset(abi.CAPABILITIES)
FUZZ = settings(max_examples=300, deadline=None, derandomize=True)
anything: st.SearchStrategy[Any] = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=40) | st.binary(max_size=20),
    lambda inner: st.lists(inner, max_size=5)
    | st.dictionaries(
        st.sampled_from(["refuse_ms", "function", "prefer", "avoid", "warm", "wanted_ms", "label", "x"])
        | st.text(max_size=5)
        | st.integers(),
        inner,
        max_size=6,
    ),
    max_leaves=12,
)


@FUZZ
@given(anything, st.sets(st.sampled_from(abi.CAPABILITIES)), st.booleans())
def test_whatever_a_plugin_returns_is_bounded_advice_or_a_fault(
    said: Any, has: set[str], named: bool
) -> None:
    try:
        read = abi.read_request(said, frozenset(has), named, 500.0)
    except Fault as fault:
        assert fault.kind in abi.FAULTS
        return
    assert read.refuse is None or 0 <= read.refuse <= 500
    assert read.wanted is None or (math.isfinite(read.wanted) and read.wanted >= 1)
    assert len(read.prefer) <= abi.MOST_TARGETS and len(read.warm) <= abi.MOST_WARM
    assert read.function is None or (named and "function" in has and abi.HEX16.match(read.function))
    assert "advise" in has or not (read.prefer or read.avoid or read.wanted)
    assert "warm" in has or not read.warm


@pytest.mark.parametrize(
    ("said", "kind"),
    [
        ([1], "wrong-answer"),
        ("perhaps", "wrong-answer"),
        (7, "wrong-answer"),
        ({"tenant": "x"}, "wrong-answer"),
        ({"refuse_ms": math.nan}, "wrong-answer"),
        ({"refuse_ms": True}, "wrong-answer"),
        ({"prefer": "zone:a"}, "wrong-answer"),
        ({"prefer": ["hall-a"]}, "wrong-answer"),
        ({"avoid": ["zone:a"] * 33}, "too-large"),
        ({"avoid": ["host:" + "x" * 200]}, "wrong-answer"),
        ({"warm": ["f"]}, "wrong-answer"),
        ({"label": "x" * 65}, "wrong-answer"),
        ({"label": "a\nb"}, "wrong-answer"),
        ({"function": "00000000000000ff"}, "not-allowed"),
    ],
)
def test_a_wrong_answer_is_a_fault_of_its_kind(said: Any, kind: str) -> None:
    with pytest.raises(Fault) as caught:
        abi.read_request(said, ALL, False, 500.0)
    assert caught.value.kind == kind


def test_numbers_without_end_are_brought_to_their_bounds() -> None:
    assert abi.read_request({"refuse_ms": math.inf, "wanted_ms": -math.inf}, ALL, False, 500.0) == Said(
        refuse=500.0, wanted=1.0
    )


HOSTS = [
    Host(1, "mh1", "hall-a", "std", "active"),
    Host(2, "mh2", "hall-b", "std", "active"),
    Host(3, "mh3", "hall-b", "fast", "leaving"),
    Host(4, "mh4", "hall-a", "fast", "active"),
]


def advised(*said: Said) -> tuple[dict[int, float], Counter[str], Merged]:
    fleet, dropped, merged = Fleet(), Counter[str](), Merged()
    fleet.apply(True, HOSTS)
    for n, each in enumerate(said):
        merged.add(f"p{n}", each)
    return settle(merged, fleet, dropped), dropped, merged


def test_avoid_goes_before_prefer_whoever_says_it() -> None:
    a, b = Said(prefer=(Target("zone", "hall-a"),)), Said(avoid=(Target("host", "mh1"),))
    for order in ((a, b), (b, a)):
        assert advised(*order)[0] == {1: AVOID, 4: PREFER}


def test_advice_on_hosts_that_drain_have_gone_or_never_were_is_dropped_and_counted() -> None:
    bias, dropped, _ = advised(
        Said(prefer=(Target("host", "mh3"), Target("host", "mh9"), Target("zone", "moon"))),
        Said(avoid=(Target("kind", "fast"),)),
    )
    assert bias == {4: AVOID} and dropped == {"leaving": 1, "unknown": 2}


def test_advice_to_avoid_all_says_nothing() -> None:
    bias, dropped, _ = advised(Said(avoid=(Target("zone", "hall-a"), Target("zone", "hall-b"))))
    assert bias == {} and dropped == {"avoids-all": 1}


def test_a_host_replaced_under_a_new_id_gets_none_of_the_old_ones_advice() -> None:
    fleet, merged, dropped = Fleet(), Merged(), Counter[str]()
    fleet.apply(True, HOSTS)
    fleet.apply(False, [Host(1, "mh1", "hall-a", "std", "left"), Host(9, "mh9", "hall-a", "std", "active")])
    merged.add("p", Said(prefer=(Target("host", "mh1"),)))
    assert settle(merged, fleet, dropped) == {} and dropped == {"unknown": 1}


def test_conflicts_are_settled_by_order_and_counted() -> None:
    *_, merged = advised(
        Said(function="a" * 16, wanted=300, label="x"),
        Said(function="b" * 16, wanted=200, label="x", warm=("c" * 16,)),
    )
    assert (merged.function, merged.wanted, merged.label, merged.conflicts) == ("a" * 16, 200, "x", 1)
    assert merged.warm == [("p1", "c" * 16)]


def test_wishes_are_bounded_by_plugin_and_time() -> None:
    book = WishBook(last=1000, every=100, most=8)
    kept = [book.wish("greedy", f"f{n}", 4, 0.0) for n in range(10_000)]
    assert sum(kept) == 4 and book.counts == {"kept": 4, "dropped": 9996}
    assert book.wish("modest", "f0", 4, 0.0)
    assert sorted(book.due(0.0)) == ["f0", "f1", "f2", "f3"] and book.due(50.0) == []
    assert len(book.due(100.0)) == 4 and book.due(1001.0) == [] and not book.wishes


def test_a_binding_shows_a_cooperative_its_own_calls_only() -> None:
    bound = Binding(frozenset({"coop-kef"}), frozenset({"weight-read"}), frozenset({"platform"}))
    assert bound.sees("coop-kef", "weight-read", "platform") and Binding().sees(None, "x", "mqtt")
    for other in (
        ("coop-sahel", "weight-read", "platform"),
        (None, "weight-read", "platform"),
        ("coop-kef", "harvest-log", "platform"),
        ("coop-kef", "weight-read", "mqtt"),
    ):
        assert not bound.sees(*other)


def test_labels_beyond_their_bound_go_together() -> None:
    counts: dict[str, Counter[str]] = {}
    for n in range(1000):
        by_label(counts, f"l{n}", "served", most=10)
    assert len(counts) == 11 and counts["(others)"]["served"] == 990


@pytest.mark.parametrize("policy", ["admit", "refuse"])
def test_a_walk_takes_each_answer_once_and_its_default_for_none(policy: str) -> None:
    stops = [Stop("a", 1), Stop("b", 1, policy), Stop("c", 1)]
    walk = Walk(stops, 500.0)
    assert walk.heard(stops[0], ADMIT) and not walk.heard(stops[0], Said(refuse=1.0))
    assert not walk.heard(stops[2], Said(refuse=1.0))  # it was not asked yet
    assert walk.heard(stops[1], None) and walk.defaulted == 1
    assert walk.next() is (stops[2] if policy == "admit" else None)
    assert walk.merged.refuse == (None if policy == "admit" else 500.0)


@FUZZ
@given(st.floats(0, 1e4), st.floats(1, 1e5), st.floats(0.1, 5000), st.floats(0.1, 5000))
def test_no_budget_keeps_a_call_longer_than_its_part_of_the_clients_time(
    spent: float, given_: float, call_ms: float, all_ms: float
) -> None:
    one, every = time_for(1000 + spent, 1000.0, 1000.0 + given_, call_ms, all_ms)
    assert one <= every <= 1000 + 0.2 * given_ + 1e-6 and one <= 1000 + spent + call_ms + 1e-6


def test_the_breaker_opens_by_a_row_or_a_share_and_closes_by_trials_one_at_a_time() -> None:
    b = Breaker(BreakerLimits(in_a_row=3, window=10, share=0.5, first_pause=100, longest_pause=300, trials=2))
    for _ in range(3):
        assert b.allows(0.0)
        b.bad(0.0)
    assert b.state == OPEN and not b.allows(99.0)
    assert b.allows(100.0) and b.state == HALF_OPEN and not b.allows(100.0)
    b.bad(100.0)
    assert b.state == OPEN and not b.allows(299.0) and b.allows(300.0)  # twice as long
    b.good(300.0)
    assert b.state == HALF_OPEN and b.allows(301.0)
    b.good(301.0)
    assert b.state == CLOSED
    for n in range(10):  # every second one fails: no row, but a share
        (b.bad if n % 2 else b.good)(400.0)
    assert b.state == OPEN and b.until == 500.0  # closed in between: the pause began anew


def test_a_debt_of_time_is_waited_for_and_bounded() -> None:
    time = Allowance(rate=250.0, depth=250.0)
    assert time.has(0.0)
    time.charge(0.0, 10_000.0)
    assert not time.has(900.0) and time.has(1001.0)
    taken = Allowance(rate=5.0, depth=5.0)
    assert sum(taken.take(0.0) for _ in range(100)) == 5
    restarts = Restarts(first=50, longest=400)
    assert [restarts.ended() for _ in range(5)] == [50, 100, 200, 400, 400]
    for _ in range(4):
        restarts.served()
    assert restarts.pause == 0.0 or restarts.ended() <= 100


def test_state_is_changed_whole_or_not_at_all() -> None:
    state = State(100, {"a": "1"})
    with pytest.raises(Fault) as caught:
        state.change({"a": "2", "b": "x" * 100})
    assert caught.value.kind == "state-full" and state.values == {"a": "1"}
    for wrong in ({"a": 1}, {"": "x"}, {"k" * 200: "x"}, {3: "x"}):
        with pytest.raises(Fault):
            state.change(wrong)  # type: ignore[arg-type]
    state.change({"a": None, "b": "y"})
    assert state.values == {"b": "y"} and state.held == 18


@FUZZ
@given(
    st.lists(st.dictionaries(st.text(max_size=8), st.none() | st.text(max_size=60), max_size=4), max_size=20)
)
def test_state_stays_within_its_bytes(changes: list[dict[str, str | None]]) -> None:
    state = State(200)
    for change in changes:
        try:
            state.change(change)
        except Fault:
            continue
        assert (
            state.held == sum(len(k.encode()) + len(v.encode()) + 16 for k, v in state.values.items()) <= 200
        )


MANIFEST: dict[str, Any] = {"name": "quiet", "version": "1.0", "engine": "starlark", "file": "p.star"}


@pytest.mark.parametrize(
    ("change", "key"),
    [
        ({"name": "Quiet Hours"}, "name"),
        ({"version": "new"}, "version"),
        ({"engine": "lua"}, "engine"),
        ({"abi": 2}, "abi"),
        ({"file": "../p.star"}, "file"),
        ({"hooks": ["on_fire"]}, "hooks"),
        ({"capabilities": ["root"]}, "capabilities"),
        ({"digest": "md5:1"}, "digest"),
        ({"timer_ms": 1}, "timer_ms"),
        ({"budgets": Budgets(call_ms=9e9)}, "budgets.call_ms"),
        ({"budgets": Budgets(queue=0)}, "budgets.queue"),
        ({"state_layout": 0}, "state_layout"),
    ],
)
def test_a_wrong_key_of_a_manifest_is_named(change: dict[str, Any], key: str) -> None:
    Manifest(**MANIFEST).check()
    with pytest.raises(ManifestError, match=f"^{key}:"):
        Manifest(**(MANIFEST | change)).check()


def test_the_body_is_granted_by_name_only_and_budgets_by_the_smaller() -> None:
    assert granted(["body", "state"], []) == {"state"}
    assert granted(["body", "state"], ["body"]) == {"body"} and granted(["state"], ["body"]) == set()
    assert within(Budgets(call_ms=10, queue=500), Budgets(call_ms=20, queue=100)).queue == 100


KEYS = [TrustedKey("ops", "x", until_ms=1000.0)]


@pytest.mark.parametrize(
    ("found", "policy", "now", "words"),
    [
        (None, "required", 0, "not signed"),
        (Signature("eve", "s"), "optional", 0, "'eve', which is not trusted"),
        (Signature("ops", "s"), "optional", 1001, "key 'ops' has expired"),
        (Signature("ops", "s", 500.0), "required", 600, "signature by the key 'ops' has expired"),
    ],
)
def test_a_signature_that_will_not_do_names_the_key(
    found: Signature | None, policy: str, now: float, words: str
) -> None:
    with pytest.raises(TrustError, match=words):
        trust.key_for(found, policy, KEYS, now)


class Swaps(RuleBasedStateMachine):
    """Any order of calls, swaps, faults, trials, carry-overs and stops: one version serves."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.slot = Slot("p", SwapLimits(trial=4, trial_ms=100, watch=6, watch_ms=200, linger_ms=1000))
        self.calls: list[int] = []
        self.alive: set[int] = set()
        self.promoting: int | None = None

    @initialize()
    def begins(self) -> None:
        self.alive.add(self.slot.first("v1", 0.0))

    @rule()
    def call(self) -> None:
        self.calls.append(self.slot.begin())
        assert self.calls[-1] in self.alive

    @precondition(lambda self: self.calls)
    @rule(data=st.data())
    def ends(self, data: st.DataObject) -> None:
        self.slot.end(self.calls.pop(data.draw(st.integers(0, len(self.calls) - 1))))

    @rule(fault=st.booleans(), candidate=st.booleans())
    def result(self, fault: bool, candidate: bool) -> None:
        number = self.slot.shadow() if candidate else self.slot.current
        if number is not None:
            self.slot.result(number, fault)

    @rule(loads=st.booleans())
    def swap(self, loads: bool) -> None:
        number = self.slot.offer(f"v{self.slot.serial + 1}", self.now)
        assert (number is None) == self.slot.stopping
        if number is None:
            return
        if loads:
            assert self.slot.loaded(number, self.now) and not self.slot.loaded(number, self.now)
            self.alive.add(number)
        else:
            self.slot.failed(number, "can't be loaded")
            assert self.slot.candidate is None and "stays" in self.slot.last

    @rule(ms=st.sampled_from([1.0, 60.0, 150.0, 1100.0]))
    def passes(self, ms: float) -> None:
        self.now += ms
        lingered = ms > 1000
        for step in self.slot.steps(self.now):
            match step:
                case Promote(number):
                    self.promoting = number
                case Back(number, bad, _):
                    assert self.slot.current == number and number in self.alive and bad in self.alive
                case Reject(number):
                    assert self.slot.current != number
                case Retire(number):
                    assert number != self.slot.current
                    assert lingered or self.calls.count(number) == 0 or number not in self.alive
                    self.alive.discard(number)

    @precondition(lambda self: self.promoting is not None)
    @rule(carries=st.booleans())
    def carried(self, carries: bool) -> None:
        number, self.promoting = self.promoting, None
        assert number is not None
        before = self.slot.current
        wanted = self.slot.candidate == number and self.slot.promoting
        if not carries:
            self.slot.failed(number, "carry failed")
            assert self.slot.current == before
        else:
            assert self.slot.promoted(number, self.now) == wanted
            assert self.slot.current == (number if wanted else before)

    @rule()
    def stops(self) -> None:
        self.slot.stopping = True

    @invariant()
    def one_serves(self) -> None:
        if not self.slot.versions:
            return
        stages = [v.stage for v in self.slot.versions.values()]
        assert stages.count("serving") + stages.count("watched") == 1
        assert self.slot.serving().stage in ("serving", "watched")
        assert self.slot.current in self.alive
        assert len(self.slot.versions) <= 4 + sum(stages.count(s) for s in ("rejected", "retired"))


TestSwaps = Swaps.TestCase
TestSwaps.settings = settings(max_examples=150, stateful_step_count=40, deadline=None, derandomize=True)
