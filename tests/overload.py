"""Overload on real processes: model hosts, crowds of clients and one invoker.

`Play` starts the parts, calls as one usual client does, and tells what that client got, the invoker's peak of
memory, and how the clients of the crowd fared. The crowd and the hosts are run by `python -m tests.overload`.
"""

from __future__ import annotations

import base64
import contextlib
import json
import os
import random
import subprocess
import sys
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, cast

import gevent
from gevent import socket
from gevent.event import Event
from gevent.lock import RLock
from gevent.server import StreamServer

from harrieryoke.core.clock import now_ms
from harrieryoke.lab.hosts import EmulatedBus
from harrieryoke.net import frames

from .kernel_memory import kernel_bytes
from .scenario import ROOT, SETTINGS, free_address

HOSTS = 6
USUAL_RATE_S = 20.0
WORK_S, LOAD_S = 0.02, 0.2
FUNCTIONS = 16
LONG_ANSWER_BYTES = 230_000
CONNECT_TIMEOUT_S = 5.0
BUDGET_MS = 3500.0
LATE_ANSWER_MS = 500.0  # after its time an answer earns nothing, later it counts as lost
LOST, LATE = "lost: the connection ended", "lost: answered late"
WATCH_S = 0.15
END_S = 0.5  # for the clients of a crowd to end
ANSWER_WITHIN_MS = 3000.0  # a bad client is owed a refusal, an error or a close within this time


def call_line(
    id: int,
    rng: random.Random,
    answer_bytes: int = 0,
    budget: float = BUDGET_MS,
    size: int = 300,
    **params: Any,
) -> bytes:
    """Return a call for an answer of that size; its function is one of FUNCTIONS, or of `params`."""
    all_params: dict[str, Any] = {
        "rid": f"{rng.getrandbits(64):016x}",
        "budget": budget,
        "obj": f"{rng.randrange(FUNCTIONS):08x}{answer_bytes:08x}",
        "props": "memory_mb:512;lanes:8;load_ms:500",
        "blob": base64.b64encode(b"b" * size).decode(),
    } | params
    method = "harvest-log" if "token" in all_params else "weight-read"
    return json.dumps({"jsonrpc": "2.0", "id": id, "method": method, "params": all_params}).encode() + b"\n"


# --- model hosts ---


class Host:
    """A model host that loads functions on order and answers with as many bytes as the function names."""

    def __init__(self, number: int, arrivals: list[tuple[float, str, int]]) -> None:
        self.number, self.arrivals = number, arrivals
        self.locks: dict[Any, RLock] = {}  # writers of one connection take turns
        self.loaded: set[str] = set()
        self.server = StreamServer(("127.0.0.1", 0), self.serve, backlog=512)
        self.server.start()

    def entry(self) -> dict[str, Any]:
        place = {"zone": "hall-a", "kind": "std-4", "cell": self.number % 2}
        address = f"127.0.0.1:{self.server.server_port}"
        return {"id": f"h{self.number}", "addr": address, "state": "active", "weight": 1} | place

    def serve(self, sock: Any, _: object) -> None:
        decoder, self.locks[sock] = frames.Decoder(1 << 20, frames.TO_HOST), RLock()
        try:
            while data := sock.recv(65536):
                for frame in decoder.feed(data):
                    self.handle(sock, frame)
        except OSError:
            pass
        del self.locks[sock]

    def handle(self, sock: Any, frame: frames.Frame) -> None:
        if frame.code == frames.REQUEST:
            if frame.fields["asset"] not in self.loaded:
                return self.answer(sock, frames.MISS, frame.id, {})
            self.arrivals.append((now_ms(), f"{frame.id:016x}", self.number))
            size = int(frame.fields["asset"][8:], 16)
            slow = 2.5 if size == LONG_ANSWER_BYTES else WORK_S
            gevent.spawn_later(slow, self.answer, sock, frames.OK, frame.id, {"n": "w"}, b"y" * size)
        elif frame.code == frames.HOLD:
            gevent.spawn_later(LOAD_S, self.load, sock, frame)

    def load(self, sock: Any, frame: frames.Frame) -> None:
        if frame.fields["pods"] != "0":
            self.loaded.add(frame.fields["asset"])
        pods = int(frame.fields["asset"] in self.loaded)
        self.answer(sock, frames.OK, frame.id, {"pods": str(pods)})

    def answer(self, sock: Any, code: int, id: int, fields: dict[str, str], body: bytes = b"") -> None:
        with contextlib.suppress(OSError, KeyError), self.locks[sock]:
            sock.sendall(frames.encode(code, id, fields, body, frames.FROM_HOST))


