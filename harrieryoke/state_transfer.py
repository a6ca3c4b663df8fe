"""State transfer: serialises what the router has learned for the process that replaces this one.

No I/O and no clock. Times are milliseconds of the sender's monotonic clock, which all processes of a machine
share; `packed_at` is the time of packing on that clock. A receiver with another clock shifts all times to
its own, also those of version 1, which are of the wall clock. Workers are named by the router's numbers,
which are the same at every start, and classes by name. Work in progress (attempts, orders, waiting requests)
is not transferred: the old process completes it.
"""

from __future__ import annotations

import zlib
from typing import Annotated

import msgspec

from .router import Router
from .state import Copy, Function, TokenBucket, Worker, WorkerLoad, digest

VERSION = 2
WALL_CLOCK_VERSION = 1  # has Unix times in milliseconds and no `packed_at`
SAME_CLOCK_MS = 10_000.0  # longer than a transfer takes; a larger difference means another clock
Count = Annotated[int, msgspec.Meta(ge=1, le=1 << 20)]


class StateTransferError(ValueError):
    """The transferred state cannot be used; the process starts without it."""


class WorkerState(msgspec.Struct, array_like=True):
    """State of one worker."""

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
    start_stamp: float | None = None  # not in version 1


class CopyState(msgspec.Struct, array_like=True):
    """Copies of one function at one worker."""

    worker: int
    count: Count
    last_seen: float
    others_in_flight: float


class FunctionState(msgspec.Struct, array_like=True):
    """State of one function; `age` is the time since its last use, without idle time."""

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
    """The transferred state."""

    workers: list[WorkerState]
    functions: list[FunctionState]
    order_times: list[float] = msgspec.field(name="ordered")
    arrival_times: list[float] = msgspec.field(name="arrivals")
    recent_calls: float = msgspec.field(name="calls")
    last_arrival: float
    latency_ratio: float = msgspec.field(name="strain")
    mean_in_progress: float = msgspec.field(name="held")
    load_time_factor: float = msgspec.field(name="stretch")
    order_cap: float
    packed_at: float = msgspec.field(default=0.0, name="at")


def pack(router: Router, now: float) -> bytes:
    """Serialise the state of the router, with version and checksum.

    `now` is a time of the router's clock.
    """
    names = [request_class.name for request_class in router.settings.classes]
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
    """Return the state of one worker; `names` are the classes by index."""
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
        {names[index]: suspicion for index, suspicion in sorted(worker.suspected_classes.items())},
        {names[index]: served_at for index, served_at in sorted(worker.last_served.items())},
        worker.entry.start_stamp,
    )


def function_state(router: Router, function: Function, names: list[str]) -> FunctionState:
    """Return the state of one function; `names` are the classes by index."""
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
    """Parse the output of `pack` of this or the previous version and shift its times to the receiver's clock.

    `now` and `wall` are the receiver's monotonic and wall clock. Raises StateTransferError for another
    version or damaged data.
    """
    head, _, body = data.partition(b"\n")
    try:
        version, checksum = map(int, head.split())
    except ValueError:
        raise StateTransferError("malformed header") from None
    if version not in (WALL_CLOCK_VERSION, VERSION):
        raise StateTransferError(f"unsupported version {version}; the newest supported version is {VERSION}")
    if zlib.crc32(body) != checksum:
        raise StateTransferError("checksum mismatch")
    try:
        state: RouterState = msgspec.json.decode(body, type=RouterState)
    except msgspec.MsgspecError as error:
        raise StateTransferError(str(error)) from None
    clock_offset = (wall if version == WALL_CLOCK_VERSION else state.packed_at) - now
    if version == VERSION and -SAME_CLOCK_MS <= clock_offset <= 0:
        return state
    return shift_times(state, -clock_offset)


