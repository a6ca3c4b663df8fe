"""SIGHUP with other settings: taken whole or not at all, and open requests keep what they came with."""

from __future__ import annotations

import copy
import json
import threading
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

import gevent
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from harrieryoke import interface as i
from harrieryoke.checks import ConfigError
from harrieryoke.config import read_config, read_unchanged
from harrieryoke.core.records import SettingsChanged
from harrieryoke.log import Log
from harrieryoke.net import frames
from harrieryoke.reload import describe_changes, find_missing_key, merge
from harrieryoke.service import Service

from .rig import SETTINGS as RULES
from .rig import Rig, sends
from .scenario import SETTINGS, Scene, run

Change = Callable[[dict[str, Any]], object]
NEW = {"name": "swarm-alert", "goal-time": 500, "hard-limit": 2000, "repeat": "once", "value": 5}


def changed(change: Change) -> dict[str, Any]:
    settings = copy.deepcopy(SETTINGS)
    change(settings)
    return settings


def told(change: Change = lambda s: None) -> str:
    """Steps that put the scenario's settings, changed, in force."""
    return f"send config settings='{json.dumps(changed(change))}'\nsend node HUP\nwait reloaded"


def adds(s: dict[str, Any]) -> None:
    s["classes"].append(NEW)


def drops(s: dict[str, Any]) -> None:
    del s["classes"][0]


def effect(word: str, n: int = 0) -> Change:
    return lambda s: s["classes"][n].update(repeat=word)


def attempts(count: int) -> Change:
    return lambda s: s["ceilings"].update({"max-attempts": count})


TAKEN = {
    "a class is added, and used": f"""
        {told(adds)} classes added: swarm-alert
        send c1 call 1 swarm-alert body=x
        expect h1 request sort=swarm-alert body=x
        send h1 ok body=y
        expect c1 1 result y""",
    "a class is dropped: its open request ends as its class allows, under its old name": f"""
        send c1 call 1 weight-read body=x
        expect h1 request sort=weight-read
        {told(drops)} classes dropped: weight-read
        close h1
        expect h1 request sort=weight-read body=x
        send h1 ok body=y
        expect c1 1 result y
        send c1 call 2 weight-read
        expect c1 2 error -32601
        send c1 call 3 harvest-log token=k
        expect h1 request sort=harvest-log
        send h1 ok
        expect c1 3 result
        {told()} classes added: weight-read
        send c1 call 4 weight-read
        expect h1 request sort=weight-read""",
    "a class may no longer run twice: what was open before still may": f"""
        send c1 call 1 weight-read
        expect h1 request
        {told(effect("once"))} classes changed: weight-read
        close h1
        expect h1 request
        send h1 ok body=y
        expect c1 1 result y
        send c1 call 2 weight-read
        expect h1 request
        close h1
        expect c1 2 error -32000""",
    "a class may run twice from here: what was open before still may not": f"""
        {told(effect("once"))}
        send c1 call 1 weight-read
        expect h1 request
        {told()} classes changed: weight-read
        close h1
        expect c1 1 error -32000
        send c1 call 2 weight-read
        expect h1 request
        close h1
        expect h1 request
        send h1 ok body=y
        expect c1 2 result y""",
    "a class may be refused after it may have run: what was open before has failed": f"""
        send c1 call 1 harvest-log token=k budget=900
        expect h1 request
        {told(effect("repeatable", 1))}
        expect c1 1 error -32000
        expect h1 give-up
        send c1 call 2 harvest-log token=l budget=900
        expect h1 request
        expect c1 2 error -32050""",
    "the number of attempts falls, and rises again: an open request keeps its own": f"""
        send c1 call 1 weight-read
        expect h1 request
        {told(attempts(1))} attempts: 5 -> 1
        close h1
        expect h1 request
        send h1 ok body=y
        expect c1 1 result y
        send c1 call 2 weight-read
        expect h1 request
        {told()} attempts: 1 -> 5
        close h1
        expect c1 2 error -32050""",
    "what waits for a restart is named beside what is taken": f"""
        send config name=n7
        {told(lambda s: s.update(period=3, discovery="on_request"))} other settings
        wait needed for: name, settings.discovery""",
    "a class that was dropped does not put off the end": f"""
        {told(lambda s: s.update(classes=[NEW | {"hard-limit": 900}]))}
        send node TERM
        wait all is answered within 1400 ms
        expect node exit 0""",
    "while it stops nothing is taken": f"""
        send c1 call 1 weight-read
        expect h1 request
        send node TERM
        wait stopping
        send config settings='{json.dumps(changed(drops))}'
        send node HUP
        wait reload-failed the old configuration stays: the process is stopping
        send h1 ok body=y
        expect c1 1 result y
        expect node exit 0""",
}


