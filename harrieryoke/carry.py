"""What the decision module has learned, as plain values for the process that replaces this one, and back.

No I/O, no clock. Times are Unix milliseconds, which both processes share; workers go by the module's
numbers, which are the same at every start, classes by their names. What is out (attempts, orders, waiting
requests) stays with the old process, which ends it.
"""

from __future__ import annotations

import zlib
from typing import Annotated

import msgspec

from .brain import FORGET, Router
from .state import Bucket, Copy, Function, Load, Worker, digest

VERSION = 1
Count = Annotated[int, msgspec.Meta(ge=1, le=1 << 20)]


class CarryError(ValueError):
    """What was handed on can't be used; the text says why. The process starts without it."""


class CarriedWorker(msgspec.Struct, array_like=True):
    """One model host as it was believed to be."""

    worker: int
    started: float
    strain: float
    limit: float
    slow: float
    out: bool
    dead: bool
    backoff: float
    held: float
    told: float
    heard: float
    cut: float
    budget: float
    budget_at: float
    doubts: dict[str, tuple[float, float]]
    served: dict[str, float]


class CarriedCopy(msgspec.Struct, array_like=True):
    worker: int
    count: Count
    seen: float
    others: float


class CarriedFunction(msgspec.Struct, array_like=True):
    """One function; `age` is how long ago it was used, in milliseconds of demand."""

    name: str
    kind: str
    load_time: float
    usual: float
    memory: float
    lanes: Count
    age: float
    width: float
    alone: bool
    copies: list[CarriedCopy]
    missed: list[tuple[int, float]]


class Carried(msgspec.Struct):
    """All that is handed on."""

    workers: list[CarriedWorker]
    functions: list[CarriedFunction]
    ordered: list[float]
    arrivals: list[float]
    calls: float
    last_arrival: float
    strain: float
    held: float
    stretch: float
    order_cap: float


def pack(router: Router) -> bytes:
    """What the router has learned, in bytes: version, checksum, values. Of two definitions of a class the
    newest counts."""
    names = [c.name for c in router.s.classes]
    workers = [
        CarriedWorker(
            wid,
            w.started,
            w.load.strain,
            w.load.limit,
            w.slow,
            w.out,
            w.dead,
            w.backoff,
            w.held,
            w.told,
            w.heard,
            w.cut,
            w.budget.left,
            w.budget.at,
            {names[n]: told for n, told in sorted(w.doubts.items())},
            {names[n]: at for n, at in sorted(w.served.items())},
        )
        for wid, w in router.workers.items()
    ]
    functions = [
        CarriedFunction(
            f.name,
            names[f.class_index],
            f.load_time,
            f.usual,
            f.memory,
            f.lanes,
            router.now - router.stalled - f.used,
            f.width,
            f.alone,
            [CarriedCopy(wid, c.count, c.seen, c.others) for wid, c in f.copies.items()],
            list(f.missed.items()),
        )
        for f in router.functions.values()
    ]
    body = msgspec.json.encode(
        Carried(
            workers,
            functions,
            list(router.ordered),
            list(router.arrivals),
            router.calls,
            router.last_arrival,
            router.strain,
            router.held,
            router.stretch,
            router.order_cap,
        )
    )
    return b"%d %d\n" % (VERSION, zlib.crc32(body)) + body


def unpack(data: bytes) -> Carried:
    """Raises CarryError for another version, what is torn, and what is not of the right form."""
    head, _, body = data.partition(b"\n")
    try:
        version, check = map(int, head.split())
    except ValueError:
        raise CarryError("its head can't be read") from None
    if version != VERSION:
        raise CarryError(f"it is of version {version}, and {VERSION} is read here")
    if zlib.crc32(body) != check:
        raise CarryError("its checksum is wrong")
    try:
        return msgspec.json.decode(body, type=Carried)
    except msgspec.MsgspecError as error:
        raise CarryError(str(error)) from None


def restore(router: Router, told: Carried) -> None:
    """Gives a router that knows its list, and has had no request yet, what another has learned. Hosts that
    are not in its list are left out; one that started since is as cold as its list says."""
    kinds = router.s.live()
    fresh = {
        w.worker
        for w in told.workers
        if w.worker in router.workers and w.started >= router.workers[w.worker].started
    }
    router.ordered.extend(sorted(told.ordered))
    router.arrivals.extend(sorted(told.arrivals))
    router.calls, router.last_arrival = told.calls, told.last_arrival
    router.strain, router.held = told.strain, told.held
    router.stretch, router.order_cap = told.stretch, told.order_cap
    for each in told.functions:
        if each.kind in kinds and each.name not in router.functions:
            restore_function(router, each, kinds[each.kind], fresh)
    for w in told.workers:
        if w.worker in fresh:
            restore_worker(router, router.workers[w.worker], w, kinds)


def restore_function(router: Router, told: CarriedFunction, kind: int, fresh: set[int]) -> None:
    f = Function(told.name, digest(told.name), kind, told.load_time, told.usual, told.memory, told.lanes)
    f.used = router.now - router.stalled - max(0.0, told.age)
    f.width, f.alone = told.width, told.alone
    router.functions[f.name] = f
    router.later(FORGET * router.s.keep_alive, router.fade, f.name)
    for copy in told.copies:
        if copy.worker in fresh:
            router.believe(f, copy.worker)
            f.copies[copy.worker] = Copy(copy.count, min(copy.seen, router.now), copy.others)
    f.missed = {wid: until for wid, until in told.missed if wid in fresh}


def restore_worker(router: Router, w: Worker, told: CarriedWorker, kinds: dict[str, int]) -> None:
    w.load, w.slow = Load(told.strain, told.limit), told.slow
    w.held, w.told, w.heard, w.cut = told.held, told.told, told.heard, told.cut
    w.doubts = {kinds[name]: doubt for name, doubt in told.doubts.items() if name in kinds}
    w.served = {kinds[name]: at for name, at in told.served.items() if name in kinds}
    if told.out and router.functions:
        router.take_out(w, dead=False)
        w.dead, w.backoff = told.dead, told.backoff
    if told.started > w.started:
        w.started = told.started
        router.warm_at = max(router.warm_at, w.started + router.s.cold_period)
    w.budget = Bucket(told.budget, told.budget_at)
