"""Endpoints, connection races and the connection pool, under events in any order."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from harrieryoke.paths.decide.endpoints import (
    EndpointError,
    EndpointTable,
    Family,
    parse_endpoint,
    parse_endpoints,
)
from harrieryoke.paths.decide.pool import (
    AttemptOutcome,
    ConnectionPool,
    ConnectionState,
    DialBudget,
    PoolLimits,
    WriteProgress,
)
from harrieryoke.paths.decide.race import ConnectionRace

FUZZ_SETTINGS = settings(max_examples=150, deadline=None, derandomize=True)
UNIX, SIX, FOUR, OTHER = map(parse_endpoint, ("unix:/run/h.sock", "[::1]:80", "127.0.0.1:80", "127.0.0.2:80"))
ALL = (SIX, FOUR, OTHER, UNIX)


@pytest.mark.parametrize(
    "text",
    ["", "a:80", "127.0.0.1", "127.0.0.1:0", "[::1]", "::1:80", "unix:x", "unix:/" + "x" * 107, "1.2.3.4:٣"],
)
def test_invalid_endpoints_are_rejected(text: str) -> None:
    with pytest.raises(EndpointError):
        parse_endpoint(text)


def test_addrs_extend_the_addr_field_of_the_platform() -> None:
    assert parse_endpoints({"addr": "127.0.0.1:80"}) == (FOUR,)
    entry = {"addr": "127.0.0.1:80", "addrs": ["[0:0::1]:80", "127.0.0.1:80", "unix:/run/h.sock"]}
    assert parse_endpoints(entry) == (FOUR, SIX, UNIX)
    for invalid in ({}, {"addrs": "x"}, {"addrs": [1]}, {"addrs": [f"127.0.0.{n}:1" for n in range(1, 18)]}):
        with pytest.raises(EndpointError, match="addrs"):
            parse_endpoints(invalid)


def test_dial_order_is_unix_then_latest_success_then_alternating_families_then_failed() -> None:
    table = EndpointTable()
    table.replace(ALL)
    assert table.dial_order(0.0) == [UNIX, SIX, FOUR, OTHER]
    table.health[OTHER].record_connected(1000.0, 3.0)
    assert table.dial_order(1001.0) == [UNIX, OTHER, SIX, FOUR]
    table.health[UNIX].record_failure(1001.0)
    table.health[SIX].record_failure(1000.5)
    assert table.dial_order(1002.0) == [OTHER, FOUR, SIX, UNIX]
    assert table.dial_order(1300.0) == [UNIX, OTHER, SIX, FOUR]  # their back-off is over
    for _ in range(30):
        table.health[UNIX].record_failure(2000.0)
    assert table.dial_order(31_000.0)[-1] == UNIX and table.dial_order(33_000.0)[0] == UNIX
    assert table.dial_order(500.0)[0] == UNIX  # the clock stepped back
    assert table.replace((FOUR,)) == {SIX, OTHER, UNIX} and table.dial_order(0.0) == [FOUR]


def test_a_silent_endpoint_delays_the_next_dial_by_the_delay_and_a_refusal_not_at_all() -> None:
    race = ConnectionRace([SIX, FOUR, OTHER], 0.0, delay=50.0, deadline=250.0)
    assert race.next_dial(0.0) == SIX and race.next_dial(49.0) is None and race.next_wakeup() == 50.0
    assert race.next_dial(50.0) == FOUR
    race.record_failure(FOUR, 51.0)
    assert race.next_dial(51.0) == OTHER and race.record_connected(OTHER, 52.0) and race.winner == OTHER
    assert not race.record_connected(SIX, 53.0) and race.winner == OTHER  # established too late
    lost = ConnectionRace([SIX], 0.0, deadline=250.0)
    assert lost.next_dial(0.0) == SIX and not lost.expire(249.0) and lost.expire(250.0)
    assert lost.next_dial(251.0) is None and not lost.record_connected(SIX, 251.0)


class Simulation:
    """A pool, and a host that counts the attempts that reach it."""

    def __init__(self, seed: int) -> None:
        self.rng, self.now = random.Random(seed), 1000.0
        self.budget = DialBudget(5, 1000.0)
        self.pool = ConnectionPool(self.budget, PoolLimits(max_connections=3, max_attempts=2, max_queue=8))
        self.pool.set_endpoints(ALL)
        self.sockets: dict[int, str] = {}  # state of open sockets by connection number
        self.received: dict[int, int] = {}  # attempts, and how often the host received each completely
        self.outcomes: dict[int, list[AttemptOutcome]] = {}
        self.finished: set[int] = set()
        self.written: set[int] = set()  # attempts with at least one byte written
        self.last_attempt, self.stopped = 0, False

    def apply(self, event: str) -> None:
        pool, rng = self.pool, self.rng
        self.now += rng.choice((0.0, 1.0, 30.0, 300.0))
        connections = list(pool.connections.values())
        connection = rng.choice(connections) if connections else None
        attempt = rng.choice(list(pool.assigned)) if pool.assigned else None
        if event == "assign" and not self.stopped:
            self.last_attempt += 1
            try:
                pool.assign(self.last_attempt, self.now)
            except OverflowError:
                assert 8 <= len(pool.queue) <= 8 + 3 * 2  # requeued attempts may come on top
                self.finished.add(self.last_attempt)
        elif event == "connected" and connection is not None and connection.state is ConnectionState.DIALLING:
            pool.record_connected(connection.number, self.now)
        elif event == "closed" and connection is not None:
            self.close(connection.number)
        elif event == "write" and isinstance(attempt, int):
            if pool.may_write(attempt):
                assert not self.stopped  # nothing new is sent to a draining host
                self.written.add(attempt)
                pool.record_write(
                    attempt, rng.choice((WriteProgress.PARTIAL, WriteProgress.COMPLETE)), self.now
                )
            elif pool.assigned[attempt].attempts[attempt] is WriteProgress.PARTIAL:
                pool.record_write(attempt, WriteProgress.COMPLETE, self.now)
            if (
                pool.assigned[attempt].attempts[attempt] is WriteProgress.COMPLETE
                and attempt not in self.finished
            ):
                self.finished.add(attempt)
                self.received[attempt] = self.received.get(attempt, 0) + 1
        elif event == "answer" and isinstance(attempt, int) and connection is not None:
            own = pool.assigned[attempt]
            complete = own.attempts[attempt] is WriteProgress.COMPLETE
            assert pool.record_answer(attempt, connection.number, self.now) == (
                own is connection and complete
            )
            assert not (own is connection and complete) or not pool.record_answer(
                attempt, connection.number, self.now
            )
        elif event == "cancel" and isinstance(attempt, int):
            pool.remove_attempt(attempt)
            self.finished.add(attempt)
        elif event == "replace":
            for removed in pool.set_endpoints(tuple(rng.sample(ALL, rng.randrange(1, 4)))):
                self.close(removed.number)
        elif event == "drain":
            self.finished |= {a for a in pool.stop() if isinstance(a, int)}
            self.stopped = True
        elif event == "accept" and self.stopped:
            pool.accepting, self.stopped = True, False
        dial, close = pool.next_steps(self.now)
        for each in dial:
            self.sockets[each.number] = "dialling"
        for each in close:
            self.close(each.number)
        pool.assign_queued(self.now)
        self.finished |= {a for a in pool.take_unreachable() if isinstance(a, int)}

    def close(self, number: int) -> None:
        self.sockets.pop(number, None)
        for attempt, outcome in self.pool.record_closed(number, self.now):
            assert isinstance(attempt, int)
            self.outcomes.setdefault(attempt, []).append(outcome)
            assert (outcome is AttemptOutcome.MAY_HAVE_RUN) == (attempt in self.received)
            assert (outcome is AttemptOutcome.REQUEUED) == (attempt not in self.written and not self.stopped)
            if outcome is not AttemptOutcome.REQUEUED:
                self.finished.add(attempt)

    def check(self) -> None:
        pool = self.pool
        assert (
            set(self.sockets) == set(pool.connections)
            and self.budget.descriptors == len(pool.connections) <= 3
        )
        assert all(n == 1 for n in self.received.values())  # never received twice
        queued = set(pool.queue)
        assert len(queued) == len(pool.queue) and not queued & set(pool.assigned)
        open_attempts = {a for connection in pool.connections.values() for a in connection.attempts}
        assert open_attempts == set(pool.assigned) and all(
            len(connection.attempts) <= 2 for connection in pool.connections.values()
        )
        for outcomes in self.outcomes.values():
            # a written attempt is never requeued
            assert all(outcome is AttemptOutcome.REQUEUED for outcome in outcomes[:-1])


EVENTS = (
    "assign assign assign connected connected write write " "answer answer closed cancel replace drain accept"
).split()


@FUZZ_SETTINGS
@given(st.lists(st.sampled_from(EVENTS), min_size=60, max_size=200), st.integers(0, 10_000))
def test_no_attempt_is_written_twice_and_no_descriptor_leaks(events: list[str], seed: int) -> None:
    simulation = Simulation(seed)
    for event in events:
        simulation.apply(event)
        simulation.check()
    # every attempt is queued, on a connection, or finished
    known = {*simulation.pool.queue, *simulation.pool.assigned, *simulation.finished}
    answered = [a for a in range(1, simulation.last_attempt + 1) if a not in known]
    assert all(a in simulation.received or a in simulation.outcomes for a in answered)
    simulation.pool.stop()
    simulation.stopped = True
    for number in list(simulation.pool.connections):
        simulation.close(number)
    assert (
        simulation.budget.descriptors == 0
        and not simulation.pool.connections
        and not simulation.pool.assigned
    )


def test_a_host_restart_causes_no_dial_storm() -> None:
    budget = DialBudget(100, 10.0)
    pools = [ConnectionPool(budget, PoolLimits(max_connections=4)) for _ in range(20)]
    dials, now = 0, 0.0
    for pool in pools:
        pool.set_endpoints((FOUR,))
        pool.assign("a", 0.0)
    while now < 2000.0:
        for pool in pools:
            dial, close = pool.next_steps(now)
            dials += len(dial)
            for connection in [*dial, *close]:
                pool.record_closed(connection.number, now)  # refused at once
        now += 10.0
    assert 20 <= dials <= 10 + 20 + 1 and budget.descriptors == 0
    assert Family.V4 is FOUR.family
