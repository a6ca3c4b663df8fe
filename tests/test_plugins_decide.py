"""The decision logic of plug-ins, without I/O: any result of a hook, any order of events."""

from __future__ import annotations

import math
from collections import Counter
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from harrieryoke.plugins.decide import abi, trust
from harrieryoke.plugins.decide.abi import ADMIT, Advice, Fault, Target
from harrieryoke.plugins.decide.binding import Binding
from harrieryoke.plugins.decide.breaker import CLOSED, HALF_OPEN, OPEN, Breaker, BreakerLimits
from harrieryoke.plugins.decide.budget import RestartBackoff, TokenBucket
from harrieryoke.plugins.decide.manifest import (
    Budgets,
    Manifest,
    ManifestError,
    cap_budgets,
    granted_capabilities,
)
from harrieryoke.plugins.decide.merge import (
    AVOID_FACTOR,
    PREFER_FACTOR,
    Host,
    HostList,
    MergedAdvice,
    PrewarmRequests,
    count_by_label,
    resolve_cost_factors,
)
from harrieryoke.plugins.decide.state import PluginState
from harrieryoke.plugins.decide.trust import Signature, TrustedKey, TrustError
from harrieryoke.plugins.decide.versions import PluginVersions, Promote, Reject, Retire, RollBack, SwapLimits
from harrieryoke.plugins.decide.walk import ChainEntry, PluginChain, hook_deadlines

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
    result: Any, capabilities: set[str], may_set_function: bool
) -> None:
    try:
        advice = abi.parse_request_advice(result, frozenset(capabilities), may_set_function, 500.0)
    except Fault as fault:
        assert fault.kind in abi.FAULT_KINDS
        return
    assert advice.retry_after_ms is None or 0 <= advice.retry_after_ms <= 500
    assert advice.latency_target_ms is None or (
        math.isfinite(advice.latency_target_ms) and advice.latency_target_ms >= 1
    )
    assert len(advice.prefer) <= abi.MAX_TARGETS and len(advice.warm) <= abi.MAX_WARM_FUNCTIONS
    assert advice.function is None or (
        may_set_function and "function" in capabilities and abi.FUNCTION_PATTERN.match(advice.function)
    )
    assert "advise" in capabilities or not (advice.prefer or advice.avoid or advice.latency_target_ms)
    assert "warm" in capabilities or not advice.warm