def shift_times(state: RouterState, offset: float) -> RouterState:
    """Return the state with each time shifted by `offset`; `NEVER` stays before all other times."""
    return msgspec.structs.replace(
        state,
        workers=[shift_worker_times(worker, offset) for worker in state.workers],
        functions=[
            msgspec.structs.replace(
                function,
                copies=[
                    msgspec.structs.replace(copy, last_seen=copy.last_seen + offset)
                    for copy in function.copies
                ],
                missed_until=[(worker_id, until + offset) for worker_id, until in function.missed_until],
            )
            for function in state.functions
        ],
        order_times=[time + offset for time in state.order_times],
        arrival_times=[time + offset for time in state.arrival_times],
        last_arrival=state.last_arrival + offset,
        packed_at=state.packed_at + offset,
    )


def shift_worker_times(worker: WorkerState, offset: float) -> WorkerState:
    """Return the state of a worker with each time shifted by `offset`."""
    return msgspec.structs.replace(
        worker,
        started=worker.started + offset,
        reported_at=worker.reported_at + offset,
        last_heard=worker.last_heard + offset,
        last_disconnect=worker.last_disconnect + offset,
        cold_budget_updated_at=worker.cold_budget_updated_at + offset,
        suspected_classes={
            name: (until + offset, duration) for name, (until, duration) in worker.suspected_classes.items()
        },
        last_served={name: served_at + offset for name, served_at in worker.last_served.items()},
    )


def is_same_start(state: WorkerState, worker: Worker) -> bool:
    """Whether the worker has not restarted since, by the start stamps of the list where both are known."""
    if state.start_stamp is not None and worker.entry.start_stamp is not None:
        return state.start_stamp == worker.entry.start_stamp
    return state.started >= worker.started


def restore(router: Router, state: RouterState) -> None:
    """Restore transferred state into a router that has its worker list but no requests yet.

    Workers that are not in the list are skipped; one that restarted since keeps the state of a new start.
    """
    class_indexes = router.settings.active_classes()
    unchanged = {
        each.worker
        for each in state.workers
        if each.worker in router.workers and is_same_start(each, router.workers[each.worker])
    }
    router.order_times.extend(sorted(state.order_times))
    router.arrival_times.extend(sorted(state.arrival_times))
    router.recent_calls, router.last_arrival = state.recent_calls, state.last_arrival
    router.latency_ratio, router.mean_in_progress = state.latency_ratio, state.mean_in_progress
    router.load_time_factor, router.order_cap = state.load_time_factor, state.order_cap
    for function in state.functions:
        if function.class_name in class_indexes and function.name not in router.functions:
            restore_function(router, function, class_indexes[function.class_name], unchanged)
    for each in state.workers:
        if each.worker in unchanged:
            restore_worker(router, router.workers[each.worker], each, class_indexes)


def restore_function(router: Router, state: FunctionState, class_index: int, unchanged: set[int]) -> None:
    """Add one function with its copies at the workers in `unchanged`, which have not restarted."""
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
    function.has_history = True
    router.add_function(function)
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
    """Restore the state of one worker; `class_indexes` are by class name."""
    worker.load = WorkerLoad(state.latency_ratio, state.attempt_limit)
    worker.slowness_factor = state.slowness_factor
    worker.in_progress, worker.reported_at = state.in_progress, state.reported_at
    worker.last_heard, worker.last_disconnect = state.last_heard, state.last_disconnect
    worker.suspected_classes = {
        class_indexes[name]: suspicion
        for name, suspicion in state.suspected_classes.items()
        if name in class_indexes
    }
    worker.last_served = {
        class_indexes[name]: served_at
        for name, served_at in state.last_served.items()
        if name in class_indexes
    }
    if state.ejected and router.functions:
        router.eject(worker, unreachable=False)
        worker.unreachable = worker.may_have_restarted = state.unreachable
        worker.backoff = state.backoff
    worker.started = state.started
    router.all_warm_at = max(router.all_warm_at, worker.started + router.settings.cold_period)
    worker.cold_budget = TokenBucket(state.cold_budget, state.cold_budget_updated_at)
