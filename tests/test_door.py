"""The door in a running invoker: what waits is handed on, refused or withdrawn, once and in time."""

from __future__ import annotations

import json
from pathlib import Path

import gevent
import pytest

from harrieryoke.checks import ConfigError
from harrieryoke.core.actor import now_ms
from harrieryoke.core.records import Call
from harrieryoke.door.actor import DoorActor
from harrieryoke.door.settings import DoorSettings
from harrieryoke.limits import Limits
from harrieryoke.plugins import bench
from harrieryoke.serve import load_config

from .scenario import listener, run, where
from .test_operations import CONFIG

ONE = "[door]\ninside_first = 1\ninside_least = 1\ninside_most = 1\n"  # one call inside at a time


def test_what_waits_is_handed_on_when_there_is_room_the_most_worth_first(tmp_path: Path) -> None:
    free = listener()
    ops = where(free)
    free.close()
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
        operator=ONE + f'[ops]\nlisten = "{ops}"\n',
    )


def test_a_call_that_is_withdrawn_leaves_its_queue_at_once(tmp_path: Path) -> None:
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
        operator=ONE,
    )


def test_a_call_that_waits_is_refused_before_half_of_its_time_with_advice(tmp_path: Path) -> None:
    free = listener()
    ops = where(free)
    free.close()
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
        operator=ONE + f'[ops]\nlisten = "{ops}"\n',
        seen=seen,
    )
    told = json.loads(seen["/door"])
    assert told["counts"]["handed"] == 1 and told["counts"]["refused"] == 1
    assert told["open_promises"] == 1 and told["inside"] == 0


def test_sigterm_drains_a_full_door_in_time(tmp_path: Path) -> None:
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
        operator=ONE,
    )


def test_a_plugin_before_the_door_hears_of_what_the_door_refuses(tmp_path: Path) -> None:
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
        operator=ONE + '[[plugins.use]]\npath = "p.star"\n',
    )


class Held(bench.Taker):
    """A core that holds what it is given."""

    def __init__(self, limits: Limits, log: bench.Quiet) -> None:
        super().__init__(limits, log)
        self.held: list[Call] = []

    def admit(self, call: Call, front: object) -> bool:
        self.held.append(call)
        return True


def test_at_its_bound_the_flood_pushes_out_its_own() -> None:
    limits, log = Limits(), bench.Quiet()
    core = Held(limits, log)
    told = DoorSettings(queue=20, inside_first=1, inside_least=1, inside_most=1)
    made = DoorActor(told, bench.SETTINGS, core, limits, log, seed=1)
    core.set_door(made)
    made.start()
    callers: list[tuple[int, bench.Caller]] = []
    for n in range(200):
        tenant = 2 if n % 20 else 1  # the one floods, the other asks now and then
        caller = bench.Caller()
        now = now_ms()
        call = Call(f"{n:016x}", 0, "0" * 16, now + 60_000, taken=now, tenant=tenant, client=f"c{tenant}")
        made.offer(call, caller)
        callers.append((tenant, caller))
    gevent.sleep(0.2)
    waiting = len(made.waiting)
    assert 10 <= waiting <= 20 and len(made.inside) == 1
    refused = [tenant for tenant, caller in callers if caller.answers]
    assert refused and set(refused) == {2} and len(refused) == 199 - waiting
    made.over = True
    made.filled.set()
    gevent.sleep(0.05)
    assert len(core.held) == 1 + waiting  # a door that ends hands on what waits


@pytest.mark.parametrize(
    ("told", "key"),
    [
        ("queue = 0", "door.queue:"),
        ("wait_share = 0.9", "door.wait_share:"),
        ("inside_first = 1", "door.inside_first:"),
        ("queues = 1", "queues"),
    ],
)
def test_a_wrong_key_is_named(told: str, key: str, tmp_path: Path) -> None:
    (tmp_path / "config.json").write_text(json.dumps(CONFIG))
    (tmp_path / "operator.toml").write_text(f"[door]\n{told}\n")
    with pytest.raises(ConfigError, match=key):
        load_config(str(tmp_path / "operator.toml"), {"RELAY_CONFIG": str(tmp_path / "config.json")})
