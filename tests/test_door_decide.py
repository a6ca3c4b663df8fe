"""The door's decisions against models: an ideal server, hosts of a given capacity, clients that come back."""

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
def test_no_backlogged_tenant_is_further_behind_the_fluid_server_than_a_call_of_each(
    seed: int, backlogged: list[str]
) -> None:
    """Start-time fair queueing's bound: what two backlogged tenants got, by weight, differs by at most one
    largest call of each, by weight. Others come and go as they like."""
    rng, queue = random.Random(seed), FairQueue(SHARES, 10_000, seed)
    got = dict.fromkeys(SHARES, 0.0)
    key, waiting = 0, Counter[str]()
    most = 4.0
    for _ in range(400):
        for tenant in backlogged:
            while waiting[tenant] < 3:
                key += 1
                queue.add(queued_call(key, tenant, f"c{rng.randrange(4)}", rng.uniform(0.5, most)), 0.0)
                waiting[tenant] += 1
        if rng.random() < 0.3:
            key += 1
            other = rng.choice(sorted(SHARES))
            queue.add(queued_call(key, other, f"c{rng.randrange(4)}", rng.uniform(0.5, most)), 0.0)
            waiting[other] += 1
        taken = queue.pop()
        assert taken is not None
        waiting[taken.tenant] -= 1
        got[taken.tenant] += taken.cost
        for a in backlogged:
            for b in backlogged:
                lag = got[a] / SHARES[a] - got[b] / SHARES[b]
                assert lag <= most / SHARES[a] + most / SHARES[b] + 1e-6


def flood(queue: FairQueue, rounds: int, clients: int, rng: random.Random) -> dict[str, float]:
    """One tenant sends ten times its share, the others theirs; the served share of each tenant's calls."""
    got, asked = Counter[str](), Counter[str]()
    for n in range(rounds):
        for tenant, share in SHARES.items():
            rate = share * (10 if tenant == "kef" else 0.6)
            for _ in range(int(rate) + (rng.random() < rate % 1)):
                asked[tenant] += 1
                client = f"c{rng.randrange(clients)}" if tenant == "kef" else f"c{rng.randrange(3)}"
                queue.add(queued_call(sum(asked.values()), tenant, client, deadline=n + 500.0), float(n))
        if (taken := queue.pop()) is not None:
            got[taken.tenant] += 1
    return {t: got[t] / asked[t] for t in SHARES}


@pytest.mark.parametrize("clients", [1, 10_000])
def test_a_flood_of_ten_times_a_share_takes_nothing_from_the_others(clients: int) -> None:
    served = flood(FairQueue(SHARES, 500, 7), 20_000, clients, random.Random(3))
    assert all(served[t] > 0.97 for t in SHARES if t != "kef")
    assert 0.3 < served["kef"] < 0.6  # the idle shares are its own to use


