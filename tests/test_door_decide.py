"""The door's decisions against models: an ideal server, hosts of a given capacity, clients that retry."""

from __future__ import annotations

import random
from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from harrieryoke.door.decide.calendar import ReservationBook, ServiceRate
from harrieryoke.door.decide.fair import FairQueue, QueuedCall
from harrieryoke.door.decide.limit import ConcurrencyLimit
from harrieryoke.door.decide.sketch import FinishTagSketch, RecentIds

SHARES = {"sahel": 0.49, "bon": 0.21, "kef": 0.12, "jerba": 0.09, "tozeur": 0.09}
FUZZ = settings(max_examples=150, deadline=None, derandomize=True)


def queued_call(
    key: int, tenant: str, client: str = "c", cost: float = 1.0, worth: float = 1.0, deadline: float = 1e6
) -> QueuedCall:
    return QueuedCall(key, tenant, client, cost, worth, deadline)


@FUZZ
@given(
    st.integers(0, 1 << 30), st.lists(st.sampled_from(sorted(SHARES)), min_size=2, max_size=5, unique=True)
)
def test_backlogged_tenants_stay_within_one_largest_call_each_of_their_weights(
    seed: int, backlogged: list[str]
) -> None:
    """Start-time fair queueing's bound: the work served for two backlogged tenants, divided by their weights,
    differs by at most one largest call of each, divided by its weight. Other tenants send at random."""
    rng, queue = random.Random(seed), FairQueue(SHARES, 10_000, seed)
    served = dict.fromkeys(SHARES, 0.0)
    key, waiting = 0, Counter[str]()
    max_cost = 4.0
    for _ in range(400):
        for tenant in backlogged:
            while waiting[tenant] < 3:
                key += 1
                queue.add(queued_call(key, tenant, f"c{rng.randrange(4)}", rng.uniform(0.5, max_cost)), 0.0)
                waiting[tenant] += 1
        if rng.random() < 0.3:
            key += 1
            other = rng.choice(sorted(SHARES))
            queue.add(queued_call(key, other, f"c{rng.randrange(4)}", rng.uniform(0.5, max_cost)), 0.0)
            waiting[other] += 1
        call = queue.pop()
        assert call is not None
        waiting[call.tenant] -= 1
        served[call.tenant] += call.cost
        for a in backlogged:
            for b in backlogged:
                lag = served[a] / SHARES[a] - served[b] / SHARES[b]
                assert lag <= max_cost / SHARES[a] + max_cost / SHARES[b] + 1e-6


def flood(queue: FairQueue, rounds: int, clients: int, rng: random.Random) -> dict[str, float]:
    """Sends ten times a share for one tenant and 0.6 of it for the others; returns the served part of each
    tenant's calls."""
    served, sent = Counter[str](), Counter[str]()
    for n in range(rounds):
        for tenant, share in SHARES.items():
            rate = share * (10 if tenant == "kef" else 0.6)
            for _ in range(int(rate) + (rng.random() < rate % 1)):
                sent[tenant] += 1
                client = f"c{rng.randrange(clients)}" if tenant == "kef" else f"c{rng.randrange(3)}"
                queue.add(queued_call(sum(sent.values()), tenant, client, deadline=n + 500.0), float(n))
        if (call := queue.pop()) is not None:
            served[call.tenant] += 1
    return {t: served[t] / sent[t] for t in SHARES}


@pytest.mark.parametrize("clients", [1, 10_000])
def test_a_flood_of_ten_times_a_share_does_not_affect_other_tenants(clients: int) -> None:
    served = flood(FairQueue(SHARES, 500, 7), 20_000, clients, random.Random(3))
    assert all(served[t] > 0.97 for t in SHARES if t != "kef")
    assert 0.3 < served["kef"] < 0.6  # it may use the idle shares


