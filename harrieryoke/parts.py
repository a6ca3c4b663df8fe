"""The parts that an operator's file may turn on, as the service sees them. It knows none of them by name."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, Protocol

from gevent.event import Event

from . import interface as i
from .core.calls import CallMaker
from .core.module import ModuleActor
from .core.records import Door, Gate, Recorder
from .limits import Limits
from .log import Log


class Part(Protocol):
    def start(self) -> None: ...


class TunedPart(Part, Protocol):
    """Takes `Retuned` into its mailbox: calls name classes and tenants by their indexes in the settings."""

    def blocking_send(self, message: Any) -> bool: ...


class BrokerPart(Part, Protocol):
    """A second front."""

    gone: Event

    def push_stop(self) -> None: ...

    def blocking_send(self, message: Any) -> bool: ...


class DoorPart(TunedPart, Door, Protocol):
    """Fair queues before the module."""

    def push_stop(self, by: float) -> None: ...

    def ask_status(self, timeout_ms: float) -> dict[str, Any]: ...


class GatePart(TunedPart, Gate, Protocol):
    """The plug-ins. `ask_status` and `ask_swap` wait for the gate's answer, within `timeout_ms`."""

    def push_stop(self, by: float) -> None: ...

    def ask_swap(self, name: str | None, timeout_ms: float) -> dict[str, str]: ...

    def ask_status(self, timeout_ms: float) -> dict[str, Any]: ...


class LedgerPart(TunedPart, Recorder, Protocol):
    """Keeps a record of each final answer; `stop` is for after the last of them."""

    def reload(self) -> None: ...

    def stop(self) -> None: ...

    def answer(self, method: str, path: str, query: Mapping[str, str], timeout_ms: float) -> tuple[int, Any]:
        """The operators' HTTP below its path."""
        ...


class Council(Protocol):
    """Duties that one invoker of a fleet has at a time (docs/duties.md), for the parts that do them."""

    def acting(self, duty: str) -> int:
        """The token to act under now, 0 for not at all: asked again before each act, by the clock of then."""
        ...

    def cannot(self, duty: str, why: str) -> None:
        """It stops at once, and the duty goes to another."""
        ...

    def can(self, duty: str) -> None: ...

    def propose(self, duty: str, token: int, body: bytes) -> str:
        """For the agreed log. Why not, or nothing; it may still be lost, and who wants it repeats it."""
        ...

    def ask(self, duty: str, body: bytes) -> str:
        """As `propose`, of who does not act: what it asks for counts by the rules of the duty's machine."""
        ...

    def watch(self, told: Callable[[], object]) -> None:
        """Called, and must not block, after entries were applied or what `acting` says may have changed."""
        ...

    def status(self) -> dict[str, Any]: ...


class CouncilPart(Part, Council, Protocol):
    """`reload` takes a table that was read anew. `push_stop` begins to hand its duties on; `stop` is for
    after the last that needs one."""

    def open(self) -> None:
        """Raises a ValueError for a folder that can't be used. `start` raises OSError."""
        ...

    def reload(self, told: Any) -> None: ...

    def push_stop(self) -> None: ...

    def stop(self) -> None: ...


@dataclass(slots=True)
class Parts:
    broker: BrokerPart | None = None
    gate: GatePart | None = None
    door: DoorPart | None = None
    ops: Part | None = None
    ledger: LedgerPart | None = None
    council: CouncilPart | None = None


class Operator(Protocol):
    """An operator's file, read."""

    limits: dict[str, float]

    def make_log(self, name: str, lines_per_s: int) -> Log: ...

    def check(self, settings: i.Settings, limits: Limits) -> None: ...

    def renew(self, new: Any, name: str, made: Parts) -> None:
        """Takes from a file that was read anew what may change while the parts run, at the invoker of that
        name. Raises ConfigError before anything is in force."""
        ...

    def parts(
        self,
        settings: i.Settings,
        core: ModuleActor,
        maker: CallMaker,
        limits: Limits,
        log: Log,
        answer: Callable[[str, str, Mapping[str, str]], tuple[int, Any]],
    ) -> Parts: ...
