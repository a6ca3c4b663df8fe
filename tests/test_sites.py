"""The sites in deploy/sites: the invoker reads and serves each, and its code contains no names of theirs."""

from __future__ import annotations

import json
import re
import time
import tomllib
from collections.abc import Iterable
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from harrieryoke.checks import ConfigError
from harrieryoke.config import Config, read_config
from harrieryoke.interface import Effect
from harrieryoke.limits import Limits
from harrieryoke.reload import merge

from .scenario import ROOT, SETTINGS, Scene, run

SITES = {
    path.stem: tomllib.loads(path.read_text()) for path in sorted((ROOT / "deploy/sites").glob("*.toml"))
}
ORCHARDS, WELLS = "tadla-orchards", "jerid-wells"
EFFECTS = {"safe": "repeatable", "keyed": "by_key", "unsafe": "once"}
REPORTS = {"inflight": "concurrent", "queue": "depth", "util": "load_share"}
MB_PER_CORE = 2000
ALARM = "frost-alarm"
SOCKET_TOLERANCE_MS = 50  # tolerance for time limits over sockets


def lower_end(value: Any) -> Any:
    """Returns a value of a site; for a range, its lower end."""
    return value[0] if isinstance(value, list) else value


def class_settings(request_class: dict[str, Any]) -> dict[str, Any]:
    settings = {
        "name": request_class["name"],
        "goal-time": request_class["aim_ms"],
        "hard-limit": request_class["deadline_ms"],
        "repeat": EFFECTS[request_class["effect"]],
        "value": request_class["worth"],
        "late-worth": request_class["late_worth"],
    }
    if request_class["effect"] == "keyed":
        settings |= {"dedup-scope": request_class["group"], "repeat-window": request_class["window_ms"]}
    return settings


def wire_settings(site: dict[str, Any]) -> dict[str, Any]:
    """Returns the settings of an invoker of this site, under their names on the wire."""
    allow, rules, fam, tier = site["allow"], site["rules"], site["fam"], site["tier"][0]
    kinds = tier["kind"]
    return {
        "classes": [class_settings(c) for c in site["class"]],
        "ceilings": {
            "cancel": allow["cancel"],
            "probes": allow["probes"],
            "second-copies": allow["second_copies"],
            "retry-after": allow["retry_after"],
            "max-attempts": allow["max_attempts"],
            "max-retry-after": site["clients"]["max_retry_after_ms"],
            "dial-timeout": tier["conn"]["connect_timeout_ms"],
            "conn-idle": tier["conn"]["idle_s"] * 1000,
            "streams-per-conn": tier["conn"]["streams"],
        },
        "obligations": {
            "answer-slack": 8,
            "cold": max(k["cold_s"][1] for k in kinds) * 1000,
            "cold-share": min(lower_end(k["cold_from"]) for k in kinds),
            "drain-grace": rules["drain_grace_ms"],
            "fall-multiple": rules["fall_multiple"],
            "overload-for": rules["fall_ms"],
        },
        "extra": {
            "orders": fam["orders"],
            "stays-loaded": lower_end(fam["keep_s"]) * 1000,
            "order-limit": 10000,
            "load-window": fam["load_window_ms"],
            "load-floor": fam["load_free"],
            "load-share": fam["load_share"],
            "price-of-idle": fam["memory_price"],
            "kind-memory-mb": [k["cores"] * MB_PER_CORE for k in kinds],
            "warm-notes": fam["tells_warm"],
            "says-company": fam["tells_crowd"],
        },
        "realms": [{"name": t["name"], "allowance-per-s": 100 * t["share"]} for t in site["tenant"]],
        "flavors": [k["name"] for k in kinds],
        "zones": site["net"]["zones"],
        "over-share-worth": site["load"]["over_share_worth"],
        "worth-by": site["load"]["worth_by"],
        "discovery": "on_request" if site["discovery"]["mode"] == "ask" else "pushed",
        "period": site["day"]["tick_ms"],
        "siblings": lower_end(site["scale"]["balancers"]),
        "load-report": {"fields": [REPORTS.get(f, f) for f in tier["report"]["fields"]]},
    }


def read(settings: dict[str, Any], folder: Path) -> Config:
    path = folder / "config.json"
    path.write_text(json.dumps({"bus": "127.0.0.1:9", "listen": "127.0.0.1:8443", "settings": settings}))
    return read_config(env={"RELAY_CONFIG": str(path)})


# --- reading of settings ---


