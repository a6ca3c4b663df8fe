"""The scenario language: a real invoker in its own process, and the parties it talks to, played by the test.

A scenario is text, one step a line; what a step has received from a party is consumed.

    send PARTY WORDS     the party sends a message      expect PARTY WORDS   the next message it gets is this
    close PARTY          close its connection           wait WORDS           until the invoker's log has them
    get ADDRESS METHOD PATH STATUS                      one HTTP request of an operator

Parties: `c...` clients, `m...` operators, `h...` model hosts, `bus` and `bus2`, `broker`, `config` (its
file), `clock` (its wall clock: `send clock MS` steps it, back where negative), `calls` (its system calls:
`send calls fail socket ENOBUFS [name=value ...]`, `send calls clear`), and `node` (the process: `send node
TERM`, `expect node exit 0`). A scenario shows that no message is sent by the next one it expects.
"""

from __future__ import annotations

import base64
import copy
import json
import os
import shlex
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import AbstractContextManager, contextmanager
from itertools import count
from pathlib import Path
from typing import Any, TypeVar

from harrieryoke.net import frames

from .broker import Broker, Publication, until
from .faults.shim import FaultShim

ROOT = Path(__file__).parent.parent
QUIET_S = 0.3  # in which all that is under way arrives
TIMEOUT_S = 20.0  # until a step that should succeed at once counts as failed
FUNCTION = "7f3a9c21e0b4d655"
SETTINGS: dict[str, Any] = {
    "classes": [
        {"name": "weight-read", "goal-time": 1000, "hard-limit": 4000, "repeat": "repeatable", "value": 2},
        {
            "name": "harvest-log",
            "goal-time": 750,
            "hard-limit": 3000,
            "repeat": "by_key",
            "value": 3,
            "dedup-scope": "cell",
            "repeat-window": 6000,
        },
    ],
    "ceilings": {
        "cancel": True,
        "max-attempts": 5,
        "dial-timeout": 250,
        "retry-after": True,
        "max-retry-after": 500,
        "conn-idle": 30000,
    },
    "obligations": {
        "answer-slack": 8,
        "cold": 14000,
        "cold-share": 0.15,
        "drain-grace": 1000,
        "fall-multiple": 4,
        "overload-for": 3000,
    },
    "extra": {
        "orders": True,
        "stays-loaded": 8100,
        "order-limit": 10000,
        "load-window": 5000,
        "load-floor": 6,
        "load-share": 0.3,
        "kind-memory-mb": [16000],
        "warm-notes": True,
        "says-company": True,
    },
    "realms": [{"name": "coop-kef", "allowance-per-s": 100}],
    "flavors": ["std-4"],
    "zones": ["hall-a"],
    "period": 2,
    "siblings": 1,
    "load-report": {"fields": ["concurrent", "depth", "x1"]},
}
ADDRESSES = count()
FRAME_CODES = {
    name: getattr(frames, name.upper().replace("-", "_"))
    for name in ("request", "give-up", "hold", "unload", "ok", "miss", "full", "error", "over")
}


def own_host() -> str:
    """Return a loopback host that no other test of any run uses, and no outgoing connection."""
    pid = os.getpid()
    return f"127.{64 + (pid >> 8) % 128}.{pid % 256}.{1 + next(ADDRESSES) % 254}"


def listener() -> socket.socket:
    sock = socket.create_server((own_host(), 0))
    sock.settimeout(TIMEOUT_S)
    return sock


def where(sock: socket.socket) -> str:
    host, port = sock.getsockname()[:2]
    return f"{host}:{port}"


def free_address() -> str:
    """Return an address for a process of the test to listen at.

    Its loopback host is used by this call alone: no other test, also of a concurrent run, and no outgoing
    connection takes it before the process binds.
    """
    with socket.create_server((own_host(), 0)) as sock:
        return where(sock)


