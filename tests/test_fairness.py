"""Clients with much at once, or at full speed, delay themselves and not the others."""

from __future__ import annotations

import gevent
import pytest
from hypothesis import given
from hypothesis import strategies as st

from harrieryoke.core.arrivals import ArrivalQueue
from harrieryoke.core.records import Call, CallReceived
from harrieryoke.net.read_turns import BURST_LINES, LINES_PER_MS, ReadRate, ReadTurns

from .clients import Core


def arrival(open_before: int) -> CallReceived:
    front: object = Core()
    return CallReceived(Call("0" * 16, 0, "f" * 16, 1000.0, open_before=open_before), front)  # type: ignore[arg-type]


# Guards against a call that waits behind all calls of clients with many open ones.
@given(st.lists(st.tuples(st.integers(0, 31), st.booleans()), max_size=60), st.integers(1, 70))
def test_calls_of_clients_with_fewer_open_ones_go_first(opens: list[tuple[int, bool]], limit: int) -> None:
    queue, staying = ArrivalQueue(), list[CallReceived]()
    for open_before, withdrawn in opens:
        queue.add(each := arrival(open_before))
        assert not withdrawn or (queue.withdraw(each.call) and not queue.withdraw(each.call))
        staying += [] if withdrawn else [each]
    taken = list(queue.take(limit))
    assert taken == sorted(staying, key=lambda each: each.call.open_before)[:limit]
    assert len(queue) == len(staying) - len(taken)
    assert all(queue.withdraw(each.call) is (each not in taken) for each in staying)
    assert not list(queue.take(limit)) and not queue.heap


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
