"""The operators' HTTP: health and counters. Off unless the operator's file gives it an address."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any
from urllib.parse import parse_qsl

import gevent
import httptools
import msgspec
from gevent import socket

from .core.actor import spawn
from .limits import Limits
from .log import Log


class OpsSettings(msgspec.Struct, forbid_unknown_fields=True):
    """The operator's [ops] table."""

    listen: str


COUNTERS = {"type": "object", "additionalProperties": {"type": "integer", "minimum": 0}}
HEALTH = {
    "type": "object",
    "required": ["healthy"],
    "additionalProperties": False,
    "properties": {"healthy": {"type": "boolean"}},
}
COUNTS = {
    "type": "object",
    "required": ["requests", "log"],
    "properties": {"requests": COUNTERS, "triggers": COUNTERS, "log": COUNTERS},
}
PLUGINS = {
    "type": "object",
    "required": ["plugins", "by_default"],
    "properties": {
        "plugins": {
            "type": "array",
            "items": {"type": "object", "required": ["name", "serving", "versions"]},
        },
        "by_default": COUNTERS,
        "advice_dropped": COUNTERS,
    },
}
DOOR = {
    "type": "object",
    "required": ["waiting", "inside", "limit", "counts"],
    "properties": {
        "waiting": COUNTERS,
        "inside": {"type": "integer"},
        "counts": COUNTERS,
        "promises": COUNTERS,
    },
}
LEDGER = {"type": "object", "required": ["instance", "epoch", "periods", "totals", "export"]}
COUNCIL = {
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
DONE = {"type": "object"}
BEGUN = {"type": "object", "additionalProperties": {"type": "string"}}
# path -> its method, what it is for, the statuses it answers with, and the schema of the body
ROUTES: dict[str, tuple[str, str, tuple[int, ...], dict[str, Any]]] = {
    "/healthz": ("GET", "whether the invoker takes requests", (200, 503), HEALTH),
    "/counters": ("GET", "requests, triggers and log lines so far, by kind", (200,), COUNTS),
    "/door": ("GET", "fair queues: what waits, what is inside, promises", (200, 404), DOOR),
    "/council": ("GET", "the council: who leads, who votes, who holds which duty", (200, 404), COUNCIL),
    "/ledger": ("GET", "the ledger: periods, totals, what is exported", (200, 404, 503), LEDGER),
    "/ledger/close": ("POST", "close and seal the period of ?period=", (200, 400, 404, 503), DONE),
    "/ledger/correct": (
        "POST",
        "bring ?id= to ?calls=&worth=&took=&held= with a ?reason=",
        (200, 400, 404, 503),
        DONE,
    ),
    "/ledger/reconcile": (
        "POST",
        "reconcile ?period= with the collector; what came of the last ones",
        (200, 400, 404, 503),
        DONE,
    ),
    "/ledger/again": ("POST", "try the batch ?epoch=&batch= that was set aside", (200, 400, 404, 503), DONE),
    "/plugins": ("GET", "plug-ins, their versions and figures", (200, 404), PLUGINS),
    "/plugins/swap": ("POST", "read plug-ins anew: the one of ?name=, or all", (202, 404), BEGUN),
}
REASONS = {
    200: "OK",
    202: "Accepted",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    503: "Service Unavailable",
}


class Request:
    """What httptools finds in one request."""

    def __init__(self) -> None:
        self.parser = httptools.HttpRequestParser(self)
        self.path, self.done = "", False

    def on_url(self, url: bytes) -> None:
        self.path += url.decode("latin-1")

    def on_message_complete(self) -> None:
        self.done = True


Answering = Callable[[str, str, Mapping[str, str]], tuple[int, Any]]  # method, path, query -> status, body


class OpsServer:
    """One connection, one answer: each is a greenlet that asks and shares nothing."""

    def __init__(self, where: tuple[str, int], answer: Answering, limits: Limits, log: Log) -> None:
        self.where, self.respond, self.limits, self.log = where, answer, limits, log

    def start(self) -> None:
        sock = socket.create_server(self.where, backlog=16)
        spawn(self.log, "ops listener", lambda: self.accept(sock))

    def accept(self, listening: socket.socket) -> None:
        while True:
            try:
                sock, _ = listening.accept()
            except OSError as error:
                self.log("accept-failed", f"ops: {error}")
                gevent.sleep(0.05)
                continue
            spawn(self.log, "ops", lambda sock=sock: self.serve(sock))  # type: ignore[misc]

    def serve(self, sock: socket.socket) -> None:
        with sock:
            sock.settimeout(self.limits.write_ms / 1000)
            try:
                status, body = self.read(sock)
                data = msgspec.json.encode(body)
                head = (
                    f"HTTP/1.1 {status} {REASONS[status]}\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\nConnection: close\r\n\r\n"
                )
                sock.sendall(head.encode() + data)
            except OSError as error:
                self.log("ops-lost", str(error))

    def read(self, sock: socket.socket) -> tuple[int, Any]:
        request, size = Request(), 0
        try:
            while not request.done:
                data = sock.recv(4096)
                size += len(data)
                if not data or size > self.limits.header_bytes:
                    return 400, {"error": "not a whole request"}
                request.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            return 400, {"error": "not HTTP"}
        path, _, query = request.path.partition("?")
        if path not in ROUTES:
            return 404, {"error": "no such path"}
        method = ROUTES[path][0]
        if request.parser.get_method() != method.encode():
            return 405, {"error": f"{method} is wanted"}
        return self.respond(method, path, dict(parse_qsl(query)))