@pytest.mark.parametrize("name", TAKEN)
def test_new_settings_are_in_force_at_once(name: str, tmp_path: Path) -> None:
    run(tmp_path, TAKEN[name])


def test_door_plugins_and_ledger_know_a_class_and_a_tenant_that_came_later(tmp_path: Path) -> None:
    hook = "def on_outcome(r, o):\n    fail(o + ' ' + r['class'] + ' ' + r['tenant'])"
    (tmp_path / "p.star").write_text(hook)
    operator = '[door]\n[ledger]\n[[plugins.use]]\npath = "p.star"\non_failure = "admit"\n'

    def more(s: dict[str, Any]) -> None:
        adds(s)
        s["realms"].append({"name": "coop-new", "allowance-per-s": 5})

    run(
        tmp_path,
        f"""
        {told(more)}
        send c1 call 1 swarm-alert acct=coop-new
        expect h1 request sort=swarm-alert
        send h1 ok body=y
        expect c1 1 result y
        wait served swarm-alert coop-new
        {told()}
        send c1 call 2 weight-read acct=coop-new
        expect c1 2 error -32602""",
        operator=operator,
    )


# --- files that can't be used ---


def put(value: Any, *path: str | int) -> Change:
    """The value at that place; `...` strikes the place."""

    def change(place: Any) -> None:
        for key in path[:-1]:
            place = place[key]
        place[path[-1]] = value
        if value is ...:
            del place[path[-1]]

    return change


