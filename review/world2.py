"""Stand-ins for the second review: clients, model hosts and the event bus, in one process on loopback.

They follow the protocol page; where it is silent they do what a sound party would. The invoker is started as
a process of its own with the command of the deploy file. Everything that is sent, answered and run is written
to `record.txt` of the case.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import random
import signal
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from datetime import UTC, datetime
from pathlib import Path
from typing import Any
from zlib import crc32

ROOT = Path(__file__).resolve().parent.parent
HEAD = struct.Struct(">BBHIQ")
CHECK = struct.Struct(">I")
REQUEST, GIVE_UP, PROBE, PROBE_LOAD, HOLD, UNLOAD = 65, 66, 67, 68, 69, 71
OK, MISS, FULL, ERROR, OVER, HEALTHY, SICK = 97, 99, 100, 101, 102, 103, 104
REFUSED = -32050
BROKEN, HELD, NOT_RUN = 1, 0, 2  # exit codes of a case
CASE_S, HARD_LIMIT_S = 100.0, 110  # for the case, and for all of the script


def exit_not_run(*error: Any) -> None:
    """An error of the script itself must not look like a broken rule, which is Python's own exit code 1."""
    traceback.print_exception(*error)
    sys.stderr.flush()
    os._exit(NOT_RUN)


sys.excepthook = exit_not_run

CLASSES: list[dict[str, Any]] = [
    {
        "name": "weight-read",
        "goal-time": 1000.0,
        "hard-limit": 4000.0,
        "late-worth": 0.2,
        "repeat": "repeatable",
        "dedup-scope": "all",
        "repeat-window": 5000.0,
        "stream": False,
        "value": 2.0,
    },
    {
        "name": "harvest-log",
        "goal-time": 750.0,
        "hard-limit": 3000.0,
        "late-worth": 0.2,
        "repeat": "by_key",
        "dedup-scope": "cell",
        "repeat-window": 6000.0,
        "stream": False,
        "value": 3.0,
    },
]


def make_settings(**changes: Any) -> dict[str, Any]:
    """Return the settings of a small deployment."""
    return {
        "classes": [dict(each) for each in CLASSES],
        "ceilings": {
            "cancel": True,
            "conn-idle": 30000.0,
            "dial-timeout": 250.0,
            "max-attempts": 5,
            "max-retry-after": 500.0,
            "open-cap": 20000,
            "peers": False,
            "probes": True,
            "retry-after": True,
            "second-copies": True,
            "streams-per-conn": 100,
        },
        "obligations": {
            "answer-slack": 8.0,
            "ask-within": 10000.0,
            "cold": 14000.0,
            "cold-share": 0.15,
            "drain-grace": 1000.0,
            "fall-multiple": 4.0,
            "overload-for": 3000.0,
        },
        "extra": {
            "orders": True,
            "on-miss": "miss",
            "order-limit": 10000.0,
            "stays-loaded": 8100.0,
            "load-window": 5000.0,
            "load-floor": 6.0,
            "load-share": 0.3,
            "price-of-idle": 0.0,
            "kind-memory-mb": [16000.0],
            "warm-notes": True,
            "says-company": True,
        },
        "realms": [
            {"name": "coop-sahel", "allowance-per-s": 60.0, "share": 0.5},
            {"name": "coop-kef", "allowance-per-s": 60.0, "share": 0.5},
        ],
        "flavors": ["std-4"],
        "zones": ["hall-a"],
        "zone": 0,
        "period": 2.0,
        "siblings": 2,
        "me": 0,
        "discovery": "pushed",
        "load-report": {"fields": ["concurrent", "depth", "x1"], "how": "inline"},
        "over-share-worth": 0.2,
        "worth-by": "request",
    } | changes


def now() -> float:
    """Return seconds of the clock that all processes of the machine share."""
    return time.monotonic()


def unix_ms() -> float:
    return datetime.now(UTC).timestamp() * 1000