def test_the_sites_differ_as_other_deployments_do() -> None:
    assert set(SITES) == {ORCHARDS, WELLS}
    orchards, wells = SITES[ORCHARDS], SITES[WELLS]
    assert [len(s["class"]) for s in (orchards, wells)] == [5, 1]
    assert [len(s["net"]["zones"]) for s in (orchards, wells)] == [3, 1]
    deadlines = [c["deadline_ms"] for c in orchards["class"]]
    assert 250 <= min(deadlines) <= 400 and max(deadlines) > 3000
    assert all(len(s["class"]) == len(s["fam"]["class"]) for s in SITES.values())


@pytest.mark.parametrize("site_name", SITES)
def test_every_setting_of_a_site_is_read(site_name: str, tmp_path: Path) -> None:
    site, config = SITES[site_name], read(wire_settings(SITES[site_name]), tmp_path)
    got, limits = config.settings, config.limits
    for c, r in zip(site["class"], got.classes, strict=True):
        wanted = (c["name"], c["aim_ms"], c["deadline_ms"], c["worth"], c["late_worth"], c["effect"])
        assert (r.name, r.latency_target, r.deadline, r.worth, r.late_worth, r.effect.value) == wanted
        if r.effect is Effect.KEYED:
            assert (r.deduplication_scope.value, r.repeat_window) == (c["group"], c["window_ms"])
    assert [t.name for t in got.tenants] == [t["name"] for t in site["tenant"]]
    assert list(got.zones) == site["net"]["zones"]
    kinds = site["tier"][0]["kind"]
    assert got.kinds == tuple(k["name"] for k in kinds)
    assert got.memory_by_kind == tuple(k["cores"] * MB_PER_CORE for k in kinds)
    allow, fam, rules, conn = site["allow"], site["fam"], site["rules"], site["tier"][0]["conn"]
    pairs = [
        (got.may_cancel, allow["cancel"]),
        (got.may_probe, allow["probes"]),
        (got.second_attempts, allow["second_copies"]),
        (got.sends_retry_after, allow["retry_after"]),
        (got.max_attempts, allow["max_attempts"]),
        (got.max_retry_after, site["clients"]["max_retry_after_ms"]),
        (got.connect_timeout, conn["connect_timeout_ms"]),
        (limits.dial_ms, conn["connect_timeout_ms"]),
        (limits.link_idle_ms, conn["idle_s"] * 1000),
        (limits.streams_per_link, conn["streams"]),
        (got.cold_period, max(k["cold_s"][1] for k in kinds) * 1000),
        (got.cold_share, min(k["cold_from"][0] for k in kinds)),
        (got.overload_multiple, rules["fall_multiple"]),
        (got.overload_time, rules["fall_ms"]),
        (got.may_order, fam["orders"]),
        (got.keep_alive, fam["keep_s"][0] * 1000),
        (got.order_limit_window, fam["load_window_ms"]),
        (got.order_limit_floor, fam["load_free"]),
        (got.order_limit_share, fam["load_share"]),
        (got.idle_copy_price, fam["memory_price"]),
        (got.reports_copy_lookup, fam["tells_warm"]),
        (got.reports_concurrent_requests, fam["tells_crowd"]),
        (got.over_share_worth, site["load"]["over_share_worth"]),
        (got.worth_by_work, site["load"]["worth_by"] == "work"),
        (got.list_on_request, site["discovery"]["mode"] == "ask"),
        (got.tick, site["day"]["tick_ms"]),
        (got.front_ends, site["scale"]["balancers"][0]),
    ]
    assert [pair for pair in pairs if pair[0] != pair[1]] == []


@pytest.mark.parametrize("site", SITES)
def test_an_aim_past_the_deadline_is_an_error_that_names_the_class(site: str, tmp_path: Path) -> None:
    settings = wire_settings(SITES[site])
    settings["classes"][0]["goal-time"] = settings["classes"][0]["hard-limit"] + 1
    with pytest.raises(ConfigError, match=f"settings.classes: the aim of '{settings['classes'][0]['name']}'"):
        read(settings, tmp_path)


# --- serving ---


def calls(site: str, first: int = 1) -> str:
    """Returns steps that serve a call of every class, with the tenants in turn."""
    steps, tenants = [], [t["name"] for t in SITES[site]["tenant"]]
    for n, c in enumerate(SITES[site]["class"], first):
        key = f"token=k-{n}" if c["effect"] == "keyed" else ""
        steps += [
            f"send c1 call {n} {c['name']} acct={tenants[n % len(tenants)]} budget=60000 {key} body=b{n}",
            f"expect h1 request sort={c['name']} body=b{n}",
            f"send h1 ok body=a{n}",
            f"expect c1 {n} result a{n}",
        ]
    return "\n".join(steps)


