"""What goes into and comes out of the router: settings, events and actions.

Times are milliseconds on the caller's own clock; worker and request ids are the caller's numbers.
No logic lives here.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from math import inf


class Effect(Enum):
    """What a repeated request may do to the world."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Group(Enum):
    """The workers that drop each other's repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Drain(Enum):
    """What the worker list says of a worker."""

    UP = "up"
    DRAINING = "draining"
    GONE = "gone"


class Outcome(Enum):
    """How an attempt, an order or a probe ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    NO_CONNECTION = "no connection"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"
    MISS = "miss"


class Found(Enum):
    """What a served request found at the worker."""

    COPY = "copy"
    BEGAN_LOAD = "began load"
    WAITED = "waited"


class ListScope(Enum):
    """How a worker list is to be read."""

    CHANGES = "changes"
    WHOLE = "whole"
    REMEMBERED = "remembered"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests: its times, its worth and what repeating it may do."""

    name: str
    aim: float
    deadline: float
    worth: float = 1.0
    late_worth: float = 0.0
    effect: Effect = Effect.UNSAFE
    group: Group = Group.ALL
    repeat_window: float = 0.0
    aim_stretch: float = 0.0


@dataclass(frozen=True, slots=True)
class Tenant:
    """One tenant and the requests a second, over all front ends, that its share covers (0: not told)."""

    name: str
    allowance_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """All that a front end is told at its start and anew by `Retuned`. Parts left out get harmless defaults.

    An index of a class, tenant, zone or kind keeps its meaning for as long as the front end runs; what other
    settings no longer name is `retired`: open requests may still have it.
    """

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    zones: tuple[str, ...] = ()
    kinds: tuple[str, ...] = ()
    retired: frozenset[int] = frozenset()
    retired_tenants: frozenset[int] = frozenset()
    me: int = 0
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
    tells_retry_after: bool = False
    max_retry_after: float = 0.0
    list_on_request: bool = False
    list_ask_within: float = 0.0
    told_within: float = 7000.0  # what discovery tells counts as told after this, whether it came or not
    connect_timeout: float = 250.0
    answer_slack: float = 0.0
    cold_period: float = 0.0
    cold_share: float = 1.0
    fall_multiple: float = 1.0
    fall_time: float = 1000.0
    keep_alive: float = 10000.0
    order_timeout: float = 10000.0
    ration_window: float = 0.0
    ration_floor: float = 0.0
    ration_share: float = 0.0
    idle_price: float = 0.0
    memory_by_kind: tuple[float, ...] = ()
    tells_found: bool = False
    tells_crowd: bool = False

    def __post_init__(self) -> None:
        """Names the first field that no front end could work with."""
        if not self.classes:
            raise ValueError("classes: at least one is needed")
        for c in self.classes:
            if not 0 < c.aim <= c.deadline:
                raise ValueError(f"classes: the aim of {c.name!r} must lie above 0 and within its deadline")
        for name in ("front_ends", "tick", "max_attempts", "keep_alive"):
            if getattr(self, name) <= 0:
                raise ValueError(f"{name}: must be above 0")

    def live(self) -> dict[str, int]:
        """The classes that a request may name now, with their indexes."""
        return {c.name: n for n, c in enumerate(self.classes) if n not in self.retired}

    def live_tenants(self) -> dict[str, int]:
        """The tenants that a request may name now, with their indexes."""
        return {t.name: n for n, t in enumerate(self.tenants) if n not in self.retired_tenants}

    def shortest_aim(self) -> float:
        """In milliseconds, of the classes that a request may name now."""
        return min(c.aim for n, c in enumerate(self.classes) if n not in self.retired)


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What a worker says of its own load; None where it does not say."""

    held: float | None = None
    busy: float | None = None
    pinned_memory: float | None = None
    loads: float | None = None


@dataclass(frozen=True, slots=True)
class WorkerEntry:
    """One line of the worker list. `started` is None where the start lies long past. `start_stamp` is the
    list's own mark of that start: equal stamps mean the same start, whatever `started` says."""

    worker: int
    zone: int = 0
    kind: int = 0
    cell: int = 0
    drain: Drain = Drain.UP
    size: float = 1.0
    started: float | None = None
    start_stamp: float | None = None


@dataclass(frozen=True, slots=True)
class WorkersListed:
    """The worker list, or what changed in it."""

    scope: ListScope
    workers: tuple[WorkerEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class ListConfirmed:
    """Discovery has shown that nothing it told before `at` is missing from the list. The last entries of the
    `doubtful` workers could not be read."""

    at: float
    doubtful: frozenset[int] = frozenset()


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A client asks for one run of a function; exactly one final answer is owed before `due`."""

    request: int
    class_index: int
    function: str
    due: float
    tenant: int | None = None
    work_hint: float | None = None
    memory: float = 0.0
    lanes: int = 1
    load_time: float | None = None
    repeat: bool = False
    bias: Mapping[int, float] | None = None  # advice: worker -> factor on its cost; above 1 avoids it
    wanted: float | None = None  # advice: an aim shorter than the class's
    taken: float | None = None  # when it came, where that was before this round


@dataclass(frozen=True, slots=True)
class AnswerBegan:
    """A streamed answer has begun; the attempt is the client's from here."""

    request: int
    worker: int
    attempt: int


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt's one outcome; `finished` says that the request has its final answer."""

    request: int
    worker: int
    attempt: int
    outcome: Outcome
    took: float
    finished: bool
    found: Found | None = None
    load_failed: bool = False
    crowd: int | None = None
    report: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class RequestDropped:
    """The client has left; nothing more is owed."""

    request: int


@dataclass(frozen=True, slots=True)
class OrderEnded:
    """An order's one answer, with the copies that stand loaded there."""

    worker: int
    function: str
    outcome: Outcome
    copies: int
    took: float


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    """A probe's one answer."""

    worker: int
    outcome: Outcome
    took: float
    report: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer set by `SetTimer` is due."""

    name: str


@dataclass(frozen=True, slots=True)
class WarmWished:
    """Advice: the function will be wanted soon. It is loaded only where own needs leave room for it."""

    function: str


@dataclass(frozen=True, slots=True)
class PeerSaid:
    """A message from another front end."""

    peer: int
    body: bytes


@dataclass(frozen=True, slots=True)
class Retuned:
    """Other settings are in force from here; open requests keep what they arrived under."""

    settings: Settings


Event = (
    WorkersListed
    | ListConfirmed
    | RequestArrived
    | AnswerBegan
    | AttemptEnded
    | RequestDropped
    | OrderEnded
    | ProbeEnded
    | TimerFired
    | PeerSaid
    | WarmWished
    | Retuned
)


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Send the request to the worker; attempts are numbered from 0 in this order. What has not begun to be
    written by `start_by` is not sent."""

    request: int
    worker: int
    stop_at: float | None = None
    start_by: float = inf


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop waiting on one attempt."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: not done, and harmless to ask again."""

    request: int
    retry_after: float | None = None


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed, with nothing promised."""

    request: int


@dataclass(frozen=True, slots=True)
class OrderCopies:
    """Have the worker hold at least so many copies; 0 only asks. Not begun by `start_by`, it is not sent."""

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
    """Ask the worker for a sign of life and its load."""

    worker: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Have a `TimerFired` of that name sent at or after `at`."""

    name: str
    at: float


@dataclass(frozen=True, slots=True)
class FollowList:
    """Ask for the worker list's changes from now on."""


@dataclass(frozen=True, slots=True)
class Note:
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
    | Note
)
