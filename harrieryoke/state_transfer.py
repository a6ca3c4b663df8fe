"""State transfer: what the router has learned, serialised for the process that replaces this one.

No I/O and no clock. Times are milliseconds of the sender's monotonic clock, which all processes of a machine
share; `at` is the moment of packing on it. A receiver that has another clock, as after version 1, whose
times are of the wall clock, moves them all to its own. Workers are named by the router's numbers, which are
the same at every start, and classes by name. Work in progress (attempts, orders, waiting requests) is not
transferred: the old process completes it.
"""

from __future__ import annotations

import zlib
from typing import Annotated

import msgspec

from .brain import FORGET, Router
from .state import Bucket, Copy, Function, Load, Worker, digest

VERSION = 2
WALL_CLOCK_VERSION = 1  # its times are Unix milliseconds, and it does not say when it was packed
SAME_CLOCK_MS = 10_000.0  # a transfer takes less; a larger difference is one of clocks
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
    start_stamp: float | None = None  # the list's mark of its last start; version 1 has none


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
    at: float = 0.0


def pack(router: Router, now: float) -> bytes:
    """Serialise what the router has learned: version, checksum, values. The newest definition of a class
    counts. `now` is on the router's clock."""
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
        now,
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
        w.entry.start_stamp,
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


def unpack(data: bytes, now: float, wall: float) -> RouterState:
    """Parse the output of `pack`, of this version or the one before, with its times on the receiver's clock:
    `now` and `wall` are its monotonic and its wall clock. Raises StateTransferError for another version or
    damaged data."""
    head, _, body = data.partition(b"\n")
    try:
        version, checksum = map(int, head.split())
    except ValueError:
        raise StateTransferError("its head can't be read") from None
    if version not in (WALL_CLOCK_VERSION, VERSION):
        raise StateTransferError(f"it is of version {version}, and up to {VERSION} is read here")
    if zlib.crc32(body) != checksum:
        raise StateTransferError("its checksum is wrong")
    try:
        state: RouterState = msgspec.json.decode(body, type=RouterState)
    except msgspec.MsgspecError as error:
        raise StateTransferError(str(error)) from None
    ahead = (wall if version == WALL_CLOCK_VERSION else state.at) - now
    if version == VERSION and -SAME_CLOCK_MS <= ahead <= 0:
        return state
    return move_times(state, -ahead)


def move_times(state: RouterState, by: float) -> RouterState:
    """Return the state with each time later by so many milliseconds. One that says never stays so."""
    return msgspec.structs.replace(
        state,
        workers=[move_worker(w, by) for w in state.workers],
        functions=[
            msgspec.structs.replace(
                f,
                copies=[msgspec.structs.replace(c, seen=c.seen + by) for c in f.copies],
                missed=[(worker, until + by) for worker, until in f.missed],
            )
            for f in state.functions
        ],
        ordered=[at + by for at in state.ordered],
        arrivals=[at + by for at in state.arrivals],
        last_arrival=state.last_arrival + by,
        at=state.at + by,
    )


def move_worker(w: WorkerState, by: float) -> WorkerState:
    """Return the worker with each time later by so many milliseconds."""
    return msgspec.structs.replace(
        w,
        started=w.started + by,
        told=w.told + by,
        heard=w.heard + by,
        cut=w.cut + by,
        budget_at=w.budget_at + by,
        doubts={name: (until + by, pause) for name, (until, pause) in w.doubts.items()},
        served={name: at + by for name, at in w.served.items()},
    )


def is_same_start(state: WorkerState, worker: Worker) -> bool:
    """Whether the worker has not started anew since, by the list's mark where both have one."""
    if state.start_stamp is not None and worker.entry.start_stamp is not None:
        return state.start_stamp == worker.entry.start_stamp
    return state.started >= worker.started


def restore(router: Router, state: RouterState) -> None:
    """Give a router that knows its worker list, and has had no request yet, what another has learned.

    Workers that are not in its list are skipped; one that started since stays as cold as its list says.
    """
    kinds = router.s.active_classes()
    fresh = {
        w.worker
        for w in state.workers
        if w.worker in router.workers and is_same_start(w, router.workers[w.worker])
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
    w.started = state.started
    router.warm_at = max(router.warm_at, w.started + router.s.cold_period)
    w.budget = Bucket(state.budget, state.budget_at)
