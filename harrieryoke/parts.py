"""Protocols of the optional parts that an operator's file configures; the service uses only these."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, Protocol

from gevent.event import Event

from . import interface as i
from .broker_session import BrokerSession, KeptAnswer
from .core.calls import CallMaker
from .core.module import ModuleActor
from .core.records import Door, Gate, Recorder
from .limits import Limits
from .log import Log


class Part(Protocol):
    """A part that the service starts."""

    def start(self) -> None: ...


class ReconfigurablePart(Part, Protocol):
    """Receives `SettingsChanged` in its mailbox: calls refer to classes and tenants by settings index."""

    def blocking_send(self, message: Any) -> bool: ...


class OpsPart(Part, Protocol):
    """The operators' HTTP. During an upgrade only the process that serves listens at its address."""

    def open(self, shared: bool) -> None:
        """Bind the address, `shared` with other processes. Raises OSError. Must precede `start`."""
        ...

    def pause(self) -> None: ...

    def resume(self) -> None: ...


class BrokerPart(Part, Protocol):
    """The front that accepts calls from an MQTT broker.

    The broker keeps one session for all processes of an upgrade, so only one of them is connected. One that
    awaits the session gets it by `adopt`, or by `predecessor_lost` if the other one ended without a word.
    """

    gone: Event

    def await_session(self) -> None:
        """Do not connect before another process has left the session. Must precede `start`."""
        ...

    def adopt_answers(self, answers: list[KeptAnswer]) -> None: ...

    def adopt(self, session: BrokerSession) -> None: ...

    def predecessor_lost(self) -> None: ...

    def release(self, reply: Callable[[BrokerSession], object]) -> None:
        """Take no more messages, answer those that were taken, disconnect, and call `reply`."""
        ...

    def successor_lost(self) -> None:
        """Serve the session again: the process that it was released to has ended."""
        ...

    def request_stop(self) -> None: ...

    def blocking_send(self, message: Any) -> bool: ...


class DoorPart(ReconfigurablePart, Door, Protocol):
    """Fair queues in front of the decision module."""

    def request_stop(self, by: float) -> None: ...

    def ask_status(self, timeout_ms: float) -> dict[str, Any]: ...


class GatePart(ReconfigurablePart, Gate, Protocol):
    """The plug-ins. `ask_status` and `ask_swap` wait up to `timeout_ms` for the answer."""

    def request_stop(self, by: float) -> None: ...

    def ask_swap(self, name: str | None, timeout_ms: float) -> dict[str, str]: ...

    def ask_status(self, timeout_ms: float) -> dict[str, Any]: ...


class LedgerPart(ReconfigurablePart, Recorder, Protocol):
    """Records each final answer. `stop` must be called after the last one."""

    def reload(self) -> None: ...

    def stop(self) -> None: ...

    def answer(self, method: str, path: str, query: Mapping[str, str], timeout_ms: float) -> tuple[int, Any]:
        """Answer an HTTP request of an operator below the ledger's path."""
        ...


class Council(Protocol):
    """Duties that one invoker of a fleet has at a time (docs/duties.md), for the parts that perform them."""

    def acting(self, duty: str) -> int:
        """Return the fencing token for acting now, or 0. Must be called again before each act."""
        ...

    def cannot(self, duty: str, why: str) -> None:
        """Give up a duty immediately, so that it passes to another invoker."""
        ...

    def can(self, duty: str) -> None:
        """Be available for a duty again."""
        ...

    def propose(self, duty: str, token: int, body: bytes) -> str:
        """Propose an entry of the agreed log. Return the reason for a rejection, or an empty string.

        An accepted entry may still be lost; the caller has to repeat it.
        """
        ...

    def ask(self, duty: str, body: bytes) -> str:
        """As `propose`, for an invoker that does not hold the duty: the duty's state machine decides."""
        ...

    def watch(self, callback: Callable[[], object]) -> None:
        """Register a callback for applied entries and changes of `acting`. It must not block."""
        ...

    def status(self) -> dict[str, Any]: ...


class CouncilPart(Part, Council, Protocol):
    """The council as the service sees it.

    `request_stop` starts to pass the duties on; `stop` must be called after the last part that needs a duty.
    """

    def open(self) -> None:
        """Open the folder. Raises ValueError if it cannot be used; `start` raises OSError."""
        ...

    def reload(self, settings: Any) -> None:
        """Apply a new version of the [council] table."""
        ...

    def request_stop(self) -> None: ...

    def stop(self) -> None: ...


@dataclass(slots=True)
class Parts:
    """The parts that the operator's file has turned on."""

    broker: BrokerPart | None = None
    gate: GatePart | None = None
    door: DoorPart | None = None
    ops: OpsPart | None = None
    ledger: LedgerPart | None = None
    council: CouncilPart | None = None


class Operator(Protocol):
    """The operator's file."""

    limits: dict[str, float]

    def make_log(self, name: str, lines_per_s: int) -> Log: ...

    def check(self, settings: i.Settings, limits: Limits) -> None: ...

    def apply_reload(self, new: Any, name: str, made: Parts) -> None:
        """Apply the reloadable part of a new file to the running parts of the invoker `name`.

        Raises ConfigError before anything has changed.
        """
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
