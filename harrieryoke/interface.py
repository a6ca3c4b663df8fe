"""Interface of the router: its settings, the events it takes and the actions it returns.

Times are milliseconds on the caller's clock; worker and request ids are numbers that the caller assigns.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from math import inf


class Effect(Enum):
    """Side effect of executing a request more than once."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class DeduplicationScope(Enum):
    """Set of workers within which repeats of a keyed request are deduplicated."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class WorkerStatus(Enum):
    """State of a worker in the worker list."""

    UP = "up"
    DRAINING = "draining"
    GONE = "gone"


class Outcome(Enum):
    """Result of an attempt, an order or a probe."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    NO_CONNECTION = "no connection"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"
    MISS = "miss"


class CopyLookup(Enum):
    """Whether a served request found a loaded copy at the worker."""

    LOADED = "copy"
    STARTED_LOAD = "began load"
    WAITED_FOR_LOAD = "waited"


class ListScope(Enum):
    """Kind of a worker list message."""

    CHANGES = "changes"
    WHOLE = "whole"
    REMEMBERED = "remembered"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests: its latency target and deadline, its worth, and the rules for repeating it."""

    name: str
    latency_target: float
    deadline: float
    worth: float = 1.0
    late_worth: float = 0.0
    effect: Effect = Effect.UNSAFE
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    repeat_window: float = 0.0
    latency_target_stretch: float = 0.0


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant and its allowance in requests per second over all front ends (0: not configured)."""

    name: str
    allowance_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of a front end, given at start and replaced by `SettingsChanged`.

    The index of a class, tenant, zone or kind keeps its meaning while the front end runs. Entries that new
    settings no longer name are `retired`: open requests may still refer to them.
    """

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    zones: tuple[str, ...] = ()
    kinds: tuple[str, ...] = ()
    retired: frozenset[int] = frozenset()
    retired_tenants: frozenset[int] = frozenset()
    own_index: int = 0
    front_ends: int = 1
    zone: int = 0
    tick: float = 1.0
    over_share_worth: float = 1.0
    worth_by_work: bool = False
    max_attempts: int = 1
    second_attempts: bool = False
    may_cancel: bool = False
    may_probe: bool = False
    may_order: bool = True
    sends_retry_after: bool = False
    max_retry_after: float = 0.0
    list_on_request: bool = False
    list_ask_within: float = 0.0
    discovery_delay: float = 7000.0  # within this time a change in discovery takes effect at every front end
    connect_timeout: float = 250.0
    answer_slack: float = 0.0
    cold_period: float = 0.0
    cold_share: float = 1.0
    overload_multiple: float = 1.0
    overload_time: float = 1000.0
    keep_alive: float = 10000.0
    order_timeout: float = 10000.0
    order_limit_window: float = 0.0
    order_limit_floor: float = 0.0
    order_limit_share: float = 0.0
    idle_copy_price: float = 0.0
    memory_by_kind: tuple[float, ...] = ()
    reports_copy_lookup: bool = False
    reports_concurrent_requests: bool = False
    function_bytes: float = 64 * 2.0**20  # memory for what is remembered of functions

    def __post_init__(self) -> None:
        """Raises ValueError that names the first invalid field."""
        if not self.classes:
            raise ValueError("classes: at least one is needed")
        for request_class in self.classes:
            if not 0 < request_class.latency_target <= request_class.deadline:
                raise ValueError(
                    f"classes: the aim of {request_class.name!r} must lie above 0 and within its deadline"
                )
        for name in ("front_ends", "tick", "max_attempts", "keep_alive"):
            if getattr(self, name) <= 0:
                raise ValueError(f"{name}: must be above 0")

    def active_classes(self) -> dict[str, int]:
        """Indexes of the classes in use, by name."""
        return {c.name: index for index, c in enumerate(self.classes) if index not in self.retired}

    def active_tenants(self) -> dict[str, int]:
        """Indexes of the tenants in use, by name."""
        return {t.name: index for index, t in enumerate(self.tenants) if index not in self.retired_tenants}

    def shortest_latency_target(self) -> float:
        """Shortest latency target of the classes in use, in milliseconds."""
        return min(c.latency_target for index, c in enumerate(self.classes) if index not in self.retired)


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load that a worker reports; None for values it does not report."""

    in_progress: float | None = None
    busy: float | None = None
    pinned_memory: float | None = None
    loads: float | None = None


UNKNOWN_ZONE = -1  # the list names a zone that the settings don't have