class Party:
    """A peer of the invoker: its listener, if it has one, and its newest connection."""

    def __init__(self, listening: socket.socket | None = None, sock: socket.socket | None = None) -> None:
        self.listening, self.connection, self.buffer = listening, sock, b""
        self.peer: tuple[str, int] | None = None  # the other end of the connection that was accepted last
        self.decoder, self.unread_frames = frames.Decoder(1 << 20, frames.TO_HOST), list[frames.Frame]()
        self.last_ids: dict[int, int] = {}  # code -> id of the newest frame

    def address(self) -> str:
        assert self.listening is not None
        return where(self.listening)

    def sock(self) -> socket.socket:
        if self.connection is None:
            assert self.listening is not None
            self.connection, self.peer = self.listening.accept()
            self.connection.settimeout(TIMEOUT_S)
            self.buffer, self.decoder = b"", frames.Decoder(1 << 20, frames.TO_HOST)
        return self.connection

    def line(self) -> str:
        """Return the next line, or '' at the end of the connection."""
        while b"\n" not in self.buffer:
            try:
                data = self.sock().recv(65536)
            except ConnectionResetError:  # closed while some of our bytes were unread
                data = b""
            if not data:
                return ""
            self.buffer += data
        line, _, self.buffer = self.buffer.partition(b"\n")
        return line.decode()

    def frame(self) -> frames.Frame | None:
        """Return the next frame, or None at the end of the connection."""
        while not self.unread_frames:
            data = self.sock().recv(65536)
            if not data:
                return None
            self.unread_frames += self.decoder.feed(data)
        self.last_ids[self.unread_frames[0].code] = self.unread_frames[0].id
        return self.unread_frames.pop(0)

    def close(self) -> None:
        self.sock().close()
        self.connection = None


S = TypeVar("S", bound="Scene")


