"""One connection to a model host, and what is out on it."""

from __future__ import annotations

from dataclasses import dataclass, field

from gevent import socket

from ..core.records import Task
from . import frames


@dataclass(slots=True, eq=False)
class Link:
    """One connection, and what is open on it by frame id."""

    sock: socket.socket
    decoder: frames.Decoder
    open: dict[int, Task] = field(default_factory=dict)
    used: float = 0.0
    asked: float | None = None  # since when something is owed an answer soon and nothing has come
    part_since: float | None = None  # a frame has begun and its rest has not come; its reader alone writes it
