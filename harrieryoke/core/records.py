"""What the core deals in, and the two interfaces through which the world reaches it."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any, Protocol

from ..interface import CopyLookup, ListConfirmed, LoadReport, Outcome, Settings, WorkersListed
from ..router import Router


@dataclass(slots=True, eq=False)
class Call:
    """One request as a front took it. `rid` is 16 hex digits; `due` is when its client stops waiting."""

    rid: str
    class_index: int
    function: str
    due: float
    body: bytes = b""
    key: str | None = None
    tenant: int | None = None
    memory: float = 0.0
    lanes: int = 1
    load_time: float | None = None
    taken: float = 0.0
    topic: str = ""  # set by a front of topics; only there may a plug-in name the function
    bias: Mapping[int, float] | None = None  # advice, as in RequestArrived
    wanted: float | None = None
    label: str | None = None  # for accounting
    seen: bool = False  # a plug-in's gate wants to hear of its end
    handed: bool = False  # the door wants to hear of its end
    cold: bool = False  # it waited for a load: its time tells nothing of what the hosts carry
    client: str = ""  # who asks, as its front knows it
    abandoned: bool = False  # its client has gone: its front sets it, senders read it


class Front(Protocol):
    """Where a request came from and its one final answer goes."""

    def served(self, call: Call, body: bytes) -> None: ...

    def refused(self, call: Call, retry_after: float | None) -> None: ...

    def failed(self, call: Call, reason: str) -> None: ...


class Watcher(Protocol):
    """Hears of the end of each call, once; it never waits."""

    def ended(self, call: Call, how: str) -> None: ...


class Recorder(Watcher, Protocol):
    """Keeps a record of each final answer, and may let an answer wait for it a little: then it stands in for
    the call's front."""

    def front_for(self, front: Front) -> Front: ...


class Door(Watcher, Protocol):
    """What stands between the fronts and the module. It passes each call on once, unless it has answered it
    or its client has left."""

    def offer(self, call: Call, front: Front) -> bool: ...

    def withdraw(self, call: Call) -> bool: ...


class Gate(Door, Protocol):
    """A door that also hears of the list; that never waits either."""

    def listed(self, listed: Listed) -> None: ...


@dataclass(slots=True, eq=False)
class Task:
    """What is on its way to a model host. The table alone clears `wanted`, the host alone sets `begun`."""

    worker: int
    stop_at: float
    sent: float
    wanted: bool = True
    begun: bool = False
    start_by: float = float("inf")  # a send that begins no earlier than this could be taken for a new request


@dataclass(slots=True, eq=False)
class Attempt(Task):
    call: Call = field(kw_only=True)
    request: int = 0
    number: int = 0


@dataclass(slots=True, eq=False)
class Order(Task):
    function: str = ""
    copies: int = 1


@dataclass(slots=True, eq=False)
class Check(Task):
    """A probe."""


@dataclass(slots=True)
class TaskEnded:
    """The one end of a task, told by its model host."""

    task: Task
    outcome: Outcome
    body: bytes = b""
    found: CopyLookup | None = None
    load_failed: bool = False
    crowd: int | None = None
    copies: int = 0
    report: LoadReport | None = None


class HostPort(Protocol):
    """A model host's mailbox. `begin` says whether it took the task."""

    def begin(self, task: Task) -> bool: ...

    def revoke(self, task: Task) -> None: ...

    def drop(self, function: str) -> None: ...


@dataclass(slots=True)
class Taken:
    """A front took a call."""

    call: Call
    front: Front


@dataclass(slots=True)
class Withdrawn:
    """The client left: nothing may be written for the call any more."""

    call: Call


@dataclass(slots=True)
class Listed:
    """The worker list changed; `ports` names the mailboxes of those it tells of."""

    event: WorkersListed
    ports: Mapping[int, HostPort]
    names: Mapping[int, HostName] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Confirmed:
    """Discovery has confirmed the worker list as it was last told."""

    event: ListConfirmed


@dataclass(frozen=True, slots=True)
class HostName:
    """A model host in the operators' words."""

    name: str
    zone: str
    kind: str
    state: str


@dataclass(slots=True)
class Wished:
    """Advice: a function that will be wanted soon."""

    function: str


@dataclass(slots=True)
class Visit:
    """Something to do with the decision module between two of its rounds, in its actor."""

    do: Callable[[Router], object]


@dataclass(slots=True)
class Leading:
    """Whether this process is the one that clients come to; the copies are its own then."""

    on: bool


@dataclass(slots=True)
class Counted:
    """Somebody asks for an actor's counters; `tell` gets a copy."""

    tell: Callable[[dict[str, int]], object]


@dataclass(slots=True)
class Ended:
    """A call has its final answer, or its client has left."""

    call: Call
    how: str


@dataclass(slots=True)
class Asked:
    """An operator asks a part for what it can tell; `tell` gets a copy."""

    tell: Callable[[dict[str, Any]], object]


@dataclass(slots=True)
class Retuned:
    """Other settings are in force for the actor from here. It comes ahead of every call made under them."""

    settings: Settings


@dataclass(slots=True)
class Stopping:
    """The invoker stops: all that was taken is answered before `by`."""

    by: float
