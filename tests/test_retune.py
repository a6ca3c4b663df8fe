"""SIGHUP with new settings: applied completely or not at all; open requests keep their settings."""

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

from .rig import SETTINGS as ROUTER_SETTINGS
from .rig import Rig, sends
from .scenario import SETTINGS, Scene, run

Change = Callable[[dict[str, Any]], object]
NEW_CLASS = {"name": "swarm-alert", "goal-time": 500, "hard-limit": 2000, "repeat": "once", "value": 5}


def changed_settings(change: Change) -> dict[str, Any]:
    settings = copy.deepcopy(SETTINGS)
    change(settings)
    return settings


def reload_steps(change: Change = lambda s: None) -> str:
    """Steps that apply the scenario's settings after a change."""
    return f"send config settings='{json.dumps(changed_settings(change))}'\nsend node HUP\nwait reloaded"


def add_class(s: dict[str, Any]) -> None:
    s["classes"].append(NEW_CLASS)


def remove_class(s: dict[str, Any]) -> None:
    del s["classes"][0]


def set_effect(word: str, n: int = 0) -> Change:
    return lambda s: s["classes"][n].update(repeat=word)


def set_max_attempts(count: int) -> Change:
    return lambda s: s["ceilings"].update({"max-attempts": count})


APPLIED_SETTINGS = {
    "a class is added, and used": f"""
        {reload_steps(add_class)} classes added: swarm-alert
        send c1 call 1 swarm-alert body=x
        expect h1 request sort=swarm-alert body=x
        send h1 ok body=y
        expect c1 1 result y""",
    "a class is removed: its open request ends under its old definition and name": f"""
        send c1 call 1 weight-read body=x
        expect h1 request sort=weight-read
        {reload_steps(remove_class)} classes dropped: weight-read
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
        {reload_steps()} classes added: weight-read
        send c1 call 4 weight-read
        expect h1 request sort=weight-read""",
    "a class may no longer be repeated: requests that were open before still may": f"""
        send c1 call 1 weight-read
        expect h1 request
        {reload_steps(set_effect("once"))} classes changed: weight-read
        close h1
        expect h1 request
        send h1 ok body=y
        expect c1 1 result y
        send c1 call 2 weight-read
        expect h1 request
        close h1
        expect c1 2 error -32000""",
    "a class may be repeated from now on: requests that were open before still may not": f"""
        {reload_steps(set_effect("once"))}
        send c1 call 1 weight-read
        expect h1 request
        {reload_steps()} classes changed: weight-read
        close h1
        expect c1 1 error -32000
        send c1 call 2 weight-read
        expect h1 request
        close h1
        expect h1 request
        send h1 ok body=y
        expect c1 2 result y""",
    "a class becomes repeatable: requests that were open before fail instead of being refused": f"""
        send c1 call 1 harvest-log token=k budget=900
        expect h1 request
        {reload_steps(set_effect("repeatable", 1))}
        expect c1 1 error -32000
        expect h1 give-up
        send c1 call 2 harvest-log token=l budget=900
        expect h1 request
        expect c1 2 error -32050""",
    "the number of attempts falls and rises again: an open request keeps its own": f"""
        send c1 call 1 weight-read
        expect h1 request
        {reload_steps(set_max_attempts(1))} attempts: 5 -> 1
        close h1
        expect h1 request
        send h1 ok body=y
        expect c1 1 result y
        send c1 call 2 weight-read
        expect h1 request
        {reload_steps()} attempts: 1 -> 5
        close h1
        expect c1 2 error -32050""",
    "keys that need a restart are named besides the changes": f"""
        send config name=n7
        {reload_steps(lambda s: s.update(period=3, discovery="on_request"))} other settings
        wait needed for: name, settings.discovery""",
    "a removed class does not delay the shutdown": f"""
        {reload_steps(lambda s: s.update(classes=[NEW_CLASS | {"hard-limit": 900}]))}
        send node TERM
        wait all is answered within 1400 ms
        expect node exit 0""",
    "no settings are applied during the shutdown": f"""
        send c1 call 1 weight-read
        expect h1 request
        send node TERM
        wait stopping
        send config settings='{json.dumps(changed_settings(remove_class))}'
        send node HUP
        wait reload-failed the old configuration stays: the process is stopping
        send h1 ok body=y
        expect c1 1 result y
        expect node exit 0""",
}