def run_hosts() -> None:
    """Run the hosts and the event bus; print their addresses and, at the end of the input, when which request
    arrived where."""
    arrivals: list[tuple[float, str, int]] = []
    bus = EmulatedBus()
    known = bus.initial_events([Host(number, arrivals).entry() for number in range(HOSTS)])
    print(json.dumps({"bus": bus.address(), "known": known}), flush=True)
    gevent.get_hub().threadpool.apply(sys.stdin.read)
    print(json.dumps(arrivals), flush=True)


# --- the crowd ---


@dataclass(slots=True)
class CrowdResult:
    """`unanswered` connections got no answer and no close in time; `left` has request ids and when their
    client left."""

    connections: int = 0
    unanswered: int = 0
    answers: int = 0
    left: dict[str, float] = field(default_factory=dict)


def half_request(sock: socket.socket, rng: random.Random) -> Iterator[None]:
    """A request of 60 KB that stops half way; then a byte now and then."""
    sock.sendall(b'{"jsonrpc":"2.0","id":1,"method":"weight-read","params":{"blob":"' + b"A" * 60_000)
    while True:
        gevent.sleep(0.2 + 0.2 * rng.random())
        sock.sendall(b"A")
        yield


def short_lines(sock: socket.socket, rng: random.Random) -> Iterator[None]:
    """Blocks of 10,000 lines of a few bytes that are no requests."""
    while True:
        sock.sendall(b"".join(b"%d\n" % rng.randrange(1000, 100_000) for _ in range(10_000)))
        yield


def unread_answers(sock: socket.socket, rng: random.Random) -> Iterator[None]:
    """As many large requests as may be open, for large answers that are never read."""
    sock.sendall(b"".join(call_line(n, rng, 16_000, size=16_000) for n in range(1, 33)))
    while True:
        gevent.sleep(1)
        yield


def long_answers(sock: socket.socket, rng: random.Random) -> Iterator[None]:
    """Requests of which one in four has a long answer."""
    for id in range(1, 1_000_000, 16):
        lines = (call_line(n, rng, LONG_ANSWER_BYTES if n % 4 == 0 else 64) for n in range(id, id + 16))
        sock.sendall(b"".join(lines))
        gevent.sleep(4)
        yield


def many_props(sock: socket.socket, rng: random.Random) -> Iterator[None]:
    """Requests with thousands of further figures, under new names each second."""
    for id in range(1, 1_000_000):
        props = ";".join(f"{rng.getrandbits(32):x}:1" for _ in range(5000))
        sock.sendall(call_line(id, rng, props=props))
        gevent.sleep(1)
        yield


def unsound_lines(sock: socket.socket, rng: random.Random) -> Iterator[None]:
    """Unsound lines, unknown methods and calls of ever new functions, as fast as they are taken."""
    for id in range(1, 100_000_000, 2):
        unknown = b'{"jsonrpc":"2.0","id":%d,"method":"m%x","params":{}}\n' % (id, rng.getrandbits(40))
        sock.sendall(b"{]\n" + unknown + call_line(id + 1, rng, obj=f"{rng.getrandbits(31):08x}00000000"))
        yield


def withdrawn_calls(sock: socket.socket, rng: random.Random) -> Iterator[None]:
    """Keyed calls of ever new functions and keys, of which seven of eight are given up at once, the eighth
    a little later."""
    for id in range(1, 100_000_000):
        function, key = f"{rng.getrandbits(31):08x}00000000", f"{rng.getrandbits(64):x}"
        withdrawn = id if id % 8 else max(0, id - 128)
        give_up = b'{"jsonrpc":"2.0","method":"giveUp","params":{"id":%d}}\n' % withdrawn
        sock.sendall(call_line(id, rng, obj=function, token=key) + give_up)
        yield


def slow_requests(sock: socket.socket, rng: random.Random) -> Iterator[None]:
    """Sound requests of 16 to 53 KB, one after the other, each in pieces with short pauses."""
    for id in range(1, 1_000_000):
        line = call_line(id, rng, size=rng.randrange(12_000, 16_385))
        padding = max(0, rng.randrange(16_000, 53_000) - len(line))
        if padding:
            line = call_line(id, rng, size=12_000, props="p" * padding + ":1")
        while line:
            piece = rng.randrange(1000, 3001)
            sock.sendall(line[:piece])
            line = line[piece:]
            gevent.sleep(0.02 + 0.1 * rng.random())
            yield