WRONG: dict[str, Change] = {
    "settings.classes: at least": put(..., "classes"),
    "settings.classes: at least one": put([], "classes"),
    "settings.classes: a list": put({}, "classes"),
    "settings.classes[0].hard-limit: it is missing": put(..., "classes", 0, "hard-limit"),
    "settings.classes[1].name: it is missing": put(..., "classes", 1, "name"),
    "settings.classes[1].dedup-scope: it is missing": put(..., "classes", 1, "dedup-scope"),
    "settings.classes[1].value: it is missing": put(..., "classes", 1, "value"),
    "settings.classes[0].hard-limit: must be above 0": put(0, "classes", 0, "hard-limit"),
    "settings.classes[0].goal-time: must be above 0": put(-1, "classes", 0, "goal-time"),
    "settings.classes: the aim of 'weight-read'": put(5000, "classes", 0, "goal-time"),
    "settings.classes[0].repeat: unknown word": put("twice", "classes", 0, "repeat"),
    "settings.classes[0].repeat: unknown word []": put([], "classes", 0, "repeat"),
    "settings.classes[1].name: a second": put("weight-read", "classes", 1, "name"),
    "settings.classes[1].name: 1 to 256": put("a,b", "classes", 1, "name"),
    "settings.classes[0].goal-time: Expected": put("soon", "classes", 0, "goal-time"),
    "settings.classes[0].goal-time: nan": put("nan", "classes", 0, "goal-time"),
    "settings.classes[0].hard-limit: 1e+300": put(1e300, "classes", 0, "hard-limit"),
    "settings.classes[0].hard-limit: a number is expected": put("4000", "classes", 0, "hard-limit"),
    "settings.ceilings.max-attempts: it is missing": put(..., "ceilings", "max-attempts"),
    "settings.ceilings.max-attempts: must be above 0": put(0, "ceilings", "max-attempts"),
    "settings.ceilings.max-attempts: Expected": put(True, "ceilings", "max-attempts"),
    "settings.ceilings.dial-timeout: must be": put(-5, "ceilings", "dial-timeout"),
    "settings.ceilings: it is missing": put(..., "ceilings"),
    "settings.ceilings: an object is expected": put([], "ceilings"),
    "settings.extra.load-share: it is missing": put(None, "extra", "load-share"),
    "settings.siblings: must be above 0": put(0, "siblings"),
    "settings.siblings: Expected": put(1.5, "siblings"),
    "settings.load-report.fields: a list": put("x1", "load-report", "fields"),
    "settings.realms[0].allowance-per-s: it is": put(..., "realms", 0, "allowance-per-s"),
    "settings.zones: a list": put("hall-a", "zones"),
}
WHOLE: dict[str, Callable[[dict[str, Any]], str | bytes]] = {
    "RELAY_CONFIG: Input data was truncated": lambda c: "",
    "RELAY_CONFIG: Input data was truncated ": lambda c: json.dumps(c)[:-9],
    "RELAY_CONFIG: JSON is malformed": lambda c: "settings = 1",
    "RELAY_CONFIG: ": lambda c: b"\xff\xfe",
    "RELAY_CONFIG: Expected `object`": lambda c: "[]",
    "RELAY_CONFIG: maximum recursion": lambda c: "[" * 100000,
    "RELAY_CONFIG: Object missing required field `settings`": lambda c: json.dumps(
        {key: value for key, value in c.items() if key != "settings"}
    ),
    "limits: it is missing": lambda c: json.dumps({key: v for key, v in c.items() if key != "limits"}),
    "bus: not an address": lambda c: json.dumps(c | {"bus": "nowhere"}),
}
WHOLE |= {
    key: lambda c, change=change: json.dumps(c | {"settings": changed(change)})  # type: ignore[misc]
    for key, change in WRONG.items()
}


class Ear(Log):
    def __init__(self) -> None:
        super().__init__()
        self.lines: list[str] = []

    def __call__(self, kind: str, text: str = "", **fields: object) -> None:
        self.lines.append(f"{kind} {text}")


class Stage:
    """A service that is not started: what it would tell its parts lies in their mailboxes."""

    def __init__(self, folder: Path) -> None:
        self.path, self.log = folder / "config.json", Ear()
        self.told = {
            "name": "n0",
            "listen": "127.0.0.1:8443",
            "seed": "8c",
            "bus": "127.0.0.1:4222",
            "settings": changed(lambda s: None),
            "known": {"offset": 3},
            "limits": {},
        }
        self.write(self.told)
        env = {"RELAY_CONFIG": str(self.path)}
        self.service = Service(read_config(env=env), self.log, lambda: read_config(env=env))

    def write(self, told: Any) -> None:
        self.path.write_text(json.dumps(told))

    def hup(self, change: Change | None = None) -> str:
        if change is not None:
            self.write(self.told | {"settings": changed(change)})
        self.service.reload()
        return self.log.lines[-1]


@pytest.fixture
def stage(tmp_path: Path) -> Stage:
    return Stage(tmp_path)


def counted(service: Service) -> tuple[int, int]:
    """Files taken, and turned down."""
    return service.core.metrics.config_applied, service.core.metrics.config_rejected