def test_a_flood_that_begins_and_ends_every_half_second_takes_nothing_either() -> None:
    rng, queue, got, asked, key = (
        random.Random(5),
        FairQueue(SHARES, 500, 7),
        Counter[str](),
        Counter[str](),
        0,
    )
    for n in range(20_000):  # a round is a millisecond, and one call is served in it
        for tenant, share in SHARES.items():
            rate = share * (10 if tenant == "kef" and n // 500 % 2 else 0.6)
            for _ in range(int(rate) + (rng.random() < rate % 1)):
                key += 1
                asked[tenant] += 1
                queue.add(queued_call(key, tenant, f"c{rng.randrange(5)}", deadline=n + 500.0), float(n))
        if (taken := queue.pop()) is not None:
            got[taken.tenant] += 1
    assert all(got[t] > 0.97 * asked[t] for t in SHARES if t != "kef")


def test_a_tenant_long_silent_has_saved_up_nothing() -> None:
    queue = FairQueue({"a": 0.5, "b": 0.5}, 100_000, 1)
    for n in range(5000):
        queue.add(queued_call(n, "a"), 0.0)
        if n < 4000:
            queue.pop()
    for n in range(1000):
        queue.add(queued_call(10_000 + n, "b"), 0.0)
    got = Counter(taken.tenant for _ in range(400) if (taken := queue.pop()))
    assert abs(got["a"] - got["b"]) <= 2


@pytest.mark.parametrize("cheat", ["new id for each call", "many ids"])
def test_a_client_gains_nothing_by_many_or_changing_ids(cheat: str) -> None:
    """An honest client beside one that sends as much under ids of its own making."""
    queue, got, n = FairQueue({"a": 1.0}, 100_000, 1), Counter[str](), 0
    for round_ in range(3000):
        for _ in range(4):
            n += 1
            queue.add(queued_call(n, "a", "honest"), float(round_))
            n += 1
            queue.add(queued_call(n, "a", f"cheat{n}" if cheat[0] == "n" else f"cheat{n % 2}"), float(round_))
        taken = queue.pop()
        assert taken is not None
        got["honest" if taken.client == "honest" else "cheat"] += 1
    # a client is what its front says it is; two addresses are two clients, but a stream of new ids is one
    assert got["honest"] >= (0.45 if cheat[0] == "n" else 0.3) * 3000


def test_a_million_ids_use_fixed_memory_and_chosen_collisions_do_not_carry_over() -> None:
    sketch, recent = FinishTagSketch(seed=1), RecentIds(seed=1)
    size = sum(len(row) for row in sketch.values) * 8 + len(recent.current) + len(recent.previous)
    known = 0
    for n in range(1_000_000 // 20):  # a twentieth of them: each call costs the same
        known += recent.add(f"id{n}", n * 3.6)
        sketch.raise_to(f"id{n}", float(n))
    assert sum(len(row) for row in sketch.values) * 8 + len(recent.current) + len(recent.previous) == size
    assert known < 500 and size < 600_000
    meets = [
        f"x{n}" for n in range(40_000) if sketch.cell_indexes(f"x{n}")[0] == sketch.cell_indexes("victim")[0]
    ]
    other = FinishTagSketch(seed=2)
    assert meets and sum(other.cell_indexes(x)[0] == other.cell_indexes("victim")[0] for x in meets) <= 1


def test_an_id_is_forgotten_after_its_age_and_the_sketch_never_tells_too_little() -> None:
    recent = RecentIds(1, generation_ms=100.0)
    assert not recent.add("a", 0.0) and recent.add("a", 150.0) and not recent.add("a", 1000.0)
    sketch, rng, true = FinishTagSketch(3, cells=64), random.Random(1), dict[str, float]()
    for _ in range(2000):
        name = f"c{rng.randrange(500)}"
        true[name] = true.get(name, 0.0) + rng.random()
        sketch.raise_to(name, true[name])
    assert all(sketch.get(name) >= value for name, value in true.items())


@FUZZ
@given(st.lists(st.tuples(st.sampled_from(["add", "add", "take", "drop"]), st.integers(0, 40)), max_size=200))
def test_what_waits_is_taken_or_dropped_once_and_never_more_than_its_bound(
    play: list[tuple[str, int]],
) -> None:
    queue, inside, n = FairQueue(SHARES, 12, 5), dict[int, QueuedCall](), 0
    for what, pick in play:
        if what == "add":
            n += 1
            made = QueuedCall(
                n, sorted(SHARES)[pick % 5], f"c{pick % 7}", 1.0 + pick % 3, 1.0, 1e6, reserved=pick % 9 == 0
            )
            victim = queue.add(made, 0.0)
            inside[n] = made
            if victim is not None:
                assert inside.pop(victim.key) is victim  # type: ignore[call-overload]
        elif what == "drop" and inside:
            key = sorted(inside)[pick % len(inside)]
            assert queue.remove(key) is inside.pop(key) and queue.remove(key) is None
        elif what == "take":
            taken = queue.pop()
            assert (taken is None) == (not inside)
            if taken is not None:
                assert inside.pop(taken.key) is taken  # type: ignore[call-overload]
        assert len(queue) == len(inside) <= 12
        waiting = Counter(i.tenant for i in inside.values())
        assert all(t.waiting == waiting[name] for name, t in queue.tenants.items())


def carry(
    limit: ConcurrencyLimit, capacity: float, seconds: float, start: float, work: float = 200.0
) -> list[float]:
    """Hosts that run `capacity` calls at a time; more inside only make each other slower. The limit each
    100 ms."""
    now, seen, ends = start, list[float](), list[tuple[float, float]]()
    while now < start + seconds * 1000:
        for _ in range(limit.available()):
            limit.begin()
            took = work * max(1.0, limit.in_flight / capacity)
            ends.append((now + took, took))
        for at, took in [e for e in ends if e[0] <= now]:
            ends.remove((at, took))
            limit.end(now, took, 1000.0, True)
        now += 10.0
        if int(now) % 100 < 10:
            seen.append(limit.limit)
    return seen


def test_the_limit_finds_what_the_hosts_carry_and_holds_it() -> None:
    limit = ConcurrencyLimit()
    steady = carry(limit, capacity=50.0, seconds=120.0, start=0.0)[600:]
    assert 120 < sum(steady) / len(steady) < 260  # 200 inside take 0.8 of the aim
    assert max(steady) < 1.6 * min(steady)


def test_after_a_stall_the_limit_is_back_within_seconds() -> None:
    limit = ConcurrencyLimit()
    before = carry(limit, 50.0, 60.0, 0.0)[-1]
    while limit.in_flight:  # everything ends at once, 4 s late: that tells of the stall, not of too many
        limit.end(64_000.0, 4000.0, 1000.0, True)
    after = carry(limit, 50.0, 5.0, 64_000.0)
    assert after[-1] > 0.7 * before


def test_a_class_whose_work_takes_long_is_not_read_as_overload() -> None:
    limit = ConcurrencyLimit(limit=20.0)
    for n in range(2000):
        limit.in_flight = 20
        limit.end(n * 50.0, 2400.0, 4000.0, True)  # slow, but within its own aim
    assert limit.limit > 20.0
    limit.end(0.0, 99_999.0, 1.0, False)  # what was withdrawn says nothing
    assert limit.late_share == 0.0


@FUZZ
@given(
    st.lists(st.tuples(st.floats(0, 3000), st.floats(0.1, 5)), min_size=1, max_size=300), st.floats(0.01, 2)
)
def test_no_hint_is_shorter_than_the_wait_and_no_day_holds_more_than_its_room(
    asks: list[tuple[float, float]], per_ms: float
) -> None:
    book = ReservationBook()
    for n, (wait, cost) in enumerate(asks):
        assert book.reserve(n, "t", cost, wait, per_ms, 1000.0) >= wait
    room = book.reservable_share * per_ms * book.interval_ms
    assert all(held <= max(room, 5.0) + 1e-6 for held in book.reserved_work.values())


def test_five_thousand_that_are_told_to_return_do_not_come_as_one_herd() -> None:
    book, per_ms = ReservationBook(), 0.5
    hints = [book.reserve(n, "t", 1.0, 200.0, per_ms, 0.0) for n in range(5000)]
    by_100ms = Counter(int(hint // 100) for hint in hints)
    assert max(by_100ms.values()) <= 0.8 * per_ms * 100 + 1 and min(hints) >= 200.0


def test_a_promise_is_one_a_client_kept_once_and_gives_nothing_to_the_early_or_the_late() -> None:
    book = ReservationBook(max_per_client=1)
    hint = book.reserve("c", "t", 1.0, 100.0, 1.0, 0.0)
    again = book.reserve("c", "t", 1.0, 50.0, 1.0, 10.0)
    assert again == pytest.approx(hint - 10.0) and len(book.by_client) == 1 and len(book.reserved_work) == 1
    assert not book.redeem("c", hint - 10.0)  # early: it keeps its promise and gains nothing
    assert book.redeem("c", hint - 1.0) and not book.redeem("c", hint)
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
def test_a_client_with_several_calls_out_has_a_seat_for_each_and_hoards_none_beyond(
    steps: list[tuple[str, str, float]],
) -> None:
    """What the days hold is what the seats are: no come, go or lapse leaves a seat taken that nobody has."""
    book, now, told = ReservationBook(max_per_client=3), 0.0, dict[str, float]()
    for step, client, value in steps:
        if step == "ask":
            hint = book.reserve(client, "t", 5.0, value, 1.0, now)
            held = book.by_client[client]
            assert hint >= value and len(held) <= 3 and now + hint >= told.get(client, 0.0) - 1e-6
            told[client] = held[-1].return_at
        elif step == "come":
            before = list(book.by_client.get(client, []))
            due = [
                r
                for r in before
                if r.return_at - book.early_tolerance_ms <= now <= r.return_at + book.grace_ms
            ]
            assert book.redeem(client, now) == bool(due)
        else:
            now += 5 * value
        if client not in book.by_client:
            told.pop(client, None)
        seats = [s for held in book.by_client.values() for s in held]
        assert sum(book.reserved_work.values()) == pytest.approx(5.0 * len(seats), abs=1e-3)


def test_the_rate_is_what_was_done_while_calls_waited() -> None:
    rate = ServiceRate(work_per_ms=0.1)
    for n in range(2000):
        rate.record(n * 2.0, 1.0, backlogged=True)
    assert rate.work_per_ms == pytest.approx(0.5, rel=0.05)
    for n in range(2000):
        rate.record(4000.0 + n * 100.0, 1.0, backlogged=False)
    assert rate.work_per_ms == pytest.approx(0.5, rel=0.05)