@pytest.mark.parametrize("name", APPLIED_SETTINGS)
def test_new_settings_apply_immediately(name: str, tmp_path: Path) -> None:
    run(tmp_path, APPLIED_SETTINGS[name])


def test_door_plugins_and_ledger_know_classes_and_tenants_added_by_a_reload(tmp_path: Path) -> None:
    hook = "def on_outcome(r, o):\n    fail(o + ' ' + r['class'] + ' ' + r['tenant'])"
    (tmp_path / "p.star").write_text(hook)
    operator = '[door]\n[ledger]\n[[plugins.use]]\npath = "p.star"\non_failure = "admit"\n'

    def more(s: dict[str, Any]) -> None:
        add_class(s)
        s["realms"].append({"name": "coop-new", "allowance-per-s": 5})

    run(
        tmp_path,
        f"""
        {reload_steps(more)}
        send c1 call 1 swarm-alert acct=coop-new
        expect h1 request sort=swarm-alert
        send h1 ok body=y
        expect c1 1 result y
        wait served swarm-alert coop-new
        {reload_steps()}
        send c1 call 2 weight-read acct=coop-new
        expect c1 2 error -32602""",
        operator=operator,
    )


# --- invalid files ---


def set_value(value: Any, *path: str | int) -> Change:
    """Set the value at a path; `...` deletes the key."""

    def change(container: Any) -> None:
        for key in path[:-1]:
            container = container[key]
        container[path[-1]] = value
        if value is ...:
            del container[path[-1]]

    return change