@dataclass(frozen=True, slots=True)
class WorkerEntry:
    """An entry of the worker list; `zone` is an index of the settings' zones, or UNKNOWN_ZONE.

    `started` is None where the worker started long ago. `start_stamp` identifies the start in the list: equal
    stamps mean the same start, whatever `started` is.
    """

    worker: int
    zone: int = 0
    kind: int = 0
    cell: int = 0
    status: WorkerStatus = WorkerStatus.UP
    capacity: float = 1.0
    started: float | None = None
    start_stamp: float | None = None


@dataclass(frozen=True, slots=True)
class WorkersListed:
    """The worker list, or a change to it."""

    scope: ListScope
    workers: tuple[WorkerEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class ListConfirmed:
    """The list contains every change that discovery published before `at`.

    The most recent entries of the `doubtful` workers could not be read.
    """

    at: float
    doubtful: frozenset[int] = frozenset()


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A client requests one run of a function; it must get exactly one final answer before `deadline`."""

    request: int
    class_index: int
    function: str
    deadline: float
    tenant: int | None = None
    work_hint: float | None = None
    memory: float = 0.0
    slots: int = 1
    load_time: float | None = None
    repeat: bool = False
    cost_factors: Mapping[int, float] | None = None  # advice: worker -> factor on its cost; above 1 avoids it
    latency_target: float | None = None  # advice: a target shorter than the class's
    received_at: float | None = None  # time of arrival, if before the current round of events
    source: str = ""  # the connection that it came on; what it has named gives way before what others have


@dataclass(frozen=True, slots=True)
class AnswerStarted:
    """A streamed answer has started; from here on the attempt serves the client."""

    request: int
    worker: int
    attempt: int


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """Outcome of an attempt, sent once; `finished` means that the request has its final answer."""

    request: int
    worker: int
    attempt: int
    outcome: Outcome
    duration: float
    finished: bool
    copy_lookup: CopyLookup | None = None
    load_failed: bool = False
    concurrent_requests: int | None = None
    report: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class RequestDropped:
    """The client no longer waits; the request needs no answer."""

    request: int


@dataclass(frozen=True, slots=True)
class OrderEnded:
    """Outcome of an order, sent once, with the number of copies loaded at the worker."""

    worker: int
    function: str
    outcome: Outcome
    copies: int
    duration: float


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    """Outcome of a probe, sent once."""

    worker: int
    outcome: Outcome
    duration: float
    report: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer set by `SetTimer` is due."""

    name: str


@dataclass(frozen=True, slots=True)
class PrewarmRequested:
    """Advice: the function will be requested soon. Loads for requests have precedence."""

    function: str


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message from another front end."""

    peer: int
    body: bytes


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """New settings are in force; open requests keep those they arrived under."""

    settings: Settings


@dataclass(frozen=True, slots=True)
class MemoryPressureChanged:
    """The memory has become short, or no longer is: what is remembered has to shrink, or may grow again."""

    is_short: bool


Event = (
    WorkersListed
    | ListConfirmed
    | RequestArrived
    | AnswerStarted
    | AttemptEnded
    | RequestDropped
    | OrderEnded
    | ProbeEnded
    | TimerFired
    | PeerMessage
    | PrewarmRequested
    | SettingsChanged
    | MemoryPressureChanged
)


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Send the request to the worker; a request's attempts are numbered from 0 in the order of these actions.

    If writing has not started by `start_by`, the request is not sent.
    """

    request: int
    worker: int
    stop_at: float | None = None
    start_by: float = inf


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop waiting for an attempt."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: not executed, and safe to retry."""

    request: int
    retry_after: float | None = None


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed; the request may have been executed."""

    request: int


@dataclass(frozen=True, slots=True)
class OrderCopies:
    """Have the worker hold at least `copies` copies; 0 only queries.

    If sending has not started by `start_by`, the order is not sent.
    """

    worker: int
    function: str
    copies: int
    start_by: float = inf


@dataclass(frozen=True, slots=True)
class DropCopies:
    """Have the worker unload its idle copies of the function."""

    worker: int
    function: str


@dataclass(frozen=True, slots=True)
class Probe:
    """Ask the worker whether it is alive and how loaded it is."""

    worker: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Request a `TimerFired` with this name at or after `at`."""

    name: str
    at: float


@dataclass(frozen=True, slots=True)
class FollowList:
    """Subscribe to changes of the worker list."""


@dataclass(frozen=True, slots=True)
class LogLine:
    """A line for the operators' log."""

    text: str


Action = (
    StartAttempt
    | CancelAttempt
    | Refuse
    | Fail
    | OrderCopies
    | DropCopies
    | Probe
    | SetTimer
    | FollowList
    | LogLine
)