def refused_names(site: str, other: str) -> str:
    """Returns steps in which calls with classes and tenants of the other site are rejected."""
    tenant, name = SITES[site]["tenant"][0]["name"], SITES[site]["class"][0]["name"]
    steps = []
    for n, c in enumerate(SITES[other]["class"], 50):
        steps += [f"send c1 call {n} {c['name']} acct={tenant} token=k", f"expect c1 {n} error -32601"]
    for n, t in enumerate(SITES[other]["tenant"], 70):
        steps += [f"send c1 call {n} {name} acct={t['name']} token=k", f"expect c1 {n} error -32602"]
    return "\n".join(steps)


def other(site: str) -> str:
    return WELLS if site == ORCHARDS else ORCHARDS


@pytest.mark.parametrize("site", SITES)
def test_a_call_of_every_class_is_served_and_of_an_unknown_class_is_an_error(
    site: str, tmp_path: Path
) -> None:
    text = f"{calls(site)}\n{refused_names(site, other(site))}\nsend node TERM\nexpect node exit 0"
    run(tmp_path, text, settings=wire_settings(SITES[site]))


def test_answers_and_refusals_keep_the_short_deadline(tmp_path: Path) -> None:
    deadline = next(c["deadline_ms"] for c in SITES[ORCHARDS]["class"] if c["name"] == ALARM)
    call = f"{ALARM} acct=growers-oum budget={deadline}"
    scene = Scene(tmp_path, settings=wire_settings(SITES[ORCHARDS]))
    try:
        scene.play(f"""
            send c1 call 1 season-outlook acct=growers-oum budget=60000
            expect h1 request sort=season-outlook
            send c1 call 2 {call}
            expect h1 request sort={ALARM}
            send h1 ok body=y
            expect c1 2 result y""")
        silent, no_copy = ("", "expect h1 give-up"), ("send h1 miss\nexpect h1 hold", "")
        for n, (host, after) in enumerate((silent, no_copy), 3):
            sent = time.monotonic()
            scene.play(f"""
                send c1 call {n} {call}
                expect h1 request sort={ALARM}
                {host}
                expect c1 {n} error -32050""")
            took = 1000 * (time.monotonic() - sent)
            assert took <= deadline + SOCKET_TOLERANCE_MS
            scene.play(after)
    finally:
        scene.end()


@pytest.mark.parametrize("site", SITES)
def test_sighup_to_the_other_sites_settings_leaves_nothing_of_the_first(site: str, tmp_path: Path) -> None:
    new = other(site)
    run(
        tmp_path,
        f"""
        {calls(site)}
        send config settings='{json.dumps(wire_settings(SITES[new]))}'
        send node HUP
        wait reloaded
        {refused_names(new, site)}
        {calls(new, 90)}""",
        settings=wire_settings(SITES[site]),
    )


@pytest.mark.parametrize("site", SITES)
def test_after_sighup_every_setting_is_the_other_sites(site: str, tmp_path: Path) -> None:
    old, new = (read(wire_settings(SITES[name]), tmp_path).settings for name in (site, other(site)))
    merged = merge(old, new, Limits().class_slots)
    assert [merged.classes[n] for n in merged.active_classes().values()] == list(new.classes)
    assert [merged.tenants[n] for n in merged.active_tenants().values()] == list(new.tenants)
    memory = dict(zip(merged.kinds, merged.memory_by_kind, strict=True))
    assert [memory[kind] for kind in new.kinds] == list(new.memory_by_kind)
    assert set(new.zones) <= set(merged.zones)
    indexed = ("classes", "retired", "tenants", "retired_tenants", "zones", "kinds", "memory_by_kind")
    assert replace(merged, **{name: getattr(new, name) for name in indexed}) == new


# --- names in the code ---


def names(settings: dict[str, Any]) -> set[str]:
    named = settings["classes"] + settings["realms"]
    return {entry["name"] for entry in named} | set(settings["flavors"]) | set(settings["zones"])


def found(paths: Iterable[Path]) -> list[str]:
    """Returns the places in the files that contain a name of a class, tenant, kind or zone of any site."""
    known = names(SETTINGS).union(*(names(wire_settings(site)) for site in SITES.values()))
    name = re.compile(rf"(?<![\w-])({'|'.join(sorted(known))})(?![\w-])")
    return [
        f"{path.relative_to(ROOT)}:{n}: {match[0]}"
        for path in paths
        for n, line in enumerate(path.read_text().splitlines(), 1)
        for match in name.finditer(line)
    ]


def test_no_name_of_a_site_is_in_the_code_or_in_balancer_toml() -> None:
    """Excludes deploy/operator.toml, where an operator names the classes of one installation."""
    files = [p for p in ROOT.glob("harrieryoke/**/*") if p.suffix in (".py", ".proto")]
    assert len(files) > 100
    assert found([*files, ROOT / "deploy/balancer.toml"]) == []