INVALID_SETTINGS: dict[str, Change] = {
    "settings.classes: at least": set_value(..., "classes"),
    "settings.classes: at least one": set_value([], "classes"),
    "settings.classes: a list": set_value({}, "classes"),
    "settings.classes[0].hard-limit: it is missing": set_value(..., "classes", 0, "hard-limit"),
    "settings.classes[1].name: it is missing": set_value(..., "classes", 1, "name"),
    "settings.classes[1].dedup-scope: it is missing": set_value(..., "classes", 1, "dedup-scope"),
    "settings.classes[1].value: it is missing": set_value(..., "classes", 1, "value"),
    "settings.classes[0].hard-limit: must be above 0": set_value(0, "classes", 0, "hard-limit"),
    "settings.classes[0].goal-time: must be above 0": set_value(-1, "classes", 0, "goal-time"),
    "settings.classes: the aim of 'weight-read'": set_value(5000, "classes", 0, "goal-time"),
    "settings.classes[0].repeat: unknown word": set_value("twice", "classes", 0, "repeat"),
    "settings.classes[0].repeat: unknown word []": set_value([], "classes", 0, "repeat"),
    "settings.classes[1].name: a second": set_value("weight-read", "classes", 1, "name"),
    "settings.classes[1].name: 1 to 256": set_value("a,b", "classes", 1, "name"),
    "settings.classes[0].goal-time: Expected": set_value("soon", "classes", 0, "goal-time"),
    "settings.classes[0].goal-time: nan": set_value("nan", "classes", 0, "goal-time"),
    "settings.classes[0].hard-limit: 1e+300": set_value(1e300, "classes", 0, "hard-limit"),
    "settings.classes[0].hard-limit: a number is expected": set_value("4000", "classes", 0, "hard-limit"),
    "settings.ceilings.max-attempts: it is missing": set_value(..., "ceilings", "max-attempts"),
    "settings.ceilings.max-attempts: must be above 0": set_value(0, "ceilings", "max-attempts"),
    "settings.ceilings.max-attempts: Expected": set_value(True, "ceilings", "max-attempts"),
    "settings.ceilings.dial-timeout: must be": set_value(-5, "ceilings", "dial-timeout"),
    "settings.ceilings: it is missing": set_value(..., "ceilings"),
    "settings.ceilings: an object is expected": set_value([], "ceilings"),
    "settings.extra.load-share: it is missing": set_value(None, "extra", "load-share"),
    "settings.siblings: must be above 0": set_value(0, "siblings"),
    "settings.siblings: Expected": set_value(1.5, "siblings"),
    "settings.load-report.fields: a list": set_value("x1", "load-report", "fields"),
    "settings.realms[0].allowance-per-s: it is": set_value(..., "realms", 0, "allowance-per-s"),
    "settings.zones: a list": set_value("hall-a", "zones"),
}
INVALID_FILES: dict[str, Callable[[dict[str, Any]], str | bytes]] = {
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
INVALID_FILES |= {
    key: lambda c, change=change: json.dumps(c | {"settings": changed_settings(change)})  # type: ignore[misc]
    for key, change in INVALID_SETTINGS.items()
}


class RecordingLog(Log):
    """Keeps its lines."""

    def __init__(self) -> None:
        super().__init__()
        self.lines: list[str] = []

    def __call__(self, kind: str, text: str = "", **fields: object) -> None:
        self.lines.append(f"{kind} {text}")


class ServiceHarness:
    """A service that is not started: the messages to its parts stay in their mailboxes."""

    def __init__(self, folder: Path) -> None:
        self.path, self.log = folder / "config.json", RecordingLog()
        self.file = {
            "name": "n0",
            "listen": "127.0.0.1:8443",
            "seed": "8c",
            "bus": "127.0.0.1:4222",
            "settings": changed_settings(lambda s: None),
            "known": {"offset": 3},
            "limits": {},
        }
        self.write(self.file)
        env = {"RELAY_CONFIG": str(self.path)}
        self.service = Service(read_config(env=env), self.log, lambda: read_config(env=env))

    def write(self, content: Any) -> None:
        self.path.write_text(json.dumps(content))

    def reload(self, change: Change | None = None) -> str:
        if change is not None:
            self.write(self.file | {"settings": changed_settings(change)})
        self.service.reload()
        return self.log.lines[-1]


@pytest.fixture
def harness(tmp_path: Path) -> ServiceHarness:
    return ServiceHarness(tmp_path)


def reload_counts(service: Service) -> tuple[int, int]:
    """Return the numbers of applied and rejected files."""
    return service.core.metrics.config_applied, service.core.metrics.config_rejected


@pytest.mark.parametrize("key", INVALID_FILES)
def test_invalid_file_changes_nothing_and_its_key_is_named(key: str, harness: ServiceHarness) -> None:
    service = harness.service
    config, limits = service.config, replace(service.limits)
    text = INVALID_FILES[key](harness.file | {"bus": "127.0.0.1:4223"})
    harness.path.write_bytes(text if isinstance(text, bytes) else text.encode())
    assert key.rstrip() in harness.reload() and harness.log.lines[-1].startswith("reload-failed")
    assert reload_counts(service) == (0, 1)
    assert service.config is config and service.limits == limits and service.maker.settings is config.settings
    assert not service.core.mailbox and not service.bus.mailbox and service.hosts.settings is config.settings
    assert harness.reload(add_class) == "reloaded classes added: swarm-alert"
    assert reload_counts(service) == (1, 1) and service.bus.mailbox


def test_file_may_omit_optional_keys(harness: ServiceHarness) -> None:
    for key in ("known", "seed"):
        del harness.file[key]
    harness.reload(lambda s: s["classes"].append(NEW_CLASS | {"aim-stretch": 2}))
    assert harness.reload(add_class).startswith(
        "reloaded classes changed: swarm-alert; a restart is needed for: seed"
    )
    harness.reload(remove_class)
    harness.reload(
        lambda s: s.update(classes=[NEW_CLASS, NEW_CLASS | {"name": "harvest-log"}])
    )  # its effect needs no keys
    assert reload_counts(harness.service)[1] == 0
    assert list(harness.service.maker.classes) == ["swarm-alert", "harvest-log"]


def test_ceilings_change_while_platform_limits_need_a_restart(harness: ServiceHarness) -> None:
    harness.file["limits"] = {"sockets": 99}
    line = harness.reload(lambda s: s["ceilings"].update({"conn-idle": 7000, "dial-timeout": 100}))
    limits = harness.service.limits
    assert (limits.link_idle_ms, limits.dial_ms, limits.sockets) == (7000, 100, 1024)
    assert line == "reloaded other settings; a restart is needed for: limits"
    assert harness.service.front.limits is limits is harness.service.hosts.limits


def test_too_many_class_definitions_are_rejected_until_a_restart(harness: ServiceHarness) -> None:
    harness.service.limits.class_slots = 4
    for value in (1, 3):
        assert harness.reload(set_value(value, "classes", 0, "value")).startswith("reloaded")
    assert "a restart is needed" in harness.reload(set_value(4, "classes", 0, "value"))
    assert harness.reload(lambda s: None).startswith("reloaded") and reload_counts(harness.service)[1] == 1


def test_concurrent_reloads_are_applied_in_order(harness: ServiceHarness) -> None:
    core = harness.service.core
    core.mailbox.extend([None] * core.capacity)  # the first reload waits for space in the mailbox
    both = [gevent.spawn(harness.reload, add_class)]
    gevent.sleep(0)
    both.append(gevent.spawn(harness.reload, lambda s: None))
    gevent.sleep(0)
    core.mailbox.clear()
    core.space_available.set()
    gevent.joinall(both)
    assert harness.log.lines == [
        "reloaded classes added: swarm-alert",
        "reloaded classes dropped: swarm-alert",
    ]
    assert reload_counts(harness.service) == (2, 0) and "swarm-alert" not in harness.service.maker.classes


def test_a_file_that_changes_while_it_is_read_is_read_again(tmp_path: Path) -> None:
    class ChangingFile:
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
    assert read_unchanged(ChangingFile(2)).data == b"xxx"  # type: ignore[arg-type]
    with pytest.raises(ConfigError, match="RELAY_CONFIG: it changes"):
        read_unchanged(ChangingFile(3))  # type: ignore[arg-type]


def test_alternating_valid_and_invalid_files_under_load_lose_no_request(tmp_path: Path) -> None:
    scene = Scene(tmp_path)
    host = scene.hosts["h1"]

    def serve() -> None:
        while (frame := host.frame()) is not None:
            if frame.code == frames.REQUEST:
                data = frames.encode(frames.OK, frame.id, {}, b"y", frames.FROM_HOST)
                host.sock().sendall(data)

    threading.Thread(target=serve, daemon=True).start()
    files = [
        f"settings='{json.dumps(changed_settings(change))}'"
        for change in (add_class, set_effect("once"), set_max_attempts(1))
    ]
    try:
        for n in range(1, 601):
            scene.play(f"send c1 call {n} {'weight-read' if n % 3 else f'harvest-log token=k{n}'}")
            if n % 20 == 0:
                content = files[n // 20 % 3] if n % 40 else "raw {"
                scene.play(f"send config {content}\nsend node HUP")
            if n > 16:
                answer = json.loads(scene.parties["c1"].line())
                assert "result" in answer, answer
        scene.play("send node TERM\nexpect node exit 0")
    finally:
        log = scene.end()
    assert log.count(" reloaded ") + log.count(" reload-failed ") == 30 and "module-fault" not in log
    assert "600 served, 0 refused, 0 failed" in log.replace("taken, ", "")


# --- the router ---


def test_open_request_keeps_its_attempts_and_the_router_its_state() -> None:
    rig = Rig()
    ((_, head),) = sends(rig.ask(1))
    router = rig.router
    stretch, copies = router.load_time_factor, dict(router.functions["f"].copies)
    quick = replace(ROUTER_SETTINGS.classes[0], name="quick", latency_target=100)
    new = merge(ROUTER_SETTINGS, replace(ROUTER_SETTINGS, classes=(quick,), max_attempts=1, front_ends=4), 9)
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


def test_allowances_change_and_a_tenant_gains_nothing_by_a_change() -> None:
    one = replace(ROUTER_SETTINGS, tenants=(i.Tenant("a", 2.0),), over_share_worth=0.1)
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
def test_indices_never_change_and_names_refer_to_the_newest_definitions(
    first: i.Settings, others: list[i.Settings]
) -> None:
    current = first
    for new in others:
        old, current = current, merge(current, new, 99)
        assert current.classes[: len(old.classes)] == old.classes
        assert len(dict.fromkeys(current.classes)) == len(current.classes)  # equal definitions share an index
        assert {current.classes[n] for n in current.active_classes().values()} == {*new.classes}
        assert {current.tenants[n] for n in current.active_tenants().values()} == {*new.tenants}
        assert [t.name for t in current.tenants][: len(old.tenants)] == [t.name for t in old.tenants]
        assert current.kinds[: len(old.kinds)] == old.kinds
        assert dict(zip(current.kinds, current.memory_by_kind, strict=True)) == {
            k: ord(k) for k in current.kinds
        }
        assert current.shortest_latency_target() == new.shortest_latency_target()
        assert merge(current, new, len(current.classes)) == current and not describe_changes(
            current, merge(current, new, 99)
        )
        if len(current.classes) > 1:
            with pytest.raises(ValueError, match="restart"):
                merge(current, new, len(current.classes) - 1)


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.sampled_from(("once", "by_key", "", "nan")),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.sampled_from(list(SETTINGS)), inner),
    max_leaves=6,
)


