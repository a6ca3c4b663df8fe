"""State transfer: what the router has learned, serialised for the process that replaces this one.

No I/O and no clock. Times are Unix milliseconds, which both processes share. Workers are named by the
router's numbers, which are the same at every start, and classes by name. Work in progress (attempts, orders,
waiting requests) is not transferred: the old process completes it.
"""

from __future__ import annotations

import zlib
from typing import Annotated

import msgspec

from .brain import FORGET, Router
from .state import Bucket, Copy, Function, Load, Worker, digest

VERSION = 1
Count = Annotated[int, msgspec.Meta(ge=1, le=1 << 20)]


class StateTransferError(ValueError):
    """The transferred state can't be used; the text says why. The process starts without it."""


class WorkerState(msgspec.Struct, array_like=True):
    """What was known of one model host."""

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


class CopyState(msgspec.Struct, array_like=True):
    """The copies of one function at one worker."""

    worker: int
    count: Count
    seen: float
    others: float


class FunctionState(msgspec.Struct, array_like=True):
    """One function; `age` is the time since its last use, in milliseconds of demand."""

    name: str
    kind: str
    load_time: float
    usual: float
    memory: float
    lanes: Count
    age: float
    width: float
    alone: bool
    copies: list[CopyState]
    missed: list[tuple[int, float]]


class RouterState(msgspec.Struct):
    """The whole of what is transferred."""

    workers: list[WorkerState]
    functions: list[FunctionState]
    ordered: list[float]
    arrivals: list[float]
    calls: float
    last_arrival: float
    strain: float
    held: float
    stretch: float
    order_cap: float


def pack(router: Router) -> bytes:
    """Serialise what the router has learned: version, checksum, values. The newest definition of a class
    counts."""
    names = [c.name for c in router.s.classes]
    state = RouterState(
        [worker_state(number, w, names) for number, w in router.workers.items()],
        [function_state(router, f, names) for f in router.functions.values()],
        list(router.ordered),
        list(router.arrivals),
        router.calls,
        router.last_arrival,
        router.strain,
        router.held,
        router.stretch,
        router.order_cap,
    )
    body = msgspec.json.encode(state)
    return b"%d %d\n" % (VERSION, zlib.crc32(body)) + body


def worker_state(number: int, w: Worker, names: list[str]) -> WorkerState:
    """Return what the router knows of one worker; `names` are the classes by index."""
    return WorkerState(
        number,
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
        {names[n]: doubt for n, doubt in sorted(w.doubts.items())},
        {names[n]: at for n, at in sorted(w.served.items())},
    )


def function_state(router: Router, f: Function, names: list[str]) -> FunctionState:
    """Return what the router knows of one function; `names` are the classes by index."""
    return FunctionState(
        f.name,
        names[f.class_index],
        f.load_time,
        f.usual,
        f.memory,
        f.lanes,
        router.now - router.stalled - f.used,
        f.width,
        f.alone,
        [CopyState(number, c.count, c.seen, c.others) for number, c in f.copies.items()],
        list(f.missed.items()),
    )


def unpack(data: bytes) -> RouterState:
    """Parse the output of `pack`. Raises StateTransferError for another version or damaged data."""
    head, _, body = data.partition(b"\n")
    try:
        version, checksum = map(int, head.split())
    except ValueError:
        raise StateTransferError("its head can't be read") from None
    if version != VERSION:
        raise StateTransferError(f"it is of version {version}, and {VERSION} is read here")
    if zlib.crc32(body) != checksum:
        raise StateTransferError("its checksum is wrong")
    try:
        return msgspec.json.decode(body, type=RouterState)
    except msgspec.MsgspecError as error:
        raise StateTransferError(str(error)) from None


def restore(router: Router, state: RouterState) -> None:
    """Give a router that knows its worker list, and has had no request yet, what another has learned.

    Workers that are not in its list are skipped; one that started since stays as cold as its list says.
    """
    kinds = router.s.live()
    fresh = {
        w.worker
        for w in state.workers
        if w.worker in router.workers and w.started >= router.workers[w.worker].started
    }
    router.ordered.extend(sorted(state.ordered))
    router.arrivals.extend(sorted(state.arrivals))
    router.calls, router.last_arrival = state.calls, state.last_arrival
    router.strain, router.held = state.strain, state.held
    router.stretch, router.order_cap = state.stretch, state.order_cap
    for each in state.functions:
        if each.kind in kinds and each.name not in router.functions:
            restore_function(router, each, kinds[each.kind], fresh)
    for w in state.workers:
        if w.worker in fresh:
            restore_worker(router, router.workers[w.worker], w, kinds)


def restore_function(router: Router, state: FunctionState, kind: int, fresh: set[int]) -> None:
    """Add one function of class index `kind`, with its copies at the workers in `fresh`."""
    f = Function(
        state.name, digest(state.name), kind, state.load_time, state.usual, state.memory, state.lanes
    )
    f.used = router.now - router.stalled - max(0.0, state.age)
    f.width, f.alone = state.width, state.alone
    router.functions[f.name] = f
    router.later(FORGET * router.s.keep_alive, router.fade, f.name)
    for copy in state.copies:
        if copy.worker in fresh:
            router.believe(f, copy.worker)
            f.copies[copy.worker] = Copy(copy.count, min(copy.seen, router.now), copy.others)
    f.missed = {wid: until for wid, until in state.missed if wid in fresh}


def restore_worker(router: Router, w: Worker, state: WorkerState, kinds: dict[str, int]) -> None:
    """Set what is known of one worker; `kinds` are the class indices by name."""
    w.load, w.slow = Load(state.strain, state.limit), state.slow
    w.held, w.told, w.heard, w.cut = state.held, state.told, state.heard, state.cut
    w.doubts = {kinds[name]: doubt for name, doubt in state.doubts.items() if name in kinds}
    w.served = {kinds[name]: at for name, at in state.served.items() if name in kinds}
    if state.out and router.functions:
        router.take_out(w, dead=False)
        w.dead, w.lost, w.backoff = state.dead, state.dead, state.backoff
    if state.started > w.started:
        w.started = state.started
        router.warm_at = max(router.warm_at, w.started + router.s.cold_period)
    w.budget = Bucket(state.budget, state.budget_at)