@pytest.mark.parametrize("key", WHOLE)
def test_a_file_that_cannot_be_used_changes_nothing_and_its_key_is_named(key: str, stage: Stage) -> None:
    service = stage.service
    before, limits = service.config, replace(service.limits)
    text = WHOLE[key](stage.told | {"bus": "127.0.0.1:4223"})
    stage.path.write_bytes(text if isinstance(text, bytes) else text.encode())
    assert key.rstrip() in stage.hup() and stage.log.lines[-1].startswith("reload-failed")
    assert counted(service) == (0, 1)
    assert service.config is before and service.limits == limits and service.maker.settings is before.settings
    assert not service.core.mailbox and not service.bus.mailbox and service.hosts.settings is before.settings
    assert stage.hup(adds) == "reloaded classes added: swarm-alert"
    assert counted(service) == (1, 1) and service.bus.mailbox


def test_a_whole_file_may_leave_out_what_the_protocol_calls_optional(stage: Stage) -> None:
    for key in ("known", "seed"):
        del stage.told[key]
    stage.hup(lambda s: s["classes"].append(NEW | {"aim-stretch": 2}))
    assert stage.hup(adds).startswith("reloaded classes changed: swarm-alert; a restart is needed for: seed")
    stage.hup(drops)
    stage.hup(lambda s: s.update(classes=[NEW, NEW | {"name": "harvest-log"}]))  # of an effect without keys
    assert counted(stage.service)[1] == 0
    assert list(stage.service.maker.classes) == ["swarm-alert", "harvest-log"]


def test_ceilings_follow_and_what_is_the_operators_or_the_platforms_waits(stage: Stage) -> None:
    stage.told["limits"] = {"sockets": 99}
    line = stage.hup(lambda s: s["ceilings"].update({"conn-idle": 7000, "dial-timeout": 100}))
    limits = stage.service.limits
    assert (limits.link_idle_ms, limits.dial_ms, limits.sockets) == (7000, 100, 1024)
    assert line == "reloaded other settings; a restart is needed for: limits"
    assert stage.service.front.limits is limits is stage.service.hosts.limits


def test_too_many_definitions_of_classes_are_turned_down_until_a_restart(stage: Stage) -> None:
    stage.service.limits.class_slots = 4
    for value in (1, 3):
        assert stage.hup(put(value, "classes", 0, "value")).startswith("reloaded")
    assert "a restart is needed" in stage.hup(put(4, "classes", 0, "value"))
    assert stage.hup(lambda s: None).startswith("reloaded") and counted(stage.service)[1] == 1


def test_two_files_in_one_moment_both_count_in_their_order(stage: Stage) -> None:
    core = stage.service.core
    core.mailbox.extend([None] * core.capacity)  # the first file waits for room
    both = [gevent.spawn(stage.hup, adds)]
    gevent.sleep(0)
    both.append(gevent.spawn(stage.hup, lambda s: None))
    gevent.sleep(0)
    core.mailbox.clear()
    core.space_available.set()
    gevent.joinall(both)
    assert stage.log.lines == ["reloaded classes added: swarm-alert", "reloaded classes dropped: swarm-alert"]
    assert counted(stage.service) == (2, 0) and "swarm-alert" not in stage.service.maker.classes


def test_a_file_that_changes_while_it_is_read_is_read_again(tmp_path: Path) -> None:
    class Restless:
        def __init__(self, changes: int) -> None:
            self.real, self.left = tmp_path / "config.json", changes

        def stat(self) -> Any:
            return self.real.stat()

        def read_bytes(self) -> bytes:
            data = self.real.read_bytes()
            if self.left:
                self.left -= 1
                self.real.write_bytes(data + b"x")
            return data

    (tmp_path / "config.json").write_bytes(b"x")
    assert read_unchanged(Restless(2)).data == b"xxx"  # type: ignore[arg-type]
    with pytest.raises(ConfigError, match="RELAY_CONFIG: it changes"):
        read_unchanged(Restless(3))  # type: ignore[arg-type]