class Scene:
    """One invoker and its peers; plays the steps of a scenario in order."""

    def __init__(
        self,
        folder: Path,
        hosts: int = 1,
        operator: str = "",
        broker: Broker | None = None,
        window: int = 6000,
        settings: dict[str, Any] | None = None,
        shim: FaultShim | None = None,
        upgradable: bool = False,
    ) -> None:
        """Start the invoker; one that is `upgradable` hands over to the process of `launch_next`.

        `operator` is TOML in which BROKER stands for the broker's address; `window` is that of keyed classes.
        Hosts have the first zone and flavor of the `settings`, by default SETTINGS.
        """
        self.broker = broker or Broker()
        self.folder, self.parties, self.offset = folder, {b: Party(listener()) for b in ("bus", "bus2")}, 0
        self.hosts = {f"h{n + 1}": Party(listener()) for n in range(hosts)}
        self.parties |= self.hosts
        self.address, self.management = free_address(), free_address()
        if settings is None:
            settings = copy.deepcopy(SETTINGS)
            settings["classes"][1]["repeat-window"] = window
        self.zone, self.flavor = settings["zones"][0], settings["flavors"][0]
        events = [self.event("active", *self.hosts)] if hosts else []
        config: dict[str, Any] = {
            "name": "n0",
            "listen": self.address,
            "management": self.management,
            "seed": "8c1f30d27a5be964",
            "settings": settings,
            "limits": {"memory_mb": 192, "sockets": 1024},
            "bus": self.parties["bus"].address(),
            "known": {"offset": self.offset, "batch": events},
        }
        self.config = config
        self.send_config()
        self.shim = shim
        faults = {} if shim is None else shim.environment()
        env = os.environ | faults | {"RELAY_CONFIG": str(folder / "config.json")}
        if upgradable:
            (folder / "tmp").mkdir()
            env |= {"TMPDIR": str(folder / "tmp")}
        self.environment = env
        self.command = [sys.executable, "-m", "harrieryoke", "serve"]
        if operator:
            operator_text = operator.replace("BROKER", self.broker.address())
            (folder / "operator.toml").write_text(operator_text)
            self.command += ["--operator", str(folder / "operator.toml")]
        (folder / "log").write_text("")  # an earlier scene of the test may have had the folder
        self.process = self.launch(env)
        self.predecessors: list[subprocess.Popen[bytes]] = []
        self.log_position, self.bodies = 0, dict[str, str]()
        self.wait("started")

    def launch(self, env: dict[str, str]) -> subprocess.Popen[bytes]:
        with open(self.folder / "log", "a") as log:
            return subprocess.Popen(self.command, env=env, cwd=ROOT, stderr=log, stdout=log)

    def launch_next(self) -> subprocess.Popen[bytes]:
        """Start an upgrade: a new process beside this one, which is returned. Both write to the log."""
        old, self.management = self.process, free_address()
        self.predecessors.append(old)
        self.process = self.launch(self.environment | {"RELAY_MANAGEMENT": self.management})
        return old

    def send_config(self, *words: str) -> None:
        """Write the configuration file.

        `raw TEXT`, or `KEY=VALUE ...` for new values, where a party stands for its address and an object is
        JSON.
        """
        given = dict(w.split("=", 1) for w in words if words[0] != "raw")
        for key, value in given.items():
            address = self.parties[value].address() if value in self.parties else value
            self.config[key] = json.loads(value) if value.startswith("{") else address
        text = words[1] if words[:1] == ("raw",) else json.dumps(self.config)
        (self.folder / "config.json").write_text(text)

    def event(self, state: str, *names: str) -> dict[str, Any]:
        """Return an event of the bus; `name@other` has the address of another host."""
        self.offset += 1
        servers = [
            {
                "id": name,
                "addr": self.hosts[at or name].address(),
                "zone": self.zone,
                "kind": self.flavor,
                "cell": 0,
                "state": state,
                "weight": 1,
                "started_ms": 0,
            }
            for name, _, at in (n.partition("@") for n in names)
        ]
        topology = {"version": self.offset, "full": False, "servers": servers}
        return {"offset": self.offset, "topology": topology}

    def log(self) -> str:
        return (self.folder / "log").read_text()

    def wait(self, words: str) -> None:
        """Wait until the log contains the words after the end of the previous match."""
        deadline = time.monotonic() + TIMEOUT_S
        while (found_at := self.log().find(words, self.log_position)) < 0:
            assert time.monotonic() < deadline and self.process.poll() is None, f"never logged: {words}"
            time.sleep(0.01)
        self.log_position = found_at + len(words)

    def play(self, text: str) -> None:
        for line in filter(None, map(str.strip, text.splitlines())):
            verb, _, rest = line.partition(" ")
            try:
                if verb == "wait":
                    self.wait(rest)
                elif verb == "get":
                    self.get(*shlex.split(rest))
                else:
                    name, *words = shlex.split(rest)
                    self.step(verb, name, words)
            except (AssertionError, OSError) as error:
                code = self.process.poll()  # None: it still runs
                raise AssertionError(
                    f"at '{line}': {error!r}, exit code {code}\nlog:\n{self.log()}"
                ) from error

    def step(self, verb: str, name: str, words: list[str]) -> None:
        if name == "node":
            return self.node(verb, words)
        if name == "broker":
            return self.talk_to_broker(verb, words)
        if name == "config":
            return self.send_config(*words)
        if name in ("clock", "calls"):
            assert self.shim is not None, "the scene was made without a shim"
            return self.shim.step_clock(float(words[0])) if name == "clock" else self.shim.run_command(words)
        if name not in self.parties and name[0] in "cm":
            host, port = (self.address if name[0] == "c" else self.management).split(":")
            self.parties[name] = Party(sock=socket.create_connection((host, int(port)), TIMEOUT_S))
        party = self.parties[name]
        kind = "bus" if name.startswith("bus") else {"h": "host", "c": "client", "m": "management"}[name[0]]
        if verb == "close":
            return party.close()
        getattr(self, f"{verb}_{kind}")(party, words)

    def node(self, verb: str, words: list[str]) -> None:
        if verb == "send":
            self.process.send_signal(getattr(signal, f"SIG{words[0]}"))
        else:
            assert self.process.wait(TIMEOUT_S) == int(words[1])

    def get(self, address: str, method: str, path: str, status: str) -> None:
        host, port = address.split(":")
        with socket.create_connection((host, int(port)), TIMEOUT_S) as sock:
            sock.sendall(f"{method} {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
            head, _, body = b"".join(iter(lambda: sock.recv(65536), b"")).partition(b"\r\n\r\n")
        self.assert_equal(status, head.split()[1].decode())
        if status == "200":
            self.bodies[path.partition("?")[0]] = body.decode()

    # --- clients ---

    def send_client(self, party: Party, words: list[str]) -> None:
        """`call ID CLASS [name=value ...]`, `giveUp ID`, `probe ID`, `raw TEXT`, or `part TEXT`
        (unterminated)."""
        if words[0] in ("raw", "part"):
            text = words[1].encode() * int((words[2:] or ["1"])[0])
            return party.sock().sendall(text + (b"" if words[0] == "part" else b"\n"))
        message: dict[str, Any] = {"jsonrpc": "2.0", "id": int(words[1]), "method": words[0]}
        if words[0] == "call":
            given = dict(w.split("=", 1) for w in words[3:])
            params: dict[str, Any] = {
                "rid": f"{int(words[1]):016x}",
                "budget": 3500,
                "acct": "coop-kef",
                "obj": FUNCTION,
                "props": "memory_mb:512;lanes:8;load_ms:500",
                "blob": "",
            } | given
            if "body" in params:
                params["blob"] = base64.b64encode(params.pop("body").encode()).decode()
            params["budget"] = float(params["budget"])
            message |= {"method": words[2], "params": params}
        elif words[0] == "giveUp":
            message = {"jsonrpc": "2.0", "method": "giveUp", "params": {"id": message["id"]}}
        party.sock().sendall(json.dumps(message).encode() + b"\n")

    def expect_client(self, party: Party, words: list[str]) -> None:
        """`ID result [BODY]`, `ID error CODE`, `ID healthy`, or `end`; '-' for an id that is null."""
        line = party.line()
        if words == ["end"]:
            return self.assert_equal("", line)
        answer = json.loads(line)
        assert str(answer["id"]) == words[0].replace("-", "None"), answer
        if words[1] == "result":
            self.assert_equal((words[2:] or [""])[0], base64.b64decode(answer["result"]["blob"]).decode())
        elif words[1] == "healthy":
            assert answer["result"] == {"healthy": True}
        else:
            self.assert_equal(words[2], str(answer["error"]["code"]))
            advice = "backoff" in answer["error"].get("data", {}) or "too many" in line
            assert words[2] != "-32050" or advice, answer

    @staticmethod
    def assert_equal(wanted: object, got: object) -> None:
        assert wanted == got, f"wanted {wanted!r}, got {got!r}"

    # --- operators ---

    def send_management(self, party: Party, words: list[str]) -> None:
        """An operation with its arguments, or `part TEXT` for an unterminated line."""
        part = words[0] == "part"
        party.sock().sendall(words[1].encode() if part else " ".join(words).encode() + b"\n")

    def expect_management(self, party: Party, words: list[str]) -> None:
        """The first words of the answer's one line, and then the connection's end; or only `end`."""
        line = party.line() if words != ["end"] else ""
        self.assert_equal(words, line.split()[: len(words)] if line else ["end"])
        self.assert_equal("", party.line())

    def ask(self, call: str) -> list[str]:
        """Return the lines of the answer to one operation."""
        host, port = self.management.split(":")
        with socket.create_connection((host, int(port)), TIMEOUT_S) as sock:
            sock.sendall(call.encode() + b"\n")
            return b"".join(iter(lambda: sock.recv(65536), b"")).decode().splitlines()

    def figures(self) -> dict[str, int]:
        """Return the counters of 'show-stat' by name."""
        *lines, last = self.ask("show-stat")
        self.assert_equal("end", last)
        return {name: int(value) for name, value in (line.rsplit(" ", 1) for line in lines)}

    # --- model hosts ---

    def send_host(self, party: Party, words: list[str]) -> None:
        """`ok|miss|... [of=hold] [body=TEXT] [field=value ...] [then=TEXT] [short=BYTES]` answers the newest
        frame; `raw TEXT`.

        `then` appends text, `short` omits the last bytes.
        """
        if words[0] == "raw":
            return party.sock().sendall(words[1].encode())
        given = dict(w.split("=", 1) for w in words[1:])
        id, body = party.last_ids[FRAME_CODES[given.pop("of", "request")]], given.pop("body", "").encode()
        then, short = given.pop("then", "").encode(), int(given.pop("short", "0"))
        data = frames.encode(FRAME_CODES[words[0]], id, given, body, frames.FROM_HOST) + then
        party.sock().sendall(data[: len(data) - short])

    def expect_host(self, party: Party, words: list[str]) -> None:
        """`request|give-up|hold|unload [body=TEXT] [field=value ...]`, or `end`."""
        frame = party.frame()
        if words == ["end"]:
            assert frame is None, frame
            party.connection = None
            return
        assert frame is not None, f"the connection from {party.peer} ended"
        self.assert_equal(words[0], next(n for n, c in FRAME_CODES.items() if c == frame.code))
        for name, value in (w.split("=", 1) for w in words[1:]):
            self.assert_equal(value, frame.body.decode() if name == "body" else frame.fields.get(name, "-"))

    # --- the MQTT broker ---

    def talk_to_broker(self, verb: str, words: list[str]) -> None:
        """`send broker TOPIC PAYLOAD [response=TOPIC] [correlation=TEXT] [expiry=S] [retain=1] [out=1]
        [lost=1]`; `out` was delivered to an earlier process, `lost` is lost with the connection, after a
        quiet moment, under the identifier of the message before. `expect broker served|refused|failed
        [to=TOPIC] [correlation=TEXT] [body=TEXT]`, `acked N`, `redelivered N`, `end`. Closing it keeps the
        session."""
        broker = self.broker
        if verb == "close":
            return broker.drop()
        given = dict(w.split("=", 1) for w in words[1 if verb == "expect" else 2 :] if "=" in w)
        if verb == "send":
            correlation = given.get("correlation")
            expiry = int(given["expiry"]) if "expiry" in given else None
            publication = Publication(
                words[0],
                words[1].encode(),
                given.get("response"),
                None if correlation is None else correlation.encode(),
                expiry,
                {},
                "retain" in given,
            )
            if "lost" in given:
                quiet_until = time.monotonic() + QUIET_S
                until(lambda: time.monotonic() > quiet_until, broker)
                broker.lose(publication)
            elif "out" in given:
                broker.known, broker.unacked[broker.mid + 1] = True, publication
            else:
                broker.queue.append(publication)
            until(lambda: broker.subscribed and not broker.queue, broker)
        elif words[0] in ("acked", "redelivered"):
            until(lambda: getattr(broker, words[0]) >= int(words[1]), broker)
            self.assert_equal(words[1], str(getattr(broker, words[0])))
        elif words[0] == "end":
            until(lambda: broker.closed_in_order, broker)
        else:
            until(lambda: broker.answers, broker)
            answer = broker.answers.pop(0)
            reply = json.loads(answer.payload)
            self.assert_equal(words[0], reply["outcome"])
            self.assert_equal(given.get("to", answer.topic), answer.topic)
            self.assert_equal(given.get("correlation", ""), (answer.correlation or b"").decode())
            self.assert_equal(given.get("body", ""), base64.b64decode(reply.get("body", "")).decode())

    # --- the event bus ---

    def send_bus(self, party: Party, words: list[str]) -> None:
        """`STATE HOST [HOST ...]`, `raw TEXT`, or `part TEXT` for an unterminated line."""
        is_literal = words[0] in ("raw", "part")
        message = words[1] if is_literal else json.dumps(self.event(words[0], *words[1:]))
        party.sock().sendall(message.encode() + (b"" if words[0] == "part" else b"\n"))

    def expect_bus(self, party: Party, words: list[str]) -> None:
        self.assert_equal("" if words == ["end"] else " ".join(words), party.line())
        party.connection = None if words == ["end"] else party.connection

    def end(self) -> str:
        """Kill the processes that still run; return their log."""
        for process in (self.process, *self.predecessors):
            if process.poll() is None:
                process.kill()
                process.wait()
        for party in self.parties.values():
            for sock in (party.listening, party.connection):
                if sock is not None:
                    sock.close()
        self.broker.drop()
        self.broker.listening.close()
        return self.log()


@contextmanager
def ending(scene: S) -> Iterator[S]:
    """Kill the scene's invoker after the block, and check that it logged no failure of its own."""
    try:
        yield scene
    finally:
        log = scene.end()
    assert not any(kind in log for kind in ("greenlet-died", "module-fault", "end-fault")), log


def invoker(folder: Path, *failing: str, **options: Any) -> AbstractContextManager[Scene]:
    """Return a scene whose invoker started while these calls failed; the test sets further faults."""
    shim = FaultShim(folder)
    for fault in failing:
        shim.run_command(["fail", *fault.split()])
    return ending(Scene(folder, shim=shim, **options))


def run(folder: Path, text: str, bodies: dict[str, str] | None = None, **options: Any) -> str:
    """Play one scenario against a new invoker and return its log; `bodies` receives those of HTTP answers."""
    with ending(Scene(folder, **options)) as scene:
        scene.bodies = {} if bodies is None else bodies
        scene.play(text)
    return scene.log()