def usual_calls(sock: socket.socket, rng: random.Random) -> Iterator[None]:
    """Three calls of 4 KB a second."""
    for id in range(1, 1_000_000):
        sock.sendall(call_line(id, rng, size=3000))
        gevent.sleep(1 / 3)
        yield


BEHAVIOURS: dict[str, Callable[[socket.socket, random.Random], Iterator[None]]] = {
    behaviour.__name__: behaviour
    for behaviour in (
        half_request,
        short_lines,
        unread_answers,
        long_answers,
        many_props,
        unsound_lines,
        withdrawn_calls,
        slow_requests,
        usual_calls,
    )
}
VISITS = "visits"  # each connection shows one of VISIT_KINDS for VISIT_S and ends by a close or a reset
VISIT_KINDS = ("half_request", "short_lines", "unread_answers", "long_answers", "many_props", "slow_requests")
VISIT_S = (1.0, 4.0)
RESET_AT_CLOSE = b"\1\0\0\0\0\0\0\0"  # struct linger
READ_BYTES_S = {"unread_answers": 0, "long_answers": 1_000_000}  # others read all


class CrowdClient:
    """One client of the crowd, which connects again whenever its connection ends."""

    def __init__(self, address: tuple[str, int], kind: str, rng: random.Random, result: CrowdResult) -> None:
        self.address, self.kind, self.rng, self.result = address, kind, rng, result
        self.visits = kind == VISITS

    def run(self) -> None:
        while True:
            gevent.sleep(self.rng.random() * 0.2)
            try:
                with socket.create_connection(self.address, CONNECT_TIMEOUT_S) as sock:
                    self.visit(sock) if self.visits else self.use(sock)
            except OSError:
                pass

    def visit(self, sock: socket.socket) -> None:
        """Use the connection in one of several ways for a short time."""
        self.kind = self.rng.choice(VISIT_KINDS)
        with gevent.Timeout(self.rng.uniform(*VISIT_S), False):
            self.use(sock)
        if self.rng.random() < 0.5:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)

    def use(self, sock: socket.socket) -> None:
        sock.settimeout(None)
        connected_at, first_answer = now_ms(), Event()
        reader = gevent.spawn(self.read, sock, first_answer)
        self.result.connections += 1
        try:
            for _ in BEHAVIOURS[self.kind](sock, self.rng):
                gevent.sleep(0)
                if reader.dead:
                    return
        finally:
            reader.kill()
            self.result.unanswered += now_ms() - connected_at > ANSWER_WITHIN_MS and not first_answer.is_set()

    def read(self, sock: socket.socket, first_answer: Event) -> None:
        rate = READ_BYTES_S.get(self.kind)
        try:
            while data := sock.recv(65536, 0 if rate != 0 else socket.MSG_PEEK):
                first_answer.set()
                if rate == 0:
                    gevent.sleep(0.2)
                    continue
                self.result.answers += data.count(b"\n")
                gevent.sleep(len(data) / rate if rate else 0)
        except OSError:
            pass
        first_answer.set()


def leave_with_unread(address: tuple[str, int], how: str, rng: random.Random, result: CrowdResult) -> None:
    """Write 120 keyed requests at once and leave shortly afterwards."""
    sock = socket.create_connection(address, CONNECT_TIMEOUT_S)
    lines = [call_line(id, rng, size=3000, token=f"{rng.getrandbits(64):x}") for id in range(1, 121)]
    ids = [json.loads(line)["params"]["rid"] for line in lines]
    sock.settimeout(None)
    sock.sendall(b"".join(lines))
    gevent.sleep(rng.random() * 0.15)
    if how == "resets":
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
    if how == "half-closes":
        sock.shutdown(socket.SHUT_WR)
    else:
        sock.close()
    result.left |= dict.fromkeys(ids, now_ms())
    gevent.sleep(1.0)
    sock.close()


