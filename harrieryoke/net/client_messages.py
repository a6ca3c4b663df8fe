"""The messages of a client connection's actor."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from gevent import socket

from ..core.records import Call
from .connection_state import EndReason, Refusal


@dataclass(frozen=True, slots=True)
class LineReceived:
    """The reader has read a line, which is to be refused if a `refusal` is named."""

    data: bytes
    received_at: float
    refusal: Refusal | None = None
    waited_ms: float = 0.0  # between its arrival and `received_at`


@dataclass(frozen=True, slots=True)
class CallRefused:
    """The call with this id is refused; the rest of its line is skipped."""

    id: int
    refusal: Refusal


@dataclass(frozen=True, slots=True)
class AnswerReady:
    """The core has answered the call."""

    call: Call
    reply: dict[str, Any]


@dataclass(frozen=True, slots=True)
class CallUnsafe:
    """The call was not sent: bytes that may say that the client has left were unread for too long."""

    call: Call


@dataclass(frozen=True, slots=True)
class OutputDrained:
    """Everything that could not be written at once has been written."""


@dataclass(frozen=True, slots=True)
class RefusePartialLine:
    """Others need the memory of a partial line: refuse its call, and skip its rest."""


@dataclass(frozen=True, slots=True)
class GiveWay:
    """End the connection, unless a call is open on it.

    Of what the client has sent faster than it may, calls are refused and other lines dropped.
    """

    reason: EndReason


@dataclass(frozen=True, slots=True)
class StopReading:
    """The process ends soon: refuse the lines that were read, and read no more."""


@dataclass(frozen=True, slots=True)
class CloseIfIdle:
    """Close the connection once no request is open on it and no line is partly read.

    A partial line that was started at `stalled_line_at` has stalled and is not waited for; any other line is.
    """

    reason: EndReason = EndReason.IDLE
    stalled_line_at: float | None = None


@dataclass(frozen=True, slots=True)
class TransferWhenIdle:
    """Transfer the connection to another process once no request is open on it.

    `transfer` gets the socket, with all bytes that are still unread, and the client's name.
    """

    transfer: Callable[[socket.socket, str], object]
