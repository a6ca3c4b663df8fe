"""The operators' HTTP interface. Off unless the operator's file has an address for it."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from contextlib import suppress
from typing import Any, NamedTuple
from urllib.parse import parse_qsl

import gevent
import httptools
import msgspec
from gevent import socket

from .core.actor import spawn
from .limits import Limits
from .log import Log
from .net.listening import bind_address

BACKLOG = 16  # connections that the kernel accepts ahead of the listener
ACCEPT_RETRY_S = 0.05
READ_BYTES = 4096


class OpsSettings(msgspec.Struct, forbid_unknown_fields=True):
    """The [ops] table of the operator's file."""

    listen: str


COUNTERS_SCHEMA = {"type": "object", "additionalProperties": {"type": "integer", "minimum": 0}}
HEALTH_SCHEMA = {
    "type": "object",
    "required": ["healthy"],
    "additionalProperties": False,
    "properties": {"healthy": {"type": "boolean"}},
}
COUNTS_SCHEMA = {
    "type": "object",
    "required": ["requests", "log"],
    "properties": {"requests": COUNTERS_SCHEMA, "triggers": COUNTERS_SCHEMA, "log": COUNTERS_SCHEMA},
}
PLUGINS_SCHEMA = {
    "type": "object",
    "required": ["plugins", "by_default"],
    "properties": {
        "plugins": {
            "type": "array",
            "items": {"type": "object", "required": ["name", "serving", "versions"]},
        },
        "by_default": COUNTERS_SCHEMA,
        "advice_dropped": COUNTERS_SCHEMA,
    },
}
DOOR_SCHEMA = {
    "type": "object",
    "required": ["waiting", "inside", "limit", "counts"],
    "properties": {
        "waiting": COUNTERS_SCHEMA,
        "inside": {"type": "integer"},
        "counts": COUNTERS_SCHEMA,
        "promises": COUNTERS_SCHEMA,
    },
}
LEDGER_SCHEMA = {"type": "object", "required": ["instance", "epoch", "periods", "totals", "export"]}
COUNCIL_SCHEMA = {
    "type": "object",
    "required": [
        "member",
        "role",
        "term",
        "leader",
        "commit",
        "voters",
        "duties",
        "sessions",
        "ailing",
        "disk",
        "links",
    ],
}
DONE_SCHEMA = {"type": "object"}
SWAP_SCHEMA = {"type": "object", "additionalProperties": {"type": "string"}}


class Route(NamedTuple):
    """One path of the HTTP interface, as it is served and described."""

    method: str
    summary: str
    statuses: tuple[int, ...]
    schema: dict[str, Any]  # of the body


ROUTES = {
    "/healthz": Route("GET", "whether the invoker takes requests", (200, 503), HEALTH_SCHEMA),
    "/counters": Route("GET", "requests, triggers and log lines so far, by kind", (200,), COUNTS_SCHEMA),
    "/door": Route("GET", "fair queues: what waits, what is inside, promises", (200, 404), DOOR_SCHEMA),
    "/council": Route(
        "GET", "the council: who leads, who votes, who holds which duty", (200, 404), COUNCIL_SCHEMA
    ),
    "/ledger": Route("GET", "the ledger: periods, totals, what is exported", (200, 404, 503), LEDGER_SCHEMA),
    "/ledger/close": Route(
        "POST", "close and seal the period of ?period=", (200, 400, 404, 503), DONE_SCHEMA
    ),
    "/ledger/correct": Route(
        "POST",
        "bring ?id= to ?calls=&worth=&took=&held= with a ?reason=",
        (200, 400, 404, 503),
        DONE_SCHEMA,
    ),
    "/ledger/reconcile": Route(
        "POST",
        "reconcile ?period= with the collector; what came of the last ones",
        (200, 400, 404, 503),
        DONE_SCHEMA,
    ),
    "/ledger/again": Route(
        "POST", "try the batch ?epoch=&batch= that was set aside", (200, 400, 404, 503), DONE_SCHEMA
    ),
    "/plugins": Route("GET", "plug-ins, their versions and figures", (200, 404), PLUGINS_SCHEMA),
    "/plugins/swap": Route("POST", "read plug-ins anew: the one of ?name=, or all", (202, 404), SWAP_SCHEMA),
}
REASON_PHRASES = {
    200: "OK",
    202: "Accepted",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    503: "Service Unavailable",
}