def run_crowd(kind: str, count: int, seconds: float, host: str, port: str, seed: int) -> None:
    """Run the crowd and print its result."""
    result, rng, address = CrowdResult(), random.Random(seed), (host, int(port))
    print("started", flush=True)
    if kind in ("closes", "resets", "half-closes"):
        for _ in range(4):
            gevent.joinall(
                [gevent.spawn(leave_with_unread, address, kind, rng, result) for _ in range(count)]
            )
    else:
        clients = [CrowdClient(address, kind, random.Random(rng.random()), result) for _ in range(count)]
        greenlets = [gevent.spawn(client.run) for client in clients]
        gevent.sleep(seconds)
        gevent.killall(greenlets, block=False)
        gevent.sleep(END_S)
    names = ("connections", "unanswered", "answers", "left")
    print(json.dumps({name: getattr(result, name) for name in names}), flush=True)


# --- the play ---


@dataclass(slots=True)
class UsualClient:
    """Calls at a steady rate, each time on a new connection, and records the ends of its calls."""

    address: tuple[str, int]
    outcomes: list[str] = field(default_factory=list)  # one for each call
    latencies: list[float] = field(default_factory=list)  # of the served ones

    def run(self, seconds: float) -> None:
        rng, until, calls = random.Random(0), now_ms() + seconds * 1000, []
        while now_ms() < until:
            calls.append(gevent.spawn(self.call, rng))
            gevent.sleep(1 / USUAL_RATE_S)
        gevent.joinall(calls, timeout=6)

    def warm_up(self) -> None:
        """Have copies of most functions loaded, and forget the calls that did it."""
        self.run(2 * FUNCTIONS / USUAL_RATE_S)
        self.outcomes.clear()
        self.latencies.clear()

    def call(self, rng: random.Random) -> None:
        started, outcome = now_ms(), "unanswered"
        try:
            with gevent.Timeout(4.0, TimeoutError), socket.create_connection(self.address) as sock:
                sock.sendall(call_line(1, rng))
                answer = json.loads(sock.makefile("rb").readline())
                outcome = "served" if "result" in answer else str(answer["error"]["message"])
        except (OSError, ValueError) as error:
            outcome = f"lost: {error}"
        self.outcomes.append(outcome)
        if outcome == "served":
            self.latencies.append(now_ms() - started)

    def latency(self, share: float) -> float:
        ordered = sorted(self.latencies)
        return ordered[int(share * (len(ordered) - 1))] if ordered else float("inf")


@dataclass(slots=True)
class SteadyClient:
    """Calls at a steady rate on one connection, and on a new one after its end."""

    address: tuple[str, int]
    seed: int
    outcomes: list[str] = field(default_factory=list)  # one for each call whose time is up
    open: dict[int, float] = field(default_factory=dict)  # ids of open calls and when they were sent
    latencies: list[float] = field(default_factory=list)  # of the served ones

    def run(self, seconds: float) -> None:
        rng, until, id = random.Random(f"steady {self.seed}"), now_ms() + seconds * 1000, 0
        while now_ms() < until:
            try:
                with socket.create_connection(self.address, CONNECT_TIMEOUT_S) as sock:
                    reader = gevent.spawn(self.read, sock)
                    while now_ms() < until and not reader.dead:
                        id += 1
                        self.open[id] = now_ms()
                        sock.sendall(call_line(id, rng))
                        gevent.sleep(1 / USUAL_RATE_S)
                    if not reader.dead:
                        reader.join(timeout=4.0 if self.open else 0)
                    reader.kill()
            except OSError:
                pass
            self.outcomes += [LOST] * len(self.open)
            self.open.clear()
            gevent.sleep(0.05)

    def read(self, sock: socket.socket) -> None:
        with contextlib.suppress(OSError):
            for line in sock.makefile("rb"):
                answer = json.loads(line)
                waited = now_ms() - self.open.pop(answer["id"], 0.0)
                outcome = "served" if "result" in answer else str(answer["error"]["message"])
                self.outcomes.append(outcome if waited <= BUDGET_MS + LATE_ANSWER_MS else LATE)
                if outcome == "served":
                    self.latencies.append(waited)


@dataclass(slots=True)
class Peaks:
    """Largest sizes that were seen, in MB; `both` is of one moment."""

    resident: float = 0.0
    kernel: float = 0.0
    both: float = 0.0
    descriptors: int = 0

    def update(self, resident: float, kernel: float, descriptors: int) -> None:
        self.resident, self.kernel = max(self.resident, resident), max(self.kernel, kernel)
        self.both = max(self.both, resident + kernel)
        self.descriptors = max(self.descriptors, descriptors)