def test_good_and_broken_files_in_turn_under_load_lose_nothing(tmp_path: Path) -> None:
    scene = Scene(tmp_path)
    host = scene.hosts["h1"]

    def serve() -> None:
        while (frame := host.frame()) is not None:
            if frame.code == frames.REQUEST:
                data = frames.encode(frames.OK, frame.id, {}, b"y", frames.FROM_HOST)
                host.sock().sendall(data)

    threading.Thread(target=serve, daemon=True).start()
    files = [f"settings='{json.dumps(changed(change))}'" for change in (adds, effect("once"), attempts(1))]
    try:
        for n in range(1, 601):
            scene.play(f"send c1 call {n} {'weight-read' if n % 3 else f'harvest-log token=k{n}'}")
            if n % 20 == 0:
                what = files[n // 20 % 3] if n % 40 else "raw {"
                scene.play(f"send config {what}\nsend node HUP")
            if n > 16:
                answer = json.loads(scene.parties["c1"].line())
                assert "result" in answer, answer
        scene.play("send node TERM\nexpect node exit 0")
    finally:
        log = scene.end()
    assert log.count(" reloaded ") + log.count(" reload-failed ") == 30 and "module-fault" not in log
    assert "600 served, 0 refused, 0 failed" in log.replace("taken, ", "")


# --- the module ---


def test_an_open_request_keeps_its_attempts_and_what_was_learned_stays() -> None:
    rig = Rig()
    ((_, head),) = sends(rig.ask(1))
    router = rig.router
    stretch, copies = router.load_time_factor, dict(router.functions["f"].copies)
    quick = replace(RULES.classes[0], name="quick", latency_target=100)
    new = merge(RULES, replace(RULES, classes=(quick,), max_attempts=1, front_ends=4), 9)
    rig.give(i.SettingsChanged(new))
    assert sends(rig.settle(1, i.Outcome.RESET)), "three attempts were in force"
    rig.settle(1)
    rig.settings = new
    ((_, again),) = sends(rig.ask(2, 3))
    assert not sends(rig.settle(2, i.Outcome.RESET)) and 2 in rig.ended and again == head
    assert (
        router.shortest_latency_target == 100
        and router.others_share == 0.75
        and router.load_time_factor == stretch
    )
    assert router.functions["f"].copies.keys() >= copies.keys()


def test_allowances_follow_and_a_tenant_gains_nothing_by_a_change() -> None:
    one = replace(RULES, tenants=(i.Tenant("a", 2.0),), over_share_worth=0.1)
    rig = Rig(one)
    ask = i.RequestArrived(1, 0, "f", rig.now + 2000, 0)
    for n in range(1, 4):
        rig.give(replace(ask, request=n), i.SettingsChanged(one))
    worths = [r.worth for r in rig.router.requests.values()]
    assert worths == [1.0, 1.0, 0.1]
    rig.give(i.SettingsChanged(merge(one, replace(one, tenants=(i.Tenant("b", 1.0), i.Tenant("a"))), 9)))
    rig.give(replace(ask, request=4), replace(ask, request=5, tenant=1), replace(ask, request=6, tenant=1))
    assert [rig.router.requests[n].worth for n in (4, 5, 6)] == [1.0, 1.0, 0.1]


# --- merging ---

NAMES = st.sampled_from("abcde")
CLASSES = st.builds(
    i.RequestClass, NAMES, st.sampled_from((1.0, 2.0)), st.just(9.0), effect=st.sampled_from(i.Effect)
)
FILES = st.builds(
    lambda classes, tenants, kinds: i.Settings(
        tuple(classes), tuple(tenants), kinds=tuple(kinds), memory_by_kind=tuple(map(ord, kinds))
    ),
    st.lists(CLASSES, min_size=1, max_size=5, unique_by=lambda c: c.name),
    st.lists(st.builds(i.Tenant, NAMES, st.sampled_from((0.0, 5.0))), unique_by=lambda t: t.name),
    st.lists(NAMES, unique=True),
)


@settings(deadline=None)
@given(FILES, st.lists(FILES, min_size=1, max_size=6))
def test_places_never_move_and_names_lead_to_the_newest(first: i.Settings, others: list[i.Settings]) -> None:
    force = first
    for new in others:
        old, force = force, merge(force, new, 99)
        assert force.classes[: len(old.classes)] == old.classes
        assert len(dict.fromkeys(force.classes)) == len(force.classes)  # equal definitions share a place
        assert {force.classes[n] for n in force.active_classes().values()} == {*new.classes}
        assert {force.tenants[n] for n in force.active_tenants().values()} == {*new.tenants}
        assert [t.name for t in force.tenants][: len(old.tenants)] == [t.name for t in old.tenants]
        assert force.kinds[: len(old.kinds)] == old.kinds
        assert dict(zip(force.kinds, force.memory_by_kind, strict=True)) == {k: ord(k) for k in force.kinds}
        assert force.shortest_latency_target() == new.shortest_latency_target()
        assert merge(force, new, len(force.classes)) == force and not describe_changes(
            force, merge(force, new, 99)
        )
        if len(force.classes) > 1:
            with pytest.raises(ValueError, match="restart"):
                merge(force, new, len(force.classes) - 1)


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.sampled_from(("once", "by_key", "", "nan")),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.sampled_from(list(SETTINGS)), inner),
    max_leaves=6,
)


