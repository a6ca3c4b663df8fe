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

from .router import FORGET_KEEP_ALIVES, Router
from .state import Copy, Function, TokenBucket, Worker, WorkerLoad, digest

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
    latency_ratio: float
    attempt_limit: float
    slowness_factor: float
    ejected: bool
    unreachable: bool
    backoff: float
    in_progress: float
    reported_at: float
    last_heard: float
    last_disconnect: float
    cold_budget: float
    cold_budget_updated_at: float
    suspected_classes: dict[str, tuple[float, float]]
    last_served: dict[str, float]
    start_stamp: float | None = None  # the list's mark of its last start; version 1 has none


class CopyState(msgspec.Struct, array_like=True):
    """The copies of one function at one worker."""

    worker: int
    count: Count
    last_seen: float
    others_in_flight: float


class FunctionState(msgspec.Struct, array_like=True):
    """One function; `age` is the time since its last use, in milliseconds of demand."""

    name: str
    class_name: str
    load_time: float
    mean_duration: float
    memory: float
    slots: Count
    age: float
    copy_width: float
    sole_user: bool
    copies: list[CopyState]
    missed_until: list[tuple[int, float]]


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
    names = [c.name for c in router.settings.classes]
    state = RouterState(
        [worker_state(number, w, names) for number, w in router.workers.items()],
        [function_state(router, f, names) for f in router.functions.values()],
        list(router.order_times),
        list(router.arrival_times),
        router.recent_calls,
        router.last_arrival,
        router.latency_ratio,
        router.mean_in_progress,
        router.load_time_factor,
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
        w.load.latency_ratio,
        w.load.attempt_limit,
        w.slowness_factor,
        w.ejected,
        w.unreachable,
        w.backoff,
        w.in_progress,
        w.reported_at,
        w.last_heard,
        w.last_disconnect,
        w.cold_budget.tokens,
        w.cold_budget.updated_at,
        {names[n]: doubt for n, doubt in sorted(w.suspected_classes.items())},
        {names[n]: at for n, at in sorted(w.last_served.items())},
        w.entry.start_stamp,
    )


def function_state(router: Router, f: Function, names: list[str]) -> FunctionState:
    """Return what the router knows of one function; `names` are the classes by index."""
    return FunctionState(
        f.name,
        names[f.class_index],
        f.load_time,
        f.mean_duration,
        f.memory,
        f.slots,
        router.now - router.total_idle_time - f.last_used,
        f.copy_width,
        f.sole_user,
        [CopyState(number, c.count, c.last_seen, c.others_in_flight) for number, c in f.copies.items()],
        list(f.missed_until.items()),
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
    return shift_times(state, -ahead)


def shift_times(state: RouterState, by: float) -> RouterState:
    """Return the state with each time later by so many milliseconds. One that says never stays so."""
    return msgspec.structs.replace(
        state,
        workers=[shift_worker_times(w, by) for w in state.workers],
        functions=[
            msgspec.structs.replace(
                f,
                copies=[msgspec.structs.replace(c, last_seen=c.last_seen + by) for c in f.copies],
                missed_until=[(worker, until + by) for worker, until in f.missed_until],
            )
            for f in state.functions
        ],
        ordered=[at + by for at in state.ordered],
        arrivals=[at + by for at in state.arrivals],
        last_arrival=state.last_arrival + by,
        at=state.at + by,
    )


def shift_worker_times(w: WorkerState, by: float) -> WorkerState:
    """Return the worker with each time later by so many milliseconds."""
    return msgspec.structs.replace(
        w,
        started=w.started + by,
        reported_at=w.reported_at + by,
        last_heard=w.last_heard + by,
        last_disconnect=w.last_disconnect + by,
        cold_budget_updated_at=w.cold_budget_updated_at + by,
        suspected_classes={name: (until + by, pause) for name, (until, pause) in w.suspected_classes.items()},
        last_served={name: at + by for name, at in w.last_served.items()},
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
    kinds = router.settings.active_classes()
    fresh = {
        w.worker
        for w in state.workers
        if w.worker in router.workers and is_same_start(w, router.workers[w.worker])
    }
    router.order_times.extend(sorted(state.ordered))
    router.arrival_times.extend(sorted(state.arrivals))
    router.recent_calls, router.last_arrival = state.calls, state.last_arrival
    router.latency_ratio, router.mean_in_progress = state.strain, state.held
    router.load_time_factor, router.order_cap = state.stretch, state.order_cap
    for each in state.functions:
        if each.class_name in kinds and each.name not in router.functions:
            restore_function(router, each, kinds[each.class_name], fresh)
    for w in state.workers:
        if w.worker in fresh:
            restore_worker(router, router.workers[w.worker], w, kinds)


def restore_function(router: Router, state: FunctionState, kind: int, fresh: set[int]) -> None:
    """Add one function of class index `kind`, with its copies at the workers in `fresh`."""
    f = Function(
        state.name, digest(state.name), kind, state.load_time, state.mean_duration, state.memory, state.slots
    )
    f.last_used = router.now - router.total_idle_time - max(0.0, state.age)
    f.copy_width, f.sole_user = state.copy_width, state.sole_user
    router.functions[f.name] = f
    router.schedule(FORGET_KEEP_ALIVES * router.settings.keep_alive, router.forget_unused, f.name)
    for copy in state.copies:
        if copy.worker in fresh:
            router.record_copy(f, copy.worker)
            f.copies[copy.worker] = Copy(copy.count, min(copy.last_seen, router.now), copy.others_in_flight)
    f.missed_until = {wid: until for wid, until in state.missed_until if wid in fresh}


def restore_worker(router: Router, w: Worker, state: WorkerState, kinds: dict[str, int]) -> None:
    """Set what is known of one worker; `kinds` are the class indices by name."""
    w.load, w.slowness_factor = WorkerLoad(state.latency_ratio, state.attempt_limit), state.slowness_factor
    w.in_progress, w.reported_at, w.last_heard, w.last_disconnect = (
        state.in_progress,
        state.reported_at,
        state.last_heard,
        state.last_disconnect,
    )
    w.suspected_classes = {
        kinds[name]: doubt for name, doubt in state.suspected_classes.items() if name in kinds
    }
    w.last_served = {kinds[name]: at for name, at in state.last_served.items() if name in kinds}
    if state.ejected and router.functions:
        router.eject(w, dead=False)
        w.unreachable, w.may_have_restarted, w.backoff = state.unreachable, state.unreachable, state.backoff
    w.started = state.started
    router.all_warm_at = max(router.all_warm_at, w.started + router.settings.cold_period)
    w.cold_budget = TokenBucket(state.cold_budget, state.cold_budget_updated_at)
