"""Plays synthetic calls through one plug-in, with the daemon's gate and a core that answers each call."""

from __future__ import annotations

import random
from typing import Any

import gevent
from gevent.event import Event
from gevent.pool import Pool
from hdrh.histogram import HdrHistogram

from .. import interface as i
from ..core.clock import now_ms
from ..core.module import ModuleActor
from ..core.records import Call, Front, HostName, WorkersChanged
from ..limits import Limits
from ..log import Log
from .decide.manifest import cap_budgets, granted_capabilities
from .gate import PluginGate
from .instance import Instance
from .package import Package, read_package
from .settings import PluginError, PluginsSettings, PluginUse

SETTINGS = i.Settings(
    (
        i.RequestClass("sample-read", 1000, 4000, 2, effect=i.Effect.SAFE),
        i.RequestClass("sample-write", 750, 3000, 3, effect=i.Effect.KEYED),
    ),
    tuple(i.Tenant(f"coop-{n}", 100.0) for n in ("sahel", "cap-bon", "kef", "jerba", "tozeur")),
    max_retry_after=500.0,
    sends_retry_after=True,
)


class SilentLog(Log):
    """Counts lines without writing them."""

    def write_line(self, now: float, kind: str, text: str, fields: dict[str, object] | None = None) -> None:
        pass


class AcceptingCore(ModuleActor):
    """A core that answers each call at once."""

    def __init__(self, limits: Limits, log: Log) -> None:
        super().__init__(SETTINGS, 1, limits, log)

    def pass_gate(self, call: Call, front: Front) -> bool:
        front.served(call, b"")
        if self.gate is not None:
            self.gate.call_ended(call, "served")
        return True

    def blocking_send(self, message: Any) -> bool:
        return True


class AnswerCounter:
    """Counts the final answers of one call."""

    def __init__(self) -> None:
        self.answers, self.done = 0, Event()

    def served(self, call: Call, body: bytes) -> None:
        self.answers += 1
        self.done.set()

    def refused(self, call: Call, retry_after: float | None) -> None:
        self.served(call, b"")

    def failed(self, call: Call, reason: str) -> None:
        self.served(call, b"")


def synthetic_call(rng: random.Random, now: float) -> Call:
    """A random call, as a front would create it."""
    kind = int(rng.random() < 0.21)
    return Call(
        f"{rng.getrandbits(64):016x}",
        kind,
        f"{rng.randrange(200):016x}",
        now + SETTINGS.classes[kind].deadline * rng.uniform(0.5, 1.0),
        rng.randbytes(rng.randrange(400)),
        f"k{rng.getrandbits(32)}" if kind else None,
        rng.randrange(len(SETTINGS.tenants)),
        rng.uniform(210, 700),
        rng.choice((2, 4)),
        None,
        now,
        "hives/north" if rng.random() < 0.2 else "",
    )


def settings_for(path: str) -> PluginsSettings:
    return PluginsSettings([PluginUse(path)])


def load_plugin(path: str) -> tuple[Package, Instance]:
    """Read and load a plug-in. Raises PluginError."""
    plugins_settings = settings_for(path)
    package = read_package(path, plugins_settings.budgets)
    m = package.manifest
    instance = Instance(
        package,
        1,
        granted_capabilities(m.capabilities, []),
        cap_budgets(m.budgets, plugins_settings.budgets),
        plugins_settings.breaker_limits(),
        SilentLog(),
        lambda result: None,
    )
    instance.load_and_start(now_ms())
    return package, instance


def play(path: str, calls: int, seed: int, concurrency: int = 1) -> dict[str, Any]:
    """The figures of `plugin run`. If the plug-in can't be loaded, `on_failure` applies to all calls.

    Raises PluginError if `path` is not a plug-in.
    """
    limits, log, rng = Limits(), SilentLog(), random.Random(seed)
    core = AcceptingCore(limits, log)
    gate = PluginGate(settings_for(path), SETTINGS, core, limits, log)
    core.set_gate(gate)
    latency_us = HdrHistogram(1, 60_000_000, 2)
    answered, slowest_ms = 0, 0.0
    load_error: str | None = None
    try:
        gate.load_all()
    except PluginError as error:
        load_error = str(error)
    if load_error is not None:
        kind = load_error.split(": ")[-2] if load_error.count(": ") > 1 else "raised"
        return {
            "calls": calls,
            "answered": calls,
            "by_default": calls,
            "faults": {kind: 1},
            "p50_us": 0,
            "p99_us": 0,
            "max_ms": 0.0,
            "peak_mb": 0.0,
            "state": "open",
            "not_loaded": load_error,
        }
    gate.start()
    hosts = {n: HostName(f"mh{n}.zone-a", f"zone-{'ab'[n % 2]}", "kind-b", "active") for n in range(8)}
    gate.workers_changed(WorkersChanged(i.WorkersListed(i.ListScope.WHOLE), {}, hosts))

    def play_one() -> None:
        nonlocal answered, slowest_ms
        now = now_ms()
        caller = AnswerCounter()
        core.offer(synthetic_call(rng, now), caller)
        caller.done.wait(10)
        gevent.sleep(0)
        spent_ms = now_ms() - now
        answered += caller.answers == 1
        slowest_ms = max(slowest_ms, spent_ms)
        latency_us.record_value(max(1, int(1000 * spent_ms)))

    pool = Pool(concurrency)
    began = now_ms()
    for _ in range(calls):
        pool.spawn(play_one)
    pool.join()
    duration_ms = now_ms() - began
    status = gate.ask_status(10_000)
    version = next(iter(status["plugins"][0]["versions"].values()))
    return {
        "calls": calls,
        "answered": answered,
        "by_default": sum(status["by_default"].values()),
        "faults": version["faults"],
        "declined": status["by_default"],
        "p50_us": latency_us.get_value_at_percentile(50),
        "p99_us": latency_us.get_value_at_percentile(99),
        "max_ms": round(slowest_ms, 3),
        "peak_mb": version["peak_mb"],
        "state": version["state"],
        "refused": status["calls"].get("refused", 0),
        "calls_per_s": round(1000 * calls / max(1.0, duration_ms)),
    }
