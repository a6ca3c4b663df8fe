"""The records and messages of the core, and the protocols of what is attached to it."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any, Protocol

from ..interface import CopyLookup, ListConfirmed, LoadReport, Outcome, Settings, WorkersListed
from ..memory_budget import Reservation
from ..router import Router


@dataclass(slots=True, eq=False)
class Call:
    """One request as a front accepted it.

    `request_id` has 16 hex digits; at `deadline` the client stops waiting.
    """

    request_id: str
    class_index: int
    function: str
    deadline: float
    body: bytes = b""
    key: str | None = None
    tenant: int | None = None
    memory: float = 0.0
    slots: int = 1
    load_time: float | None = None
    received_at: float = 0.0
    topic: str = ""  # of an MQTT message; only then may a plug-in choose the function
    cost_factors: Mapping[int, float] | None = None  # by worker; advice, as in RequestArrived
    latency_target: float | None = None
    label: str | None = None  # for accounting
    watched_by_gate: bool = False  # report its end to the plug-in gate
    watched_by_door: bool = False  # report its end to the door
    waited_for_load: bool = False  # its duration says nothing about the capacity of the hosts
    client: str = ""  # identity of the client at its front
    source: str = ""  # the connection that it came on
    abandoned: bool = False  # the client has gone; set by the front, read by the senders
    started: bool = False  # the first byte of an attempt was written; set by the senders
    class_name: str = ""
    prop_count: int = 0  # in the request, known or not
    open_before: int = 0  # calls of its connection that were open when it came
    reservation: Reservation | None = None  # its memory
    answer_reservation: Reservation | None = None  # the memory of the answer on its way to the client
    origin: CallOrigin | None = None  # tells of a client that may leave; None if it waits in any case


class CallOrigin(Protocol):
    """The connection that a call came by."""

    def open_calls(self) -> int:
        """Return how many calls of the connection have no answer yet."""
        ...

    def has_withdrawn(self, call: Call) -> bool:
        """Return whether the client has left or given the call up, also where that is not handled yet."""
        ...


class Front(Protocol):
    """Accepts requests from clients and returns the one final answer of each."""

    def served(self, call: Call, body: bytes) -> None: ...

    def refused(self, call: Call, retry_after: float | None) -> None: ...

    def failed(self, call: Call, reason: str) -> None: ...


class CallObserver(Protocol):
    """Is notified of the end of each call exactly once; must not block."""

    def call_ended(self, call: Call, result: str) -> None: ...


class Recorder(CallObserver, Protocol):
    """Records each final answer. It may delay an answer until the record is stored, by wrapping the front."""

    def front_for(self, front: Front) -> Front: ...


class Door(CallObserver, Protocol):
    """Admission stage between the fronts and the module.

    It passes each call on once, unless it has answered the call or the client has left.
    """

    def offer(self, call: Call, front: Front) -> bool: ...

    def withdraw(self, call: Call) -> bool: ...


class Gate(Door, Protocol):
    """Door that is also notified of changes of the worker list, without blocking."""

    def workers_changed(self, change: WorkersChanged) -> None: ...


@dataclass(slots=True, eq=False)
class Task:
    """Work sent to a model host. Only the table clears `is_open`; only the host sets `write_started`."""

    worker: int
    stop_at: float
    sent: float
    is_open: bool = True
    write_started: bool = False
    start_by: float = float("inf")  # later, the host may have forgotten the key or been drained


@dataclass(slots=True, eq=False)
class AttemptTask(Task):
    call: Call = field(kw_only=True)
    request: int = 0
    number: int = 0


@dataclass(slots=True, eq=False)
class OrderTask(Task):
    function: str = ""
    copies: int = 1


@dataclass(slots=True, eq=False)
class ProbeTask(Task):
    """A liveness and load question to a model host."""


@dataclass(slots=True)
class TaskEnded:
    """The result of a task, reported once by its model host."""

    task: Task
    outcome: Outcome
    body: bytes = b""
    copy_lookup: CopyLookup | None = None
    load_failed: bool = False
    concurrent_requests: int | None = None
    copies: int = 0
    report: LoadReport | None = None


class HostPort(Protocol):
    """Interface to the actor of one model host. `start_task` returns whether the task was accepted."""

    def start_task(self, task: Task) -> bool: ...

    def cancel_task(self, task: Task) -> None: ...

    def drop_copies(self, function: str) -> None: ...


@dataclass(slots=True)
class CallReceived:
    """A front accepted a call."""

    call: Call
    front: Front


@dataclass(slots=True)
class CallWithdrawn:
    """The client has left; nothing may be written for the call any more."""

    call: Call


@dataclass(slots=True)
class WorkersChanged:
    """The worker list has changed. `ports` has the interfaces of the workers in `event`."""

    event: WorkersListed
    ports: Mapping[int, HostPort]
    names: Mapping[int, HostName] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class WorkerListConfirmed:
    """Discovery has confirmed that the last reported worker list is current."""

    event: ListConfirmed


@dataclass(frozen=True, slots=True)
class HostName:
    """How operators identify a model host."""

    name: str
    zone: str
    kind: str
    state: str


@dataclass(slots=True)
class PrewarmRequested:
    """Advice that a function will be called soon."""

    function: str


@dataclass(slots=True)
class RouterCommand:
    """Runs a function on the router in the module's actor, between two rounds."""

    run: Callable[[Router], object]


@dataclass(slots=True)
class ActiveChanged:
    """Whether this process serves the clients. If so, it also manages the copies."""

    active: bool


@dataclass(slots=True)
class CountersRequested:
    """Requests a copy of an actor's counters."""

    reply: Callable[[dict[str, int]], object]


@dataclass(slots=True)
class CallEnded:
    """A call has got its final answer, or its client has left."""

    call: Call
    result: str


@dataclass(slots=True)
class StatusRequested:
    """Requests a copy of a part's status for an operator."""

    reply: Callable[[dict[str, Any]], object]


@dataclass(slots=True)
class SettingsChanged:
    """New settings apply to the actor from this message on. It precedes every call made under them."""

    settings: Settings


@dataclass(slots=True)
class Stopping:
    """The invoker stops; every accepted call is answered before `by`."""

    by: float
