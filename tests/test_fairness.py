"""Clients with much at once, or at full speed, delay themselves and not the others."""

from __future__ import annotations

from random import Random

import gevent
import pytest
from hypothesis import given
from hypothesis import strategies as st

from harrieryoke.core.arrivals import MAX_USUAL_PROPS, MAX_WAIT_SHARE, ArrivalQueue
from harrieryoke.core.records import Call, CallReceived
from harrieryoke.net.read_turns import BURST_LINES, LINES_PER_MS, ReadRate, ReadTurns

from .clients import Core, connected, until
from .overload import call_line


def arrival(open_before: int) -> CallReceived:
    front: object = Core()
    return CallReceived(Call("0" * 16, 0, "f" * 16, 1000.0, open_before=open_before), front)  # type: ignore[arg-type]


# Guards against a call that waits behind all calls of clients with many open ones.
@given(st.lists(st.tuples(st.integers(0, 31), st.booleans()), max_size=60), st.integers(1, 70))
def test_calls_of_clients_with_fewer_open_ones_go_first(opens: list[tuple[int, bool]], limit: int) -> None:
    queue, staying = ArrivalQueue(), list[CallReceived]()
    for open_before, withdrawn in opens:
        queue.add(each := arrival(open_before), 0.0)
        assert not withdrawn or (queue.withdraw(each.call) and not queue.withdraw(each.call))
        staying += [] if withdrawn else [each]
    taken = list(queue.take(limit))
    assert taken == sorted(staying, key=lambda each: each.call.open_before)[:limit]
    assert len(queue) == len(staying) - len(taken)
    assert all(queue.withdraw(each.call) is (each not in taken) for each in staying)
    assert not list(queue.take(limit)) and not queue.turns


class Origin:
    """A connection with so many open calls."""

    def __init__(self) -> None:
        self.open = 0

    def open_calls(self) -> int:
        return self.open

    def has_withdrawn(self, call: Call) -> bool:
        return False


def call_of(origin: Origin, received_at: float = 0.0) -> CallReceived:
    origin.open += 1
    call = Call("0" * 16, 0, "f" * 16, received_at + 1000.0, received_at=received_at, origin=origin)
    front: object = Core()
    return CallReceived(call, front)  # type: ignore[arg-type]


# Guards against a client that loses its place since its calls piled up while the process was slow.
@given(st.integers(1, 31), st.integers(1, 40))
def test_client_whose_calls_wait_goes_before_one_whose_calls_are_taken(waiting: int, greedy: int) -> None:
    queue, steady, loud = ArrivalQueue(), Origin(), Origin()
    for _ in range(greedy + waiting):
        queue.add(call_of(loud), 0.0)
    assert len(list(queue.take(greedy))) == greedy
    for _ in range(waiting):
        queue.add(call_of(steady), 0.0)
    first = [arrival.call.origin for arrival in queue.take(min(waiting, greedy) + 1)]
    assert first.count(steady) >= min(waiting, greedy)


# Guards against a usual call that waits behind a crowd of requests that are dear to decode.
@given(st.integers(1, 60), st.integers(MAX_USUAL_PROPS + 1, 6000))
def test_usual_call_goes_before_dear_requests_that_came_earlier(dear: int, prop_count: int) -> None:
    queue = ArrivalQueue()
    for _ in range(dear):
        arrival = call_of(Origin())
        arrival.call.prop_count = prop_count
        queue.add(arrival, 0.0)
    queue.add(usual := call_of(Origin()), 1.0)
    assert next(queue.take(1)) is usual
    assert len(list(queue.take(dear))) == dear


# Guards against a client whose dear requests are never taken while others send usual ones.
def test_dear_request_goes_before_further_calls_of_others() -> None:
    queue, dear, others = ArrivalQueue(), call_of(Origin()), Origin()
    for _ in range(3):
        queue.add(call_of(others), 0.0)
    dear.call.prop_count = MAX_USUAL_PROPS + 1
    queue.add(dear, 0.0)
    assert dear in list(queue.take(3))


# Guards against a request whose many fields are not counted, known or not.
@pytest.mark.parametrize("count", [1, 5000])
def test_fields_of_a_request_are_counted(count: int) -> None:
    with connected() as c:
        c.send(call_line(1, Random(0), rid=f"{1:016x}", props=";".join(["unknown:1"] * count)))
        until(lambda: 1 in c.core.calls, "a call")
        assert c.core.calls[1].prop_count == count


# Guards against calls that wait to be taken until their time is over, with or without withdrawn ones.
@given(st.lists(st.tuples(st.floats(0, 5000), st.booleans()), max_size=200), st.floats(0, 6000))
def test_calls_that_wait_too_long_leave_the_queue(calls: list[tuple[float, bool]], now: float) -> None:
    queue, staying = ArrivalQueue(), list[CallReceived]()
    for received_at, withdrawn in calls:
        queue.add(each := call_of(Origin(), received_at), received_at)
        if withdrawn:
            assert queue.withdraw(each.call)
        else:
            staying.append(each)
    overdue = list(queue.take_overdue(now))
    due = [a for a in staying if a.call.received_at + MAX_WAIT_SHARE * 1000.0 <= now]
    assert sorted(map(id, overdue)) == sorted(map(id, due))
    assert queue.next_give_up() > now
    assert {id(a) for a in queue.take(1000)} == {id(a) for a in staying} - {id(a) for a in due}
    assert not queue.turns and not queue.by_origin and not queue.serials


# Guards against lines that start no work and are taken without a bound: errors, probes, calls given up.
@given(st.lists(st.floats(0, 500), max_size=200))
def test_client_is_loud_once_its_lines_pass_the_burst_and_the_rate(pauses: list[float]) -> None:
    rate, now, count, started = ReadRate(), 0.0, 0, 0.0
    for pause in pauses:
        now += pause
        if not rate.is_high(now):
            rate.count_line()
            count += 1
    assert count <= BURST_LINES + (now - started) * LINES_PER_MS + 1
    assert not ReadRate().is_high(now)


# Guards against a turn that is lost with a client that leaves while it waits, or before it goes on.
@pytest.mark.parametrize("killed", range(5))
@pytest.mark.parametrize("after_pass_on", [False, True])
def test_turns_go_on_in_order_when_a_waiting_client_leaves(killed: int, after_pass_on: bool) -> None:
    turns, order = ReadTurns(), list[int]()

    def take(number: int) -> None:
        with turns.turn():
            order.append(number)
            gevent.sleep(0)

    with turns.turn():
        clients = [gevent.spawn(take, number) for number in range(5)]
        gevent.sleep(0.001)
        if not after_pass_on:
            clients[killed].kill()
    clients[killed].kill()
    gevent.joinall(clients, timeout=5)
    others = [number for number in range(5) if number != killed]
    assert [number for number in order if number != killed] == others
    assert not turns.is_taken and not turns.waiting