class RequestParser:
    """Receives the path and the end of one request from httptools."""

    def __init__(self) -> None:
        self.parser = httptools.HttpRequestParser(self)
        self.path, self.done = "", False

    def on_url(self, url: bytes) -> None:
        """Append a piece of the URL."""
        self.path += url.decode("latin-1")

    def on_message_complete(self) -> None:
        """Mark the request as complete."""
        self.done = True


# method, path, query -> status, body
RequestHandler = Callable[[str, str, Mapping[str, str]], tuple[int, Any]]


class OpsServer:
    """Serves one request for each connection, in a greenlet of its own."""

    def __init__(self, address: tuple[str, int], handler: RequestHandler, limits: Limits, log: Log) -> None:
        self.address, self.handler, self.limits, self.log = address, handler, limits, log
        self.bound: socket.socket | None = None  # not while another process serves
        self.shared = False

    def open(self, shared: bool) -> None:
        """Bind the address, which other processes may bind too if `shared`. Raises OSError."""
        self.bound = bind_address(self.address, shared)
        self.shared = shared

    def start(self) -> None:
        """Serve at the address that `open` bound. Raises OSError."""
        assert self.bound is not None, "start comes after open"
        listening = self.bound
        listening.listen(BACKLOG)
        spawn(self.log, "ops listener", lambda: self.accept(listening))

    def pause(self) -> None:
        """Leave the address to the process that has taken over; requests that came before are answered."""
        listening, self.bound = self.bound, None
        if listening is not None:
            self.accept_waiting(listening)
            listening.close()

    def resume(self) -> None:
        """Serve again: the process that had taken over has ended."""
        if self.bound is not None:
            return
        try:
            self.open(self.shared)
            self.start()
        except OSError as error:
            self.log("ops-failed", f"ops.listen: {error}")

    def accept_waiting(self, listening: socket.socket) -> None:
        """Accept the connections that the kernel has queued."""
        listening.settimeout(0.0)
        with suppress(OSError):
            while True:
                sock, _ = listening.accept()
                self.spawn_server(sock)

    def accept(self, listening: socket.socket) -> None:
        """Run the listener's greenlet, until another process has taken over."""
        while listening is self.bound:
            try:
                sock, _ = listening.accept()
            except OSError as error:
                if listening is not self.bound:
                    return
                self.log("accept-failed", f"ops: {error}")
                gevent.sleep(ACCEPT_RETRY_S)
                continue
            self.spawn_server(sock)

    def spawn_server(self, sock: socket.socket) -> None:
        """Serve a connection in a greenlet of its own."""
        spawn(self.log, "ops", lambda: self.serve(sock))

    def serve(self, sock: socket.socket) -> None:
        """Run one connection's greenlet."""
        with sock:
            sock.settimeout(self.limits.write_ms / 1000)
            try:
                status, body = self.handle_request(sock)
                data = msgspec.json.encode(body)
                head = (
                    f"HTTP/1.1 {status} {REASON_PHRASES[status]}\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\nConnection: close\r\n\r\n"
                )
                sock.sendall(head.encode() + data)
            except OSError as error:
                self.log("ops-lost", str(error))

    def handle_request(self, sock: socket.socket) -> tuple[int, Any]:
        """Read one request and return the status and the body of its answer."""
        request, size = RequestParser(), 0
        try:
            while not request.done:
                data = sock.recv(READ_BYTES)
                size += len(data)
                if not data or size > self.limits.header_bytes:
                    return 400, {"error": "not a whole request"}
                request.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            return 400, {"error": "not HTTP"}
        path, _, query = request.path.partition("?")
        if path not in ROUTES:
            return 404, {"error": "no such path"}
        method = ROUTES[path].method
        if request.parser.get_method() != method.encode():
            return 405, {"error": f"{method} is wanted"}
        return self.handler(method, path, dict(parse_qsl(query)))
