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
    names = [copy.name for copy in router.settings.classes]
    state = RouterState(
        [worker_state(number, worker, names) for number, worker in router.workers.items()],
        [function_state(router, function, names) for function in router.functions.values()],
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


def worker_state(number: int, worker: Worker, names: list[str]) -> WorkerState:
    """Return what the router knows of one worker; `names` are the classes by index."""
    return WorkerState(
        number,
        worker.started,
        worker.load.latency_ratio,
        worker.load.attempt_limit,
        worker.slowness_factor,
        worker.ejected,
        worker.unreachable,
        worker.backoff,
        worker.in_progress,
        worker.reported_at,
        worker.last_heard,
        worker.last_disconnect,
        worker.cold_budget.tokens,
        worker.cold_budget.updated_at,
        {names[index]: doubt for index, doubt in sorted(worker.suspected_classes.items())},
        {names[index]: served_at for index, served_at in sorted(worker.last_served.items())},
        worker.entry.start_stamp,
    )


def function_state(router: Router, function: Function, names: list[str]) -> FunctionState:
    """Return what the router knows of one function; `names` are the classes by index."""
    return FunctionState(
        function.name,
        names[function.class_index],
        function.load_time,
        function.mean_duration,
        function.memory,
        function.slots,
        router.now - router.total_idle_time - function.last_used,
        function.copy_width,
        function.sole_user,
        [
            CopyState(number, copy.count, copy.last_seen, copy.others_in_flight)
            for number, copy in function.copies.items()
        ],
        list(function.missed_until.items()),
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
    clock_offset = (wall if version == WALL_CLOCK_VERSION else state.at) - now
    if version == VERSION and -SAME_CLOCK_MS <= clock_offset <= 0:
        return state
    return shift_times(state, -clock_offset)


def shift_times(state: RouterState, offset: float) -> RouterState:
    """Return the state with each time later by so many milliseconds. One that says never stays so."""
    return msgspec.structs.replace(
        state,
        workers=[shift_worker_times(w, offset) for w in state.workers],
        functions=[
            msgspec.structs.replace(
                function,
                copies=[
                    msgspec.structs.replace(copy, last_seen=copy.last_seen + offset)
                    for copy in function.copies
                ],
                missed_until=[(worker, until + offset) for worker, until in function.missed_until],
            )
            for function in state.functions
        ],
        ordered=[served_at + offset for served_at in state.ordered],
        arrivals=[served_at + offset for served_at in state.arrivals],
        last_arrival=state.last_arrival + offset,
        at=state.at + offset,
    )


def shift_worker_times(worker: WorkerState, offset: float) -> WorkerState:
    """Return the worker with each time later by so many milliseconds."""
    return msgspec.structs.replace(
        worker,
        started=worker.started + offset,
        reported_at=worker.reported_at + offset,
        last_heard=worker.last_heard + offset,
        last_disconnect=worker.last_disconnect + offset,
        cold_budget_updated_at=worker.cold_budget_updated_at + offset,
        suspected_classes={
            name: (until + offset, pause) for name, (until, pause) in worker.suspected_classes.items()
        },
        last_served={name: served_at + offset for name, served_at in worker.last_served.items()},
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
    class_indexes = router.settings.active_classes()
    unchanged = {
        worker.worker
        for worker in state.workers
        if worker.worker in router.workers and is_same_start(worker, router.workers[worker.worker])
    }
    router.order_times.extend(sorted(state.ordered))
    router.arrival_times.extend(sorted(state.arrivals))
    router.recent_calls, router.last_arrival = state.calls, state.last_arrival
    router.latency_ratio, router.mean_in_progress = state.strain, state.held
    router.load_time_factor, router.order_cap = state.stretch, state.order_cap
    for function_state in state.functions:
        if function_state.class_name in class_indexes and function_state.name not in router.functions:
            restore_function(router, function_state, class_indexes[function_state.class_name], unchanged)
    for worker in state.workers:
        if worker.worker in unchanged:
            restore_worker(router, router.workers[worker.worker], worker, class_indexes)


def restore_function(router: Router, state: FunctionState, class_index: int, unchanged: set[int]) -> None:
    """Add one function of class index `kind`, with its copies at the workers in `fresh`."""
    function = Function(
        state.name,
        digest(state.name),
        class_index,
        state.load_time,
        state.mean_duration,
        state.memory,
        state.slots,
    )
    function.last_used = router.now - router.total_idle_time - max(0.0, state.age)
    function.copy_width, function.sole_user = state.copy_width, state.sole_user
    router.functions[function.name] = function
    router.schedule(FORGET_KEEP_ALIVES * router.settings.keep_alive, router.forget_unused, function.name)
    for copy in state.copies:
        if copy.worker in unchanged:
            router.record_copy(function, copy.worker)
            function.copies[copy.worker] = Copy(
                copy.count, min(copy.last_seen, router.now), copy.others_in_flight
            )
    function.missed_until = {
        worker_id: until for worker_id, until in state.missed_until if worker_id in unchanged
    }


def restore_worker(router: Router, worker: Worker, state: WorkerState, class_indexes: dict[str, int]) -> None:
    """Set what is known of one worker; `kinds` are the class indices by name."""
    worker.load, worker.slowness_factor = (
        WorkerLoad(state.latency_ratio, state.attempt_limit),
        state.slowness_factor,
    )
    worker.in_progress, worker.reported_at, worker.last_heard, worker.last_disconnect = (
        state.in_progress,
        state.reported_at,
        state.last_heard,
        state.last_disconnect,
    )
    worker.suspected_classes = {
        class_indexes[name]: doubt for name, doubt in state.suspected_classes.items() if name in class_indexes
    }
    worker.last_served = {
        class_indexes[name]: served_at
        for name, served_at in state.last_served.items()
        if name in class_indexes
    }
    if state.ejected and router.functions:
        router.eject(worker, unreachable=False)
        worker.unreachable, worker.may_have_restarted, worker.backoff = (
            state.unreachable,
            state.unreachable,
            state.backoff,
        )
    worker.started = state.started
    router.all_warm_at = max(router.all_warm_at, worker.started + router.settings.cold_period)
    worker.cold_budget = TokenBucket(state.cold_budget, state.cold_budget_updated_at)