@pytest.mark.parametrize(
    ("result", "kind"),
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
def test_a_wrong_answer_is_a_fault_of_its_kind(result: Any, kind: str) -> None:
    with pytest.raises(Fault) as caught:
        abi.parse_request_advice(result, ALL, False, 500.0)
    assert caught.value.kind == kind


def test_infinite_numbers_are_clamped_to_their_bounds() -> None:
    assert abi.parse_request_advice(
        {"refuse_ms": math.inf, "wanted_ms": -math.inf}, ALL, False, 500.0
    ) == Advice(retry_after_ms=500.0, latency_target_ms=1.0)


HOSTS = [
    Host(1, "mh1", "hall-a", "std", "active"),
    Host(2, "mh2", "hall-b", "std", "active"),
    Host(3, "mh3", "hall-b", "fast", "leaving"),
    Host(4, "mh4", "hall-a", "fast", "active"),
]


def resolve_advice(*advice: Advice) -> tuple[dict[int, float], Counter[str], MergedAdvice]:
    host_list, dropped, merged = HostList(), Counter[str](), MergedAdvice()
    host_list.apply(True, HOSTS)
    for n, each in enumerate(advice):
        merged.add(f"p{n}", each)
    return resolve_cost_factors(merged, host_list, dropped), dropped, merged


def test_avoid_takes_precedence_over_prefer_in_any_order() -> None:
    a, b = Advice(prefer=(Target("zone", "hall-a"),)), Advice(avoid=(Target("host", "mh1"),))
    for order in ((a, b), (b, a)):
        assert resolve_advice(*order)[0] == {1: AVOID_FACTOR, 4: PREFER_FACTOR}


def test_advice_on_draining_removed_or_unknown_hosts_is_dropped_and_counted() -> None:
    cost_factors, dropped, _ = resolve_advice(
        Advice(prefer=(Target("host", "mh3"), Target("host", "mh9"), Target("zone", "moon"))),
        Advice(avoid=(Target("kind", "fast"),)),
    )
    assert cost_factors == {4: AVOID_FACTOR} and dropped == {"leaving": 1, "unknown": 2}


def test_advice_to_avoid_all_hosts_is_dropped() -> None:
    cost_factors, dropped, _ = resolve_advice(
        Advice(avoid=(Target("zone", "hall-a"), Target("zone", "hall-b")))
    )
    assert cost_factors == {} and dropped == {"avoids-all": 1}


def test_a_host_replaced_under_a_new_id_gets_none_of_the_old_ones_advice() -> None:
    host_list, merged, dropped = HostList(), MergedAdvice(), Counter[str]()
    host_list.apply(True, HOSTS)
    host_list.apply(
        False, [Host(1, "mh1", "hall-a", "std", "left"), Host(9, "mh9", "hall-a", "std", "active")]
    )
    merged.add("p", Advice(prefer=(Target("host", "mh1"),)))
    assert resolve_cost_factors(merged, host_list, dropped) == {} and dropped == {"unknown": 1}


def test_conflicts_are_settled_by_order_and_counted() -> None:
    *_, merged = resolve_advice(
        Advice(function="a" * 16, latency_target_ms=300, label="x"),
        Advice(function="b" * 16, latency_target_ms=200, label="x", warm=("c" * 16,)),
    )
    assert (merged.function, merged.latency_target_ms, merged.label, merged.conflicts) == (
        "a" * 16,
        200,
        "x",
        1,
    )
    assert merged.warm == [("p1", "c" * 16)]


def test_prewarm_requests_are_bounded_by_plugin_and_time() -> None:
    requests = PrewarmRequests(ttl_ms=1000, interval_ms=100, max_requests=8)
    kept = [requests.add("greedy", f"f{n}", 4, 0.0) for n in range(10_000)]
    assert sum(kept) == 4 and requests.counts == {"kept": 4, "dropped": 9996}
    assert requests.add("modest", "f0", 4, 0.0)
    assert sorted(requests.take_due(0.0)) == ["f0", "f1", "f2", "f3"] and requests.take_due(50.0) == []
    assert len(requests.take_due(100.0)) == 4 and requests.take_due(1001.0) == [] and not requests.requests


def test_a_binding_shows_a_cooperative_its_own_calls_only() -> None:
    binding = Binding(frozenset({"coop-kef"}), frozenset({"weight-read"}), frozenset({"platform"}))
    assert binding.matches("coop-kef", "weight-read", "platform") and Binding().matches(None, "x", "mqtt")
    for other in (
        ("coop-sahel", "weight-read", "platform"),
        (None, "weight-read", "platform"),
        ("coop-kef", "harvest-log", "platform"),
        ("coop-kef", "weight-read", "mqtt"),
    ):
        assert not binding.matches(*other)


def test_labels_beyond_the_limit_are_counted_together() -> None:
    counts: dict[str, Counter[str]] = {}
    for n in range(1000):
        count_by_label(counts, f"l{n}", "served", max_labels=10)
    assert len(counts) == 11 and counts["(others)"]["served"] == 990


@pytest.mark.parametrize("policy", ["admit", "refuse"])
def test_a_chain_takes_each_answer_once_and_its_default_for_none(policy: str) -> None:
    entries = [ChainEntry("a", 1), ChainEntry("b", 1, policy), ChainEntry("c", 1)]
    chain = PluginChain(entries, 500.0)
    assert chain.record(entries[0], ADMIT) and not chain.record(entries[0], Advice(retry_after_ms=1.0))
    assert not chain.record(entries[2], Advice(retry_after_ms=1.0))  # it was not asked yet
    assert chain.record(entries[1], None) and chain.default_count == 1
    assert chain.next() is (entries[2] if policy == "admit" else None)
    assert chain.merged.retry_after_ms == (None if policy == "admit" else 500.0)


@FUZZ
@given(st.floats(0, 1e4), st.floats(1, 1e5), st.floats(0.1, 5000), st.floats(0.1, 5000))
def test_no_budget_keeps_a_call_longer_than_its_share_of_the_clients_time_limit(
    elapsed: float, client_ms: float, call_ms: float, all_ms: float
) -> None:
    one, all_plugins = hook_deadlines(1000 + elapsed, 1000.0, 1000.0 + client_ms, call_ms, all_ms)
    assert one <= all_plugins <= 1000 + 0.2 * client_ms + 1e-6 and one <= 1000 + elapsed + call_ms + 1e-6


def test_the_breaker_opens_on_consecutive_faults_or_a_fault_share_and_closes_after_single_trials() -> None:
    b = Breaker(
        BreakerLimits(
            consecutive_faults=3,
            window=10,
            fault_share=0.5,
            first_pause_ms=100,
            max_pause_ms=300,
            closing_successes=2,
        )
    )
    for _ in range(3):
        assert b.allow(0.0)
        b.record_fault(0.0)
    assert b.state == OPEN and not b.allow(99.0)
    assert b.allow(100.0) and b.state == HALF_OPEN and not b.allow(100.0)
    b.record_fault(100.0)
    assert b.state == OPEN and not b.allow(299.0) and b.allow(300.0)  # the pause has doubled
    b.record_success(300.0)
    assert b.state == HALF_OPEN and b.allow(301.0)
    b.record_success(301.0)
    assert b.state == CLOSED
    for n in range(10):  # every second call fails: no streak, but the share is reached
        (b.record_fault if n % 2 else b.record_success)(400.0)
    assert b.state == OPEN and b.open_until == 500.0  # it was closed in between: the pause started over


def test_budget_debt_is_bounded_and_restarts_back_off() -> None:
    time_budget = TokenBucket(rate=250.0, capacity=250.0)
    assert time_budget.has_tokens(0.0)
    time_budget.charge(0.0, 10_000.0)
    assert not time_budget.has_tokens(900.0) and time_budget.has_tokens(1001.0)
    log_budget = TokenBucket(rate=5.0, capacity=5.0)
    assert sum(log_budget.try_take(0.0) for _ in range(100)) == 5
    backoff = RestartBackoff(first_ms=50, max_ms=400)
    assert [backoff.record_exit() for _ in range(5)] == [50, 100, 200, 400, 400]
    for _ in range(4):
        backoff.record_success()
    assert backoff.pause_ms == 0.0 or backoff.record_exit() <= 100


def test_state_changes_are_applied_all_or_none() -> None:
    state = PluginState(100, {"a": "1"})
    with pytest.raises(Fault) as caught:
        state.apply({"a": "2", "b": "x" * 100})
    assert caught.value.kind == "state-full" and state.values == {"a": "1"}
    for wrong in ({"a": 1}, {"": "x"}, {"k" * 200: "x"}, {3: "x"}):
        with pytest.raises(Fault):
            state.apply(wrong)  # type: ignore[arg-type]
    state.apply({"a": None, "b": "y"})
    assert state.values == {"b": "y"} and state.used_bytes == 18


@FUZZ
@given(
    st.lists(st.dictionaries(st.text(max_size=8), st.none() | st.text(max_size=60), max_size=4), max_size=20)
)
def test_state_stays_within_its_bytes(changes: list[dict[str, str | None]]) -> None:
    state = PluginState(200)
    for change in changes:
        try:
            state.apply(change)
        except Fault:
            continue
        assert (
            state.used_bytes
            == sum(len(k.encode()) + len(v.encode()) + 16 for k, v in state.values.items())
            <= 200
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
    assert granted_capabilities(["body", "state"], []) == {"state"}
    assert (
        granted_capabilities(["body", "state"], ["body"]) == {"body"}
        and granted_capabilities(["state"], ["body"]) == set()
    )
    assert cap_budgets(Budgets(call_ms=10, queue=500), Budgets(call_ms=20, queue=100)).queue == 100


KEYS = [TrustedKey("ops", "x", until_ms=1000.0)]


@pytest.mark.parametrize(
    ("signature", "policy", "now", "message"),
    [
        (None, "required", 0, "not signed"),
        (Signature("eve", "s"), "optional", 0, "'eve', which is not trusted"),
        (Signature("ops", "s"), "optional", 1001, "key 'ops' has expired"),
        (Signature("ops", "s", 500.0), "required", 600, "signature by the key 'ops' has expired"),
    ],
)
def test_the_error_for_an_unacceptable_signature_names_the_key(
    signature: Signature | None, policy: str, now: float, message: str
) -> None:
    with pytest.raises(TrustError, match=message):
        trust.signing_key(signature, policy, KEYS, now)


class Swaps(RuleBasedStateMachine):
    """In any order of calls, swaps, faults, trials, state imports and stops, exactly one version serves."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.versions = PluginVersions(
            "p", SwapLimits(trial_calls=4, trial_ms=100, watch_calls=6, watch_ms=200, retire_timeout_ms=1000)
        )
        self.calls: list[int] = []
        self.alive: set[int] = set()
        self.promoting: int | None = None

    @initialize()
    def begins(self) -> None:
        self.alive.add(self.versions.add_first("v1", 0.0))

    @rule()
    def call(self) -> None:
        self.calls.append(self.versions.begin_call())
        assert self.calls[-1] in self.alive

    @precondition(lambda self: self.calls)
    @rule(data=st.data())
    def ends(self, data: st.DataObject) -> None:
        self.versions.end_call(self.calls.pop(data.draw(st.integers(0, len(self.calls) - 1))))

    @rule(fault=st.booleans(), candidate=st.booleans())
    def result(self, fault: bool, candidate: bool) -> None:
        number = self.versions.trial_version() if candidate else self.versions.current
        if number is not None:
            self.versions.record_result(number, fault)

    @rule(loads=st.booleans())
    def swap(self, loads: bool) -> None:
        number = self.versions.add_candidate(f"v{self.versions.last_number + 1}", self.now)
        assert (number is None) == self.versions.stopping
        if number is None:
            return
        if loads:
            assert self.versions.candidate_loaded(number, self.now) and not self.versions.candidate_loaded(
                number, self.now
            )
            self.alive.add(number)
        else:
            self.versions.candidate_failed(number, "can't be loaded")
            assert self.versions.candidate is None and "stays" in self.versions.last_swap

    @rule(ms=st.sampled_from([1.0, 60.0, 150.0, 1100.0]))
    def passes(self, ms: float) -> None:
        self.now += ms
        retire_timed_out = ms > 1000
        for step in self.versions.due_steps(self.now):
            match step:
                case Promote(number):
                    self.promoting = number
                case RollBack(number, failed_number, _):
                    assert (
                        self.versions.current == number
                        and number in self.alive
                        and failed_number in self.alive
                    )
                case Reject(number):
                    assert self.versions.current != number
                case Retire(number):
                    assert number != self.versions.current
                    assert retire_timed_out or self.calls.count(number) == 0 or number not in self.alive
                    self.alive.discard(number)

    @precondition(lambda self: self.promoting is not None)
    @rule(succeeds=st.booleans())
    def state_imported(self, succeeds: bool) -> None:
        number, self.promoting = self.promoting, None
        assert number is not None
        before = self.versions.current
        expected = self.versions.candidate == number and self.versions.promoting
        if not succeeds:
            self.versions.candidate_failed(number, "carry failed")
            assert self.versions.current == before
        else:
            assert self.versions.complete_promotion(number, self.now) == expected
            assert self.versions.current == (number if expected else before)

    @rule()
    def stops(self) -> None:
        self.versions.stopping = True

    @invariant()
    def one_serves(self) -> None:
        if not self.versions.versions:
            return
        stages = [v.stage for v in self.versions.versions.values()]
        assert stages.count("serving") + stages.count("watched") == 1
        assert self.versions.serving_version().stage in ("serving", "watched")
        assert self.versions.current in self.alive
        assert len(self.versions.versions) <= 4 + sum(stages.count(s) for s in ("rejected", "retired"))


TestSwaps = Swaps.TestCase
TestSwaps.settings = settings(max_examples=150, stateful_step_count=40, deadline=None, derandomize=True)