def encode_frame(code: int, id: int, fields: dict[str, str] | None = None, body: bytes = b"") -> bytes:
    head = ",".join(f"{k}={v}" for k, v in (fields or {}).items()).encode()
    return HEAD.pack(108, code, len(head), len(body), id) + head + body + CHECK.pack(crc32(body, crc32(head)))


async def read_frame(reader: asyncio.StreamReader) -> tuple[int, int, dict[str, str], bytes]:
    mark, code, fields_size, body_size, id = HEAD.unpack(await reader.readexactly(HEAD.size))
    head, body = await reader.readexactly(fields_size), await reader.readexactly(body_size)
    (check,) = CHECK.unpack(await reader.readexactly(CHECK.size))
    if mark != 76 or check != crc32(body, crc32(head)):
        raise ValueError("a frame of the invoker can't be read")
    return code, id, dict(pair.split("=", 1) for pair in head.decode().split(",") if pair), body


class Record:
    """The file that tells what was sent, answered and run; times are seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self.file, self.started = open(folder / "record.txt", "w"), now()  # noqa: SIM115

    def __call__(self, text: str) -> None:
        self.file.write(f"{now() - self.started:8.3f} {text}\n")
        self.file.flush()


@dataclass(eq=False)
class Run:
    """One request that arrived whole at a model host."""

    host: Host
    rid: str
    klass: str
    function: str
    key: str | None
    at: float
    body: bytes
    ended: str = ""


@dataclass(eq=False)
class Host:
    """A model host. `silent`: its machine is gone, its open connections stay open and say nothing."""

    world: World
    id: str
    cell: int = 0
    zone: str = "hall-a"
    kind: str = "std-4"
    started_ms: float = 0.0
    work_s: float = 0.15
    load_s: float = 0.6
    holds_all: bool = False  # every function stands loaded
    address: str = ""
    silent: bool = False
    state: str = "active"
    loaded: set[str] = field(default_factory=set)
    loading: dict[str, asyncio.Future[None]] = field(default_factory=dict)
    inflight: int = 0
    writers: set[asyncio.StreamWriter] = field(default_factory=set)
    server: asyncio.Server | None = None
    orders: list[tuple[float, str]] = field(default_factory=list)

    async def listen(self) -> None:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        self.world.at_address[self.address] = self

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve a connection as the host that has this address when it is opened."""
        host = self.world.at_address[self.address]
        host.writers.add(writer)
        open_runs: dict[int, asyncio.Task[None]] = {}
        try:
            while True:
                if host.silent:
                    await asyncio.Event().wait()
                code, id, fields, body = await read_frame(reader)
                if host.silent:
                    continue
                if code == REQUEST:
                    open_runs[id] = self.world.spawn(host.run(writer, id, fields, body))
                elif code == GIVE_UP:
                    self.world.record(f"{host.id} give-up {id:016x}")
                    if id in open_runs:
                        open_runs.pop(id).cancel()
                elif code in (PROBE, PROBE_LOAD):
                    host.answer(writer, HEALTHY if host.state == "active" else SICK, id, {"l": host.load()})
                elif code == HOLD:
                    self.world.spawn(host.hold(writer, id, fields))
                elif code == UNLOAD:
                    host.loaded.discard(f"{id:016x}")
        except (asyncio.IncompleteReadError, ConnectionError, ValueError, asyncio.CancelledError):
            pass
        finally:
            for task in open_runs.values():
                if not host.silent:
                    task.cancel()
            host.writers.discard(writer)
            writer.close()

    def load(self) -> str:
        return f"concurrent:{self.inflight};depth:0;x1:{len(self.loading)}"

    def answer(
        self,
        writer: asyncio.StreamWriter,
        code: int,
        id: int,
        fields: dict[str, str] | None = None,
        body: bytes = b"",
    ) -> None:
        if not self.silent and not writer.is_closing():
            writer.write(encode_frame(code, id, fields, body))

    async def run(self, writer: asyncio.StreamWriter, id: int, fields: dict[str, str], body: bytes) -> None:
        rid, function = f"{id:016x}", fields["asset"]
        run = Run(self, rid, fields["sort"], function, fields.get("op"), now(), body)
        self.world.runs.append(run)
        if not self.holds_all and function not in self.loaded and function not in self.loading:
            run.ended = "miss"
            self.world.record(f"{self.id} request {rid} {run.klass}: miss")
            return self.answer(writer, MISS, id, {"l": self.load()})
        self.world.record(f"{self.id} cell {self.cell} request {rid} {run.klass} key {run.key}: runs")
        self.inflight += 1
        note = "w"
        try:
            if function in self.loading:
                note = "j"
                await self.loading[function]
            await asyncio.sleep(self.work_s * random.uniform(0.8, 1.2))
            run.ended = "ok"
            self.answer(writer, OK, id, {"n": note, "l": self.load()}, self.world.result_of(run))
        except asyncio.CancelledError:
            run.ended = "given up"
        finally:
            self.inflight -= 1

    async def hold(self, writer: asyncio.StreamWriter, id: int, fields: dict[str, str]) -> None:
        function, copies = fields["asset"], int(fields["pods"])
        if copies:
            self.orders.append((now(), function))
            self.world.record(f"{self.id} order {function} {copies}")
        if copies and not self.holds_all and function not in self.loaded:
            if function not in self.loading:
                self.loading[function] = asyncio.get_running_loop().create_future()
                await asyncio.sleep(self.load_s * random.uniform(0.8, 1.2))
                self.loaded.add(function)
                self.loading.pop(function).set_result(None)
            else:
                await self.loading[function]
        stands = self.holds_all or function in self.loaded
        self.answer(writer, OK, id, {"pods": str(int(stands))})

    def entry(self, state: str | None = None) -> dict[str, Any]:
        if state is not None:
            self.state = state
        return {
            "id": self.id,
            "addr": self.address,
            "zone": self.zone,
            "kind": self.kind,
            "cell": self.cell,
            "state": self.state,
            "weight": 1,
            "started_ms": self.started_ms,
        }