@settings(deadline=None)
@given(data=st.data())
def test_any_file_is_applied_or_one_of_its_keys_is_named(
    data: st.DataObject, tmp_path_factory: pytest.TempPathFactory
) -> None:
    content: Any = {
        "bus": "127.0.0.1:1",
        "listen": "127.0.0.1:2",
        "settings": changed_settings(lambda s: None),
    }
    current, container = copy.deepcopy(content), content
    while True:
        keys = list(container) if isinstance(container, dict) else list(range(len(container)))
        key = data.draw(st.sampled_from(keys))
        if not isinstance(container[key], dict | list) or not container[key] or data.draw(st.booleans()):
            break
        container = container[key]
    container[key] = data.draw(JSON)
    missing_key = find_missing_key([current], content)
    path = tmp_path_factory.getbasetemp() / "any.json"
    path.write_text(json.dumps(content))
    try:
        config = read_config(env={"RELAY_CONFIG": str(path)})
    except ConfigError as error:
        assert ":" in str(error)
    else:
        assert missing_key is None or ":" in missing_key
        assert all(0 < c.latency_target <= c.deadline < 1e13 for c in config.settings.classes)
        merge(config.settings, config.settings, 9)


@pytest.mark.parametrize(
    ("current", "new", "error"),
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
def test_new_file_needs_the_keys_of_the_current_one(current: Any, new: Any, error: str | None) -> None:
    result = find_missing_key([current], new)
    assert result == error or (result or "").startswith(error or "-")


def test_the_mailboxes_keep_the_order_of_settings_and_calls(harness: ServiceHarness) -> None:
    harness.reload(add_class)
    (message,) = harness.service.core.mailbox
    assert isinstance(message, SettingsChanged) and message.settings is harness.service.maker.settings