@settings(deadline=None)
@given(data=st.data())
def test_whatever_a_file_holds_it_is_taken_or_a_key_is_named(
    data: st.DataObject, tmp_path_factory: pytest.TempPathFactory
) -> None:
    told: Any = {"bus": "127.0.0.1:1", "listen": "127.0.0.1:2", "settings": changed(lambda s: None)}
    force, place = copy.deepcopy(told), told
    while True:
        keys = list(place) if isinstance(place, dict) else list(range(len(place)))
        key = data.draw(st.sampled_from(keys))
        if not isinstance(place[key], dict | list) or not place[key] or data.draw(st.booleans()):
            break
        place = place[key]
    place[key] = data.draw(JSON)
    named = find_missing_key([force], told)
    path = tmp_path_factory.getbasetemp() / "any.json"
    path.write_text(json.dumps(told))
    try:
        config = read_config(env={"RELAY_CONFIG": str(path)})
    except ConfigError as error:
        assert ":" in str(error)
    else:
        assert named is None or ":" in named
        assert all(0 < c.latency_target <= c.deadline < 1e13 for c in config.settings.classes)
        merge(config.settings, config.settings, 9)


@pytest.mark.parametrize(
    ("force", "new", "found"),
    [
        ({"a": 1}, {"a": 2.5}, None),
        ({"a": 1}, {}, "a: it is missing"),
        ({"a": None}, {}, None),
        ({"a": 1}, {"a": "1"}, "a: a number"),
        ({"a": {"b": 1}}, {"a": {"c": 1}}, "a.b: it is missing"),
        ({"a": []}, {"a": [{"b": 1}]}, None),
        ({"a": [{"b": 1}, {}]}, {"a": [{}]}, None),
        ({"a": [{"b": 1}, {"b": 2, "c": 3}]}, {"a": [{"b": 1}, {"c": 3}]}, "a[1].b: it is missing"),
        ({"a": [{"b": {"c": 1}}]}, {"a": [{"b": {}}]}, "a[0].b.c: it is missing"),
        ({"seed": "1"}, {}, None),
        ({"a": True}, {"a": 1}, "a: true or false"),
    ],
)
def test_what_the_file_in_force_has_the_new_one_needs(force: Any, new: Any, found: str | None) -> None:
    got = find_missing_key([force], new)
    assert got == found or (got or "").startswith(found or "-")


def test_the_mailboxes_keep_the_order_of_settings_and_calls(stage: Stage) -> None:
    stage.hup(adds)
    (message,) = stage.service.core.mailbox
    assert isinstance(message, SettingsChanged) and message.settings is stage.service.maker.settings
