"""The door in a running invoker: each waiting call is handed on, refused or withdrawn, once and in time."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import gevent
import pytest

from harrieryoke.checks import ConfigError
from harrieryoke.core.clock import now_ms
from harrieryoke.core.records import Call, CallEnded, CallReceived, CallWithdrawn, Front
from harrieryoke.door.actor import DoorActor
from harrieryoke.door.settings import DoorSettings
from harrieryoke.lab.rounds import RoundSimulation
from harrieryoke.limits import Limits
from harrieryoke.plugins import bench
from harrieryoke.serve import load_config

from .scenario import free_address, run
from .test_operations import CONFIG

ONE_IN_FLIGHT = "[door]\ninside_first = 1\ninside_least = 1\ninside_most = 1\n"


def test_waiting_calls_are_handed_on_within_the_limit_by_worth(tmp_path: Path) -> None:
    ops = free_address()
    run(
        tmp_path,
        f"""
        send c1 call 1 weight-read body=a
        expect h1 request body=a
        send c1 call 2 weight-read body=b
        send c1 call 3 harvest-log body=c token=k
        get {ops} GET /door 200
        get {ops} GET /door 200
        send h1 ok body=x
        expect c1 1 result x
        expect h1 request body=c
        send h1 ok body=z
        expect c1 3 result z
        expect h1 request body=b
        send h1 ok body=y
        expect c1 2 result y""",
        operator=ONE_IN_FLIGHT + f'[ops]\nlisten = "{ops}"\n',
    )


def test_a_withdrawn_call_leaves_the_queue_at_once(tmp_path: Path) -> None:
    run(
        tmp_path,
        """
        send c1 call 1 weight-read body=a
        expect h1 request body=a
        send c1 call 2 weight-read body=b
        send c1 giveUp 2
        send c1 call 3 weight-read body=c
        send h1 ok body=x
        expect c1 1 result x
        expect h1 request body=c
        send c1 giveUp 3
        expect h1 give-up
        send c1 call 4 weight-read body=d
        expect h1 request body=d
        send h1 ok body=y
        expect c1 4 result y""",
        operator=ONE_IN_FLIGHT,
    )


def test_a_waiting_call_is_refused_with_retry_advice_before_half_of_its_time(tmp_path: Path) -> None:
    ops = free_address()
    seen: dict[str, str] = {}
    run(
        tmp_path,
        f"""
        send c1 call 1 weight-read body=a
        expect h1 request body=a
        send c1 call 2 weight-read body=b budget=700
        expect c1 2 error -32050
        send h1 ok body=x
        expect c1 1 result x
        get {ops} GET /door 200""",
        operator=ONE_IN_FLIGHT + f'[ops]\nlisten = "{ops}"\n',
        bodies=seen,
    )
    status = json.loads(seen["/door"])
    assert status["counts"]["handed"] == 1 and status["counts"]["refused"] == 1
    assert status["open_promises"] == 1 and status["inside"] == 0


def test_sigterm_drains_the_queue_in_time(tmp_path: Path) -> None:
    run(
        tmp_path,
        """
        send c1 call 1 weight-read body=a
        expect h1 request body=a
        send c1 call 2 weight-read body=b
        send node TERM
        send h1 ok body=x
        expect c1 1 result x
        expect h1 request body=b
        send h1 ok body=y
        expect c1 2 result y
        expect node exit 0""",
        operator=ONE_IN_FLIGHT,
    )


def test_a_plugin_sees_the_outcome_of_calls_that_the_door_refuses(tmp_path: Path) -> None:
    (tmp_path / "p.star").write_text(
        "def on_request(r):\n    return {'label': 'l'}\ndef on_outcome(r, o):\n    log('it was ' + o)\n"
    )
    run(
        tmp_path,
        """
        send c1 call 1 weight-read body=a
        expect h1 request body=a
        send c1 call 2 weight-read body=b budget=600
        expect c1 2 error -32050
        wait it was refused
        send h1 ok body=x
        expect c1 1 result x
        wait it was served""",
        operator=ONE_IN_FLIGHT + '[[plugins.use]]\npath = "p.star"\n',
    )


class HoldingCore(bench.AcceptingCore):
    """A core that holds the calls it is given."""

    def __init__(self, limits: Limits, log: bench.SilentLog) -> None:
        super().__init__(limits, log)
        self.admitted: list[Call] = []

    def pass_door(self, call: Call, front: object) -> bool:
        self.admitted.append(call)
        return True


def test_a_full_queue_evicts_the_calls_of_the_flooding_tenant() -> None:
    limits, log = Limits(), bench.SilentLog()
    core = HoldingCore(limits, log)
    door_settings = DoorSettings(queue=20, inside_first=1, inside_least=1, inside_most=1)
    door = DoorActor(door_settings, bench.SETTINGS, core, limits, log, seed=1)
    core.set_door(door)
    door.start()
    callers: list[tuple[int, bench.AnswerCounter]] = []
    for n in range(200):
        tenant = 2 if n % 20 else 1  # tenant 2 floods, tenant 1 sends every twentieth call
        caller = bench.AnswerCounter()
        now = now_ms()
        call = Call(
            f"{n:016x}", 0, "0" * 16, now + 60_000, received_at=now, tenant=tenant, client=f"c{tenant}"
        )
        door.offer(call, caller)
        callers.append((tenant, caller))
    gevent.sleep(0.2)
    waiting = len(door.waiting)
    assert 10 <= waiting <= 20 and len(door.in_flight) == 1
    refused = [tenant for tenant, caller in callers if caller.answers]
    assert refused and set(refused) == {2} and len(refused) == 199 - waiting
    door.finished = True
    door.message_arrived.set()
    gevent.sleep(0.05)
    assert len(core.admitted) == 1 + waiting  # a door that ends hands on the waiting calls


class DoorHarness:
    """A door without a greenlet, with a clock that the test sets."""

    def __init__(self, door_settings: DoorSettings) -> None:
        self.now, limits, log = 1e12, Limits(), bench.SilentLog()
        self.core = HoldingCore(limits, log)
        self.door = DoorActor(door_settings, bench.SETTINGS, self.core, limits, log, 1, lambda: self.now)
        self.core.set_door(self.door)
        self.callers: dict[Call, bench.AnswerCounter] = {}

    def call(self, client: str = "c", tenant: int = 0, budget: float = 4000.0) -> Call:
        request_id, deadline = f"{len(self.callers):016x}", self.now + budget
        call = Call(request_id, 0, "0" * 16, deadline, received_at=self.now, tenant=tenant, client=client)
        self.callers[call] = bench.AnswerCounter()
        self.door.receive(CallReceived(call, self.callers[call]))
        return call

    def end(self, call: Call, how: str = "served") -> None:
        self.core.admitted.remove(call)
        self.callers[call].answers += 1
        self.door.receive(CallEnded(call, how))

    def advance(self, ms: float) -> None:
        self.now += ms
        self.door.refuse_expired(self.now)
        self.door.dispatch(self.now)

    def answers(self) -> set[int]:
        return {caller.answers for caller in self.callers.values()}


def test_clock_steps_lose_no_call_and_answer_none_twice() -> None:
    harness = DoorHarness(DoorSettings(queue=50, inside_first=2, inside_least=1, inside_most=4))
    for step in (0.0, -5000.0, 5000.0, 5000.0, -5000.0):
        harness.now += step
        for _ in range(6):
            harness.call()
        harness.advance(10.0)
        while harness.core.admitted:
            harness.end(harness.core.admitted[0])
    for _ in range(4):
        harness.advance(4000.0)
        while harness.core.admitted:
            harness.end(harness.core.admitted[0])
    assert not harness.door.waiting and not harness.door.in_flight and harness.answers() == {1}


def test_an_outage_of_all_hosts_for_3_s_does_not_lower_the_limit() -> None:
    harness = DoorHarness(DoorSettings(inside_first=40, inside_least=2, inside_most=400))
    for _ in range(300):  # steady load
        harness.call()
        harness.advance(20.0)
        while len(harness.core.admitted) > 10:
            harness.end(harness.core.admitted[0])
    before = harness.door.concurrency_limit.limit
    for _ in range(60):  # no call ends
        harness.call()
        harness.advance(50.0)
    while harness.core.admitted:
        harness.end(harness.core.admitted[0], "failed")
    assert harness.door.concurrency_limit.limit >= before and harness.door.concurrency_limit.stalls >= 1
    for _ in range(100):
        harness.call()
        harness.advance(20.0)
        while harness.core.admitted:
            harness.end(harness.core.admitted[0])
    assert harness.answers() == {1} and harness.door.concurrency_limit.limit >= before


def test_calls_that_waited_for_a_load_change_neither_limit_nor_cost() -> None:
    harness = DoorHarness(DoorSettings(inside_first=40, inside_least=2, inside_most=400))
    costs = {n: c.latency_target / 4 for n, c in enumerate(bench.SETTINGS.classes)}
    for _ in range(200):
        call = harness.call()
        call.waited_for_load = True
        harness.advance(20.0)
        if len(harness.core.admitted) > 150:
            harness.end(harness.core.admitted[0])  # 3 s late
    assert harness.door.concurrency_limit.limit >= 40 and harness.door.costs.items() <= costs.items()


class EndRecorder:
    """A door that only records the ends of calls."""

    def __init__(self) -> None:
        self.ends: list[tuple[str, str, bool]] = []

    def offer(self, call: Call, front: Front) -> bool:
        return True

    def withdraw(self, call: Call) -> bool:
        return True

    def call_ended(self, call: Call, how: str) -> None:
        self.ends.append((call.function, how, call.waited_for_load))


def test_the_door_learns_which_calls_waited_for_a_load() -> None:
    world, recorder = RoundSimulation(3, 60.0), EndRecorder()
    world.actor.set_door(recorder)
    world.run(20.0)
    served = [(function, cold) for function, how, cold in recorder.ends if how == "served"]
    first = {function: cold for function, cold in reversed(served)}
    late = [cold for _, cold in served[len(served) // 2 :]]
    assert len(first) > 20 and all(first.values())  # the first call of each function found no copy
    assert 0 < sum(late) < 0.3 * len(late)


def test_a_withdrawal_of_a_call_already_handed_on_goes_to_the_module() -> None:
    harness = DoorHarness(DoorSettings(inside_first=1, inside_least=1, inside_most=1))
    first, second = harness.call(), harness.call()
    dropped: list[Call] = []
    harness.core.withdraw_past_door = lambda call: bool(dropped.append(call)) or True  # type: ignore[method-assign, func-returns-value]
    harness.door.receive(CallWithdrawn(first))
    harness.door.receive(CallWithdrawn(second))
    assert dropped == [first] and list(harness.door.in_flight) == [first] and not harness.door.waiting
    harness.end(first, "withdrawn")
    assert not harness.door.in_flight and harness.callers[second].answers == 0


def test_returning_early_gains_nothing_and_returning_on_time_goes_first() -> None:
    harness = DoorHarness(DoorSettings(queue=4, inside_first=1, inside_least=1, inside_most=1))
    harness.call("busy")
    for n in range(4):
        harness.call(f"other{n}")
    for client in ("honest", "hasty"):
        harness.call(client)
    return_times = {key[1]: held[0].return_at for key, held in harness.door.reservations.by_client.items()}  # type: ignore[index]
    hasty_again = harness.call("hasty")
    assert harness.callers[hasty_again].answers == 1 and harness.door.reservations.counts["early"] >= 1
    harness.now = return_times["honest"]
    back = harness.call("honest")
    harness.end(harness.core.admitted[0])
    assert harness.core.admitted == [back]  # ahead of all waiting calls


@pytest.mark.parametrize("case", ["gone-door", "clock-door"])
def test_a_running_invoker_loses_no_call_to_lost_hosts_or_clock_steps(case: str, tmp_path: Path) -> None:
    """Runs in a process of its own: the experiment's clients need the monkey-patched standard library."""
    out = tmp_path / "figures.json"
    command = [sys.executable, "-B", "-m", "harrieryoke.lab.case", "door", case, "5", "10", "40"]
    subprocess.run([*command, str(tmp_path), str(out)], check=True, timeout=120)
    results = json.loads(out.read_text())
    assert results["answered_once"] == results["taken"] > 100 and results["exit_code"] == 0
    assert results["doubled"] == results["orders_over_budget"] == 0
    assert results["door"]["inside"] == 0  # no call leaked from the limit


@pytest.mark.parametrize(
    ("table", "key"),
    [
        ("queue = 0", "door.queue:"),
        ("wait_share = 0.9", "door.wait_share:"),
        ("inside_first = 1", "door.inside_first:"),
        ("queues = 1", "queues"),
    ],
)
def test_a_configuration_error_names_its_key(table: str, key: str, tmp_path: Path) -> None:
    (tmp_path / "config.json").write_text(json.dumps(CONFIG))
    (tmp_path / "operator.toml").write_text(f"[door]\n{table}\n")
    with pytest.raises(ConfigError, match=key):
        load_config(str(tmp_path / "operator.toml"), {"RELAY_CONFIG": str(tmp_path / "config.json")})
