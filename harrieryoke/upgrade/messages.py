"""Messages of an upgrade: the lines between the two processes, and those to the upgrade's own actor.

The tags are part of the wire format and must not change: either process may be of an older version.
"""

from __future__ import annotations

from array import array
from collections import deque

import msgspec
from gevent import socket

from ..broker_session import AnsweredMessage, BrokerSession, KeptAnswer


class Hello(msgspec.Struct, tag="hello"):
    """A new process asks for a handover. If it `takes_session`, it connects to the MQTT broker only after
    `SessionReleased`, or after the end of the link."""

    takes_session: bool = False


class Serving(msgspec.Struct, tag="serving"):
    """The new process accepts clients."""


class BanChange(msgspec.Struct, tag="ban"):
    """An operator drained a host, or put it back.

    `version` is that of `BanChanged`; older processes give none.
    """

    id: str
    on: bool
    version: int = 0


class ClientTransfer(msgspec.Struct, tag="client"):
    """A client's connection comes with this line, as a descriptor."""

    name: str


class HandoverHeader(msgspec.Struct, tag="handed"):
    """The first line to a new process; `size` bytes of learned state follow.

    `ban_versions` are those of the last change of each host, also of lifted bans.
    """

    size: int
    bans: list[str]
    ban_versions: dict[str, int] = {}


class SessionAnswers(msgspec.Struct, tag="session-answers"):
    """Answers of idempotency keys, ahead of `SessionReleased`."""

    answers: list[KeptAnswer]


class SessionReleased(msgspec.Struct, tag="session-released"):
    """The sending process has left its session at the MQTT broker, for good unless the receiver ends."""

    unconfirmed: list[AnsweredMessage]
    complete: bool


PeerMessage = Hello | Serving | BanChange | ClientTransfer | SessionAnswers | SessionReleased
PEER_MESSAGE_DECODER: msgspec.json.Decoder[PeerMessage] = msgspec.json.Decoder(PeerMessage)


class Link(msgspec.Struct, eq=False):
    """A connection to the predecessor or to a successor; descriptors wait for the line that owns them."""

    sock: socket.socket
    descriptors: deque[int] = msgspec.field(default_factory=deque)
    takes_session: bool = False

    def send_with_descriptor(self, line: bytes, descriptor: int) -> None:
        """Send a line, and a descriptor with its first byte. Raises OSError."""
        rights = [(socket.SOL_SOCKET, socket.SCM_RIGHTS, array("i", [descriptor]))]
        while not self.sock.sendmsg([line[:1]], rights):
            pass
        self.sock.sendall(line[1:])


class PeerMessageReceived(msgspec.Struct):
    """A line read from a link, with the descriptor that belongs to it."""

    link: Link
    message: PeerMessage
    descriptor: int | None = None


class ClientReleased(msgspec.Struct):
    """The front gives up an idle client connection, to be transferred to the successor."""

    sock: socket.socket
    name: str


class SessionLeft(msgspec.Struct):
    """The broker's front has left its session, which goes to the process at the other end of the link."""

    link: Link
    session: BrokerSession


class LinkLost(msgspec.Struct):
    """A link's reader has ended."""

    link: Link


class BansChanged(msgspec.Struct):
    """Changes of bans wait to be told to the other processes."""