class Bus:
    """The event bus: tells all later events, and the last number each second."""

    def __init__(self, world: World) -> None:
        self.world, self.events, self.address = world, list[dict[str, Any]](), ""
        self.changed = asyncio.Event()
        self.server: asyncio.Server | None = None

    async def listen(self) -> None:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    def tell(self, *entries: dict[str, Any], full: bool = False) -> None:
        offset = len(self.events) + 1
        topology = {"version": offset, "full": full, "servers": list(entries)}
        self.events.append({"offset": offset, "topology": topology})
        self.world.record("bus " + ", ".join(f"{e['id']} {e['state']}" for e in entries))
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            told, beat = int((await reader.readline()).split()[1]), now()
            while True:
                for event in self.events[told:]:
                    writer.write(json.dumps(event).encode() + b"\n")
                told, changed = len(self.events), self.changed
                try:
                    await asyncio.wait_for(changed.wait(), max(0.0, beat + 1 - now()))
                except TimeoutError:
                    beat = now()
                    writer.write(b"%d\n" % told)
                await writer.drain()
        except (ConnectionError, IndexError, ValueError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


@dataclass(eq=False)
class Call:
    """A request of a client, its answers, and how it ended."""

    rid: str
    klass: str
    function: str
    key: str | None
    body: bytes
    sent: float
    budget_s: float
    answers: list[tuple[float, dict[str, Any]]] = field(default_factory=list)
    given_up: bool = False
    closed: bool = False

    def outcome(self) -> str:
        if not self.answers:
            return "none"
        answer = self.answers[0][1]
        if "result" in answer:
            return "served"
        return "refused" if answer["error"]["code"] == REFUSED else "failed"


class Client:
    """One connection of a client."""

    def __init__(self, world: World, address: str) -> None:
        self.world, self.address, self.last_id = world, address, 0
        self.open: dict[int, Call] = {}
        self.writer: asyncio.StreamWriter | None = None
        self.ended = False

    async def connect(self) -> Client:
        host, port = self.address.split(":")
        reader, self.writer = await asyncio.open_connection(host, int(port), limit=1 << 24)
        self.world.spawn(self.read(reader))
        return self

    async def read(self, reader: asyncio.StreamReader) -> None:
        try:
            while line := await reader.readline():
                answer = json.loads(line)
                call = self.world.by_answer.get((id(self), answer["id"]))
                if call is None:
                    self.world.record(f"client answer without a call: {line[:200]!r}")
                    continue
                call.answers.append((now(), answer))
                self.open.pop(answer["id"], None)
                self.world.record(f"client answer {call.rid} {call.outcome()} {len(call.answers)}")
        except (ConnectionError, ValueError) as error:
            self.world.record(f"client connection: {error!r}")
        self.ended = True
        for call in self.open.values():
            call.closed = True

    def send(self, klass: str, function: str, budget_s: float = 3.0, body: bytes = b"x", **more: Any) -> Call:
        assert self.writer is not None
        self.last_id += 1
        key = os.urandom(16).hex() if klass == "harvest-log" else None
        call = Call(os.urandom(8).hex(), klass, function, key, body, now(), budget_s)
        params: dict[str, Any] = {
            "rid": call.rid,
            "budget": round(1000 * budget_s),
            "acct": "coop-kef",
            "obj": function,
            "props": "memory_mb:300;lanes:4",
            "blob": base64.b64encode(body).decode(),
        } | more
        if key is not None:
            params["token"] = key
        message = {"jsonrpc": "2.0", "id": self.last_id, "method": klass, "params": params}
        self.writer.write(json.dumps(message).encode() + b"\n")
        self.open[self.last_id] = self.world.by_answer[id(self), self.last_id] = call
        self.world.calls.append(call)
        self.world.record(f"client call {call.rid} {klass} {function} key {key}")
        return call

    def give_up(self, call: Call) -> None:
        number = next((n for n, each in self.open.items() if each is call), None)
        if number is not None and self.writer is not None:
            call.given_up = True
            del self.open[number]
            message = {"jsonrpc": "2.0", "method": "giveUp", "params": {"id": number, "rid": call.rid}}
            self.writer.write(json.dumps(message).encode() + b"\n")


class World:
    """All stand-ins of a case, and the invoker's processes."""

    def __init__(self, folder: Path, settings: dict[str, Any] | None = None) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder, self.record = folder, Record(folder)
        self.settings = settings or make_settings()
        self.temporary = tempfile.TemporaryDirectory()
        self.tmp = Path(self.temporary.name)
        self.at_address: dict[str, Host] = {}
        self.hosts: list[Host] = []
        self.runs: list[Run] = []
        self.calls: list[Call] = []
        self.by_answer: dict[tuple[int, int], Call] = {}
        self.tasks: set[asyncio.Task[Any]] = set()
        self.processes: list[subprocess.Popen[bytes]] = []
        self.bus = Bus(self)
        self.listen_address = ""

    def spawn(self, work: Any) -> asyncio.Task[Any]:
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def result_of(self, run: Run) -> bytes:
        return f"{run.rid} at {run.host.id}".encode()

    async def add_host(self, id: str, **more: Any) -> Host:
        host = Host(self, id, **more)
        if host.address:
            self.at_address[host.address] = host
        else:
            await host.listen()
        self.hosts.append(host)
        return host

    async def free_address(self) -> str:
        server = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        server.close()
        await server.wait_closed()
        return address

    def write_config(self, **more: Any) -> Path:
        path = self.tmp / "config.json"
        config = {
            "name": "n0",
            "listen": self.listen_address,
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "bus": self.bus.address,
            "known": {"offset": len(self.bus.events), "batch": self.bus.events},
            "settings": self.settings,
        } | more
        aside = self.tmp / "config.new"
        aside.write_text(json.dumps(config))
        os.replace(aside, path)
        return path

    async def start_invoker(
        self, management: str = "", operator: str = "", name: str = "invoker", **config: Any
    ) -> subprocess.Popen[bytes]:
        """Start an invoker with the command of the deploy file, and wait until it is healthy."""
        if not self.listen_address:
            self.listen_address = await self.free_address()
        path = self.write_config(**config)
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        if operator:
            (self.tmp / "operator.toml").write_text(operator)
            command += f" serve --operator {self.tmp / 'operator.toml'}"
        environment = os.environ | {
            "RELAY_NAME": "n0",
            "RELAY_LISTEN": self.listen_address,
            "RELAY_CONFIG": str(path),
            "TMPDIR": str(self.tmp),
        }
        if management:
            environment["RELAY_MANAGEMENT"] = management
        log = open(self.tmp / "log", "ab")  # noqa: SIM115
        process = subprocess.Popen(
            ["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        self.processes.append(process)
        self.record(f"{name} started, process {process.pid}")
        return process

    async def wait_healthy(self, timeout_s: float = 10.0) -> None:
        """Wait until the invoker answers `probe`."""
        host, port = self.listen_address.split(":")
        deadline = now() + timeout_s
        while now() < deadline:
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b'{"jsonrpc":"2.0","id":1,"method":"probe"}\n')
                line = await asyncio.wait_for(reader.readline(), 1.0)
                writer.close()
                if b'"healthy":true' in line.replace(b" ", b""):
                    return
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise NotRunError("the invoker did not become healthy")

    async def manage(self, address: str, line: str) -> str:
        host, port = address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(line.encode() + b"\n")
        answer = (await asyncio.wait_for(reader.read(), 3.0)).decode()
        writer.close()
        self.record(f"operator {line}: {answer.strip()[:200]}")
        return answer

    async def client(self) -> Client:
        return await Client(self, self.listen_address).connect()

    async def traffic(
        self, client: Client, klass: str, functions: list[str], per_s: float, for_s: float
    ) -> None:
        """Send calls of random functions at an even pace."""
        until = now() + for_s
        while now() < until:
            if client.ended:
                raise NotRunError("the client's connection has ended")
            client.send(klass, random.choice(functions))
            await asyncio.sleep(1 / per_s)

    def runs_of(self, rid: str) -> list[Run]:
        """Return the attempts of a request that may have run, in order of arrival."""
        return [run for run in self.runs if run.rid == rid and run.ended != "miss"]

    def log_text(self) -> str:
        return (self.tmp / "log").read_text(errors="replace")

    def end(self) -> None:
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
                process.wait()
        with open(self.folder / "record.txt", "a") as record:
            record.write("\n--- log of the invoker ---\n" + self.log_text())
        self.temporary.cleanup()


class NotRunError(Exception):
    """The case could not run."""


def play(case: Callable[[World], Awaitable[list[str]]], folder: str, settings: Any = None) -> None:
    """Play a case, which returns the breaks of its rule, and exit with its code."""

    async def whole() -> int:
        world = World(Path(folder).resolve().parent, settings)
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            await world.bus.listen()
            breaks = await asyncio.wait_for(case(world), CASE_S)
            for each in breaks:
                world.record(f"BROKEN: {each}")
                print(f"broken: {each}")
            world.record(f"{len(breaks)} breaks")
            print(f"{len(breaks)} breaks, {len(world.calls)} calls, trouble {world.trouble}")
            return BROKEN if breaks else HELD
        except (Exception, asyncio.CancelledError) as error:
            world.record(f"not run: {error!r}")
            print(f"not run: {error!r}")
            return NOT_RUN
        finally:
            world.end()
            for task in list(world.tasks):
                task.cancel()

    def too_long(*_: Any) -> None:
        raise TimeoutError(f"not over within {HARD_LIMIT_S} s")

    signal.signal(signal.SIGALRM, too_long)  # also where a call blocks the loop
    signal.alarm(HARD_LIMIT_S)
    sys.exit(asyncio.run(whole()))
