"""The messages of the JSON-RPC front's actor."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from gevent import socket

from .client import ClientActor
from .pending_connections import PendingConnection


@dataclass(slots=True)
class ConnectionAccepted:
    """A connection was accepted, or transferred from another process."""

    connection: PendingConnection


class RefusalEnded:
    """The calls of a connection without a place were refused, and it has ended."""


@dataclass(slots=True)
class ClientClosed:
    """A client's actor has ended."""

    client: ClientActor


@dataclass(frozen=True, slots=True)
class AcceptorEnded:
    """The acceptor's greenlet for this descriptor has ended."""

    acceptor: socket.socket


class StopListening:
    """Accept no new connections; close the others once nothing is open on them."""


@dataclass(slots=True)
class TransferClients:
    """Another process accepts now; transfer the clients to it through `transfer` as they become idle."""

    transfer: Callable[[socket.socket, str], object]


class RelieveMemory:
    """The memory is short: partial lines give way."""


class ResumeAccepting:
    """The other process has ended; accept clients here again."""