class Play:
    """One invoker with the command of the deploy file, its model hosts and its clients."""

    def __init__(
        self, folder: Path, memory_mb: int = 192, sockets: int = 1024, upgradable: bool = False
    ) -> None:
        self.folder, self.crowds = folder, list[subprocess.Popen[str]]()
        self.hosts = self.start_part("hosts")
        discovery = json.loads(cast(Any, self.hosts.stdout).readline())
        self.address, self.management = free_address(), free_address()
        config = {
            "name": "n0",
            "listen": self.address,
            "management": self.management,
            "seed": "1",
            "limits": {"memory_mb": memory_mb, "sockets": sockets},
            "settings": SETTINGS | {"extra": SETTINGS["extra"] | {"kind-memory-mb": [160000]}},
        } | discovery
        (folder / "config.json").write_text(json.dumps(config))
        with open(folder / "log", "w") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-B", "-m", "harrieryoke"],
                env=os.environ
                | {"RELAY_CONFIG": str(folder / "config.json")}
                | ({"TMPDIR": str(folder)} if upgradable else {}),
                cwd=ROOT,
                stderr=log,
            )
        while "started" not in self.log():
            assert self.process.poll() is None, self.log()
            gevent.sleep(0.02)
        host, _, port = self.address.partition(":")
        self.usual = UsualClient((host, int(port)))
        self.usual.warm_up()

    def start_part(self, *words: object) -> subprocess.Popen[str]:
        """Start a part of the play in a process of its own."""
        command = [sys.executable, "-m", "tests.overload", *map(str, words)]
        return subprocess.Popen(
            command,
            cwd=ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
            start_new_session=False,
        )

    def start_crowd(self, kind: str, count: int, seconds: float, seed: int = 1) -> None:
        crowd = self.start_part("crowd", kind, count, seconds, *self.usual.address, seed)
        self.crowds.append(crowd)
        cast(Any, crowd.stdout).readline()  # it has started

    def watch_memory(self) -> Peaks:
        """Look at the memory of the process, and at that of the kernel for it, until it ends."""
        peaks = Peaks()

        def watch() -> None:
            with contextlib.suppress(OSError, IndexError):
                while self.process.poll() is None:
                    peaks.update(*self.sizes_of(self.process))
                    gevent.sleep(WATCH_S)

        gevent.spawn(watch)
        return peaks

    def sizes_of(self, process: subprocess.Popen[bytes]) -> tuple[float, float, int]:
        """Return resident memory and the kernel's buffers in MB, and descriptors. Raises OSError."""
        kernel = kernel_bytes(process.pid, self.usual.address[1]) / 2**20
        status = Path(f"/proc/{process.pid}/status").read_text()
        resident = int(status.partition("VmRSS:")[2].split()[0]) / 1024
        return resident, kernel, len(os.listdir(f"/proc/{process.pid}/fd"))

    def log(self) -> str:
        return (self.folder / "log").read_text()

    def memory_mb(self, key: str = "VmHWM") -> float:
        """Return the invoker's peak of resident memory, or another figure of its status."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(status.partition(f"{key}:")[2].split()[0]) / 1024

    def figures(self) -> dict[str, float]:
        host, _, port = self.management.partition(":")
        with socket.create_connection((host, int(port)), 5) as sock:
            sock.sendall(b"show-memory\n")
            lines = sock.makefile().read().splitlines()[:-1]
        return {name: float(value) for name, value in (line.rsplit(" ", 1) for line in lines)}

    def crowd_results(self) -> list[CrowdResult]:
        outputs = [gevent.get_hub().threadpool.apply(c.communicate)[0] for c in self.crowds]
        return [CrowdResult(**json.loads(output)) for output in outputs]

    def arrivals(self) -> list[tuple[float, str, int]]:
        """End the model hosts; return when which request arrived at which of them."""
        return [tuple(a) for a in json.loads(self.hosts.communicate()[0])]

    def close(self) -> None:
        processes: list[subprocess.Popen[Any]] = [self.process, self.hosts, *self.crowds]
        for process in processes:
            process.kill()
            process.wait()
        assert " end-fault " not in self.log()


def main() -> None:
    part, *words = sys.argv[1:]
    if part == "hosts":
        return run_hosts()
    kind, count, seconds, host, port, seed = words
    return run_crowd(kind, int(count), float(seconds), host, port, int(seed))


if __name__ == "__main__":
    main()