def test_a_flood_that_alternates_every_half_second_does_not_affect_other_tenants() -> None:
    rng, queue, served, sent, key = (
        random.Random(5),
        FairQueue(SHARES, 500, 7),
        Counter[str](),
        Counter[str](),
        0,
    )
    for n in range(20_000):  # each round is 1 ms and serves one call
        for tenant, share in SHARES.items():
            rate = share * (10 if tenant == "kef" and n // 500 % 2 else 0.6)
            for _ in range(int(rate) + (rng.random() < rate % 1)):
                key += 1
                sent[tenant] += 1
                queue.add(queued_call(key, tenant, f"c{rng.randrange(5)}", deadline=n + 500.0), float(n))
        if (call := queue.pop()) is not None:
            served[call.tenant] += 1
    assert all(served[t] > 0.97 * sent[t] for t in SHARES if t != "kef")


def test_an_idle_tenant_saves_up_no_credit() -> None:
    queue = FairQueue({"a": 0.5, "b": 0.5}, 100_000, 1)
    for n in range(5000):
        queue.add(queued_call(n, "a"), 0.0)
        if n < 4000:
            queue.pop()
    for n in range(1000):
        queue.add(queued_call(10_000 + n, "b"), 0.0)
    served = Counter(call.tenant for _ in range(400) if (call := queue.pop()))
    assert abs(served["a"] - served["b"]) <= 2


@pytest.mark.parametrize("cheat", ["new id for each call", "many ids"])
def test_a_client_gains_little_by_many_or_changing_ids(cheat: str) -> None:
    """An honest client competes with one that sends as much under invented ids."""
    queue, served, n = FairQueue({"a": 1.0}, 100_000, 1), Counter[str](), 0
    for round_ in range(3000):
        for _ in range(4):
            n += 1
            queue.add(queued_call(n, "a", "honest"), float(round_))
            n += 1
            queue.add(queued_call(n, "a", f"cheat{n}" if cheat[0] == "n" else f"cheat{n % 2}"), float(round_))
        call = queue.pop()
        assert call is not None
        served["honest" if call.client == "honest" else "cheat"] += 1
    # Clients are told apart by the id that their front gives them: two ids are two clients, but all new ids
    # share one flow.
    assert served["honest"] >= (0.45 if cheat[0] == "n" else 0.3) * 3000


def test_a_million_ids_use_fixed_memory_and_collisions_depend_on_the_seed() -> None:
    sketch, recent = FinishTagSketch(seed=1), RecentIds(seed=1)
    size = sum(len(row) for row in sketch.values) * 8 + len(recent.current) + len(recent.previous)
    known = 0
    for n in range(1_000_000 // 20):  # a twentieth of a million: each id costs the same
        known += recent.add(f"id{n}", n * 3.6)
        sketch.raise_to(f"id{n}", float(n))
    assert sum(len(row) for row in sketch.values) * 8 + len(recent.current) + len(recent.previous) == size
    assert known < 500 and size < 600_000
    colliding = [
        f"x{n}" for n in range(40_000) if sketch.cell_indexes(f"x{n}")[0] == sketch.cell_indexes("victim")[0]
    ]
    other = FinishTagSketch(seed=2)
    assert (
        colliding and sum(other.cell_indexes(x)[0] == other.cell_indexes("victim")[0] for x in colliding) <= 1
    )


def test_ids_are_forgotten_after_their_age_and_the_sketch_never_underestimates() -> None:
    recent = RecentIds(1, generation_ms=100.0)
    assert not recent.add("a", 0.0) and recent.add("a", 150.0) and not recent.add("a", 1000.0)
    sketch, rng, exact = FinishTagSketch(3, cells=64), random.Random(1), dict[str, float]()
    for _ in range(2000):
        name = f"c{rng.randrange(500)}"
        exact[name] = exact.get(name, 0.0) + rng.random()
        sketch.raise_to(name, exact[name])
    assert all(sketch.get(name) >= value for name, value in exact.items())


@FUZZ
@given(st.lists(st.tuples(st.sampled_from(["add", "add", "take", "drop"]), st.integers(0, 40)), max_size=200))
def test_each_queued_call_leaves_once_and_the_queue_keeps_its_bound(
    steps: list[tuple[str, int]],
) -> None:
    queue, queued, n = FairQueue(SHARES, 12, 5), dict[int, QueuedCall](), 0
    for action, pick in steps:
        if action == "add":
            n += 1
            call = QueuedCall(
                n, sorted(SHARES)[pick % 5], f"c{pick % 7}", 1.0 + pick % 3, 1.0, 1e6, reserved=pick % 9 == 0
            )
            victim = queue.add(call, 0.0)
            queued[n] = call
            if victim is not None:
                assert queued.pop(victim.key) is victim  # type: ignore[call-overload]
        elif action == "drop" and queued:
            key = sorted(queued)[pick % len(queued)]
            assert queue.remove(key) is queued.pop(key) and queue.remove(key) is None
        elif action == "take":
            popped = queue.pop()
            assert (popped is None) == (not queued)
            if popped is not None:
                assert queued.pop(popped.key) is popped  # type: ignore[call-overload]
        assert len(queue) == len(queued) <= 12
        waiting = Counter(c.tenant for c in queued.values())
        assert all(t.waiting == waiting[name] for name, t in queue.tenants.items())


def simulate_hosts(
    limit: ConcurrencyLimit, capacity: float, seconds: float, start: float, work: float = 200.0
) -> list[float]:
    """Simulates hosts that run `capacity` calls at a time; more in flight slow each other down. Returns the
    limit at each 100 ms."""
    now, limits, completions = start, list[float](), list[tuple[float, float]]()
    while now < start + seconds * 1000:
        for _ in range(limit.available()):
            limit.begin()
            duration = work * max(1.0, limit.in_flight / capacity)
            completions.append((now + duration, duration))
        for at, duration in [e for e in completions if e[0] <= now]:
            completions.remove((at, duration))
            limit.end(now, duration, 1000.0, True)
        now += 10.0
        if int(now) % 100 < 10:
            limits.append(limit.limit)
    return limits


def test_the_limit_converges_to_the_capacity_of_the_hosts() -> None:
    limit = ConcurrencyLimit()
    steady = simulate_hosts(limit, capacity=50.0, seconds=120.0, start=0.0)[600:]
    assert 120 < sum(steady) / len(steady) < 260  # 200 in flight take 0.8 of the latency target
    assert max(steady) < 1.6 * min(steady)


def test_after_a_stall_the_limit_recovers_within_seconds() -> None:
    limit = ConcurrencyLimit()
    before = simulate_hosts(limit, 50.0, 60.0, 0.0)[-1]
    while limit.in_flight:  # all end at once, 4 s late, because of the stall and not of overload
        limit.end(64_000.0, 4000.0, 1000.0, True)
    after = simulate_hosts(limit, 50.0, 5.0, 64_000.0)
    assert after[-1] > 0.7 * before


def test_slow_calls_within_their_latency_target_are_no_overload() -> None:
    limit = ConcurrencyLimit(limit=20.0)
    for n in range(2000):
        limit.in_flight = 20
        limit.end(n * 50.0, 2400.0, 4000.0, True)  # slow, but within its latency target
    assert limit.limit > 20.0
    limit.end(0.0, 99_999.0, 1.0, False)  # a withdrawn call
    assert limit.late_share == 0.0


@FUZZ
@given(
    st.lists(st.tuples(st.floats(0, 3000), st.floats(0.1, 5)), min_size=1, max_size=300), st.floats(0.01, 2)
)
def test_retry_after_covers_the_wait_and_no_interval_is_overbooked(
    refusals: list[tuple[float, float]], per_ms: float
) -> None:
    book = ReservationBook()
    for n, (wait, cost) in enumerate(refusals):
        assert book.reserve(n, "t", cost, wait, per_ms, 1000.0) >= wait
    capacity = book.reservable_share * per_ms * book.interval_ms
    assert all(work <= max(capacity, 5.0) + 1e-6 for work in book.reserved_work.values())


def test_five_thousand_refused_clients_return_spread_over_time() -> None:
    book, per_ms = ReservationBook(), 0.5
    delays = [book.reserve(n, "t", 1.0, 200.0, per_ms, 0.0) for n in range(5000)]
    by_100ms = Counter(int(delay // 100) for delay in delays)
    assert max(by_100ms.values()) <= 0.8 * per_ms * 100 + 1 and min(delays) >= 200.0


def test_a_reservation_is_used_once_and_gives_nothing_to_early_or_late_clients() -> None:
    book = ReservationBook(max_per_client=1)
    delay = book.reserve("c", "t", 1.0, 100.0, 1.0, 0.0)
    again = book.reserve("c", "t", 1.0, 50.0, 1.0, 10.0)
    assert again == pytest.approx(delay - 10.0) and len(book.by_client) == 1 and len(book.reserved_work) == 1
    assert not book.redeem("c", delay - 10.0)  # early: the reservation stays
    assert book.redeem("c", delay - 1.0) and not book.redeem("c", delay)
    book.reserve("d", "t", 1.0, 100.0, 1.0, 0.0)
    assert not book.redeem("d", 10_000.0) and not book.reserved_work
    book.reserve("e", "t", 1.0, 100.0, 1.0, 0.0)
    book.sweep(60_000.0)
    assert not book.by_client and not book.reserved_work and book.counts["lapsed"] == 2
    book.reserve("f", "t", 1.0, 100.0, 1.0, 60_000.0)
    book.sweep(50_000.0)  # the clock stepped back
    assert not book.by_client


@FUZZ
@given(
    st.lists(
        st.tuples(st.sampled_from(["ask", "come", "wait"]), st.sampled_from("abc"), st.floats(0, 400)),
        max_size=120,
    )
)
def test_a_client_holds_a_reservation_for_each_refused_call_up_to_its_maximum(
    steps: list[tuple[str, str, float]],
) -> None:
    """The reserved work equals the sum over all reservations: none leaks when one is used or expires."""
    book, now, latest = ReservationBook(max_per_client=3), 0.0, dict[str, float]()
    for step, client, value in steps:
        if step == "ask":
            delay = book.reserve(client, "t", 5.0, value, 1.0, now)
            reservations = book.by_client[client]
            assert delay >= value and len(reservations) <= 3 and now + delay >= latest.get(client, 0.0) - 1e-6
            latest[client] = reservations[-1].return_at
        elif step == "come":
            before = list(book.by_client.get(client, []))
            usable = [
                r
                for r in before
                if r.return_at - book.early_tolerance_ms <= now <= r.return_at + book.grace_ms
            ]
            assert book.redeem(client, now) == bool(usable)
        else:
            now += 5 * value
        if client not in book.by_client:
            latest.pop(client, None)
        open_reservations = [r for reservations in book.by_client.values() for r in reservations]
        assert sum(book.reserved_work.values()) == pytest.approx(5.0 * len(open_reservations), abs=1e-3)


def test_the_service_rate_counts_only_work_done_while_calls_waited() -> None:
    rate = ServiceRate(work_per_ms=0.1)
    for n in range(2000):
        rate.record(n * 2.0, 1.0, backlogged=True)
    assert rate.work_per_ms == pytest.approx(0.5, rel=0.05)
    for n in range(2000):
        rate.record(4000.0 + n * 100.0, 1.0, backlogged=False)
    assert rate.work_per_ms == pytest.approx(0.5, rel=0.05)
