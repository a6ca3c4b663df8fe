"""Plays synthetic calls through one plug-in, by the daemon's own gate, with a core that takes every call."""

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
from .decide.manifest import granted, within
from .gate import PluginGate
from .instance import Instance
from .package import Package, read_package
from .settings import PluginError, PluginsSettings, Use

SETTINGS = i.Settings(
    (
        i.RequestClass("sample-read", 1000, 4000, 2, effect=i.Effect.SAFE),
        i.RequestClass("sample-write", 750, 3000, 3, effect=i.Effect.KEYED),
    ),
    tuple(i.Tenant(f"coop-{n}", 100.0) for n in ("sahel", "cap-bon", "kef", "jerba", "tozeur")),
    max_retry_after=500.0,
    sends_retry_after=True,
)


class Quiet(Log):
    def write_line(self, now: float, kind: str, text: str, fields: dict[str, object] | None = None) -> None:
        pass


class Taker(ModuleActor):
    """A core that only notes what reaches it, and answers at once."""

    def __init__(self, limits: Limits, log: Log) -> None:
        super().__init__(SETTINGS, 1, limits, log)

    def pass_gate(self, call: Call, front: Front) -> bool:
        front.served(call, b"")
        if self.gate is not None:
            self.gate.call_ended(call, "served")
        return True

    def blocking_send(self, message: Any) -> bool:
        return True


class Caller:
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


def synthetic(rng: random.Random, now: float) -> Call:
    """A call as the fronts make them."""
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
    return PluginsSettings([Use(path)])


def loaded(path: str) -> tuple[Package, Instance]:
    """Reads and loads a plug-in. Raises PluginError."""
    told = settings_for(path)
    package = read_package(path, told.budgets)
    m = package.manifest
    instance = Instance(
        package,
        1,
        granted(m.capabilities, []),
        within(m.budgets, told.budgets),
        told.breaker(),
        Quiet(),
        lambda heard: None,
    )
    instance.begin(now_ms())
    return package, instance


def play(path: str, calls: int, seed: int, at_a_time: int = 1) -> dict[str, Any]:
    """The figures of `plugin run`. A plug-in that can't be loaded answers no call: its default holds for all.
    Raises PluginError for what is no plug-in."""
    limits, log, rng = Limits(), Quiet(), random.Random(seed)
    core = Taker(limits, log)
    gate = PluginGate(settings_for(path), SETTINGS, core, limits, log)
    core.set_gate(gate)
    took = HdrHistogram(1, 60_000_000, 2)
    answered, slowest = 0, 0.0
    fault: str | None = None
    try:
        gate.load_all()
    except PluginError as error:
        fault = str(error)
    if fault is not None:
        kind = fault.split(": ")[-2] if fault.count(": ") > 1 else "raised"
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
            "not_loaded": fault,
        }
    gate.start()
    hosts = {n: HostName(f"mh{n}.zone-a", f"zone-{'ab'[n % 2]}", "kind-b", "active") for n in range(8)}
    gate.workers_changed(WorkersChanged(i.WorkersListed(i.ListScope.WHOLE), {}, hosts))

    def one() -> None:
        nonlocal answered, slowest
        now = now_ms()
        caller = Caller()
        core.offer(synthetic(rng, now), caller)
        caller.done.wait(10)
        gevent.sleep(0)
        spent = now_ms() - now
        answered += caller.answers == 1
        slowest = max(slowest, spent)
        took.record_value(max(1, int(1000 * spent)))

    pool = Pool(at_a_time)
    began = now_ms()
    for _ in range(calls):
        pool.spawn(one)
    pool.join()
    lasted = now_ms() - began
    status = gate.ask_status(10_000)
    version = next(iter(status["plugins"][0]["versions"].values()))
    return {
        "calls": calls,
        "answered": answered,
        "by_default": sum(status["by_default"].values()),
        "faults": version["faults"],
        "declined": status["by_default"],
        "p50_us": took.get_value_at_percentile(50),
        "p99_us": took.get_value_at_percentile(99),
        "max_ms": round(slowest, 3),
        "peak_mb": version["peak_mb"],
        "state": version["state"],
        "refused": status["calls"].get("refused", 0),
        "calls_per_s": round(1000 * calls / max(1.0, lasted)),
    }
