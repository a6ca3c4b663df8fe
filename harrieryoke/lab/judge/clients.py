"""The clients of a play, on real sockets: loud ones, steady ones, and those that connect for each call."""

from __future__ import annotations

import random
import sys
from itertools import count, cycle

import gevent
import msgspec
from gevent import socket

from ...core.clock import now_ms
from . import lines
from .records import EARNING_MS, HANG_MS, LOST_AFTER_MS, ClientRecord
from .scenario import Leaving, Loud, Reading, Steady

CONNECT_TIMEOUT_S = 5.0
RECONNECT_S = 0.05
PAUSE_READING_S = 0.4  # well within the time after which an invoker may end the connection
STAY_S = 1.5  # of a loud client that leaves
RECEIVE_BYTES = 65536
RESET_AT_CLOSE = b"\1\0\0\0\0\0\0\0"  # struct linger
BUDGETS_MS = (530.0, 600.0, 690.0, 800.0, 920.0)
LOUD_SEED_STEP = 1_000_000  # between the loud clients of a play
KEYED_EACH = 3  # one in so many steady calls is keyed


class Answer(msgspec.Struct):
    """One line of the invoker."""

    id: int | None = None
    error: lines.ErrorBody | None = None


class Connection:
    """A connection with the calls that are open on it."""

    def __init__(self, address: tuple[str, int], record: ClientRecord) -> None:
        self.sock = socket.create_connection(address, CONNECT_TIMEOUT_S)
        self.sock.settimeout(None)
        self.record = record
        self.open: dict[int, tuple[float, float]] = {}  # id -> when it was written whole, and its budget
        self.answered: set[int] = set()
        self.ended = False  # by the invoker
        record.connections += 1

    def write(self, batch: list[lines.Line], budget: float) -> None:
        """Write lines; a call is open once its last byte was accepted. Raises OSError."""
        data = b"".join(line.data for line in batch)
        ends, written = [], 0
        for line in batch:
            written += len(line.data)
            ends.append((written, line.id))
        accepted, position, view = 0, 0, memoryview(data)
        while accepted < len(data):
            accepted += self.sock.send(view[accepted:])
            now = now_ms()
            while position < len(ends) and ends[position][0] <= accepted:
                id = ends[position][1]
                position += 1
                if id is not None and id not in self.answered:
                    self.open[id] = (now, budget)

    def read(self, reading: Reading) -> None:
        """Take answers until the invoker ends the connection."""
        partial = b""
        try:
            while True:
                if reading is Reading.PAUSING:
                    gevent.sleep(PAUSE_READING_S)
                if not (data := self.sock.recv(RECEIVE_BYTES)):
                    break
                *complete, partial = (partial + data).split(b"\n")
                for line in complete:
                    self.take_answer(line)
        except OSError:
            pass
        self.end()

    def take_answer(self, line: bytes) -> None:
        answer: Answer = msgspec.json.decode(line, type=Answer)
        now = now_ms()
        if answer.id is None:
            return
        self.record.doubled += answer.id in self.answered
        self.answered.add(answer.id)
        sent_at, budget = self.open.pop(answer.id, (now, lines.BUDGET_MS))
        if answer.error is not None:
            refused = answer.error.code == lines.REFUSED
            self.record.refused += refused
            self.record.failed += not refused
        else:
            self.record.served += 1
            self.record.latencies_ms.append(now - sent_at)
        if now - sent_at > budget + LOST_AFTER_MS:
            self.record.overdue += 1
        else:
            self.record.late += now - sent_at > budget + EARNING_MS

    def end(self) -> None:
        """Record that the invoker has ended the connection."""
        if not self.ended:
            self.ended = True
            self.record.add_end([sent_at for sent_at, _ in self.open.values()], now_ms())
            self.open.clear()

    def wait_for_answers(self) -> None:
        """Wait for what is open; what stays open counts as unanswered."""
        until = now_ms() + HANG_MS
        while self.open and not self.ended and now_ms() < until:
            gevent.sleep(0.01)
        self.record.unanswered += len(self.open)
        self.open.clear()


class LoudClient:
    """Sends the lines of `loud` on one connection at a time."""

    def __init__(self, address: tuple[str, int], loud: Loud, seed: int) -> None:
        self.address, self.loud, self.record = address, loud, ClientRecord()
        self.rng, self.ids = random.Random(f"loud {seed}"), count(1)
        self.kinds = cycle(lines.KINDS[name] for name in loud.kinds)

    def run(self, seconds: float) -> None:
        until = now_ms() + seconds * 1000
        while now_ms() < until:
            try:
                self.use_connection(until)
            except OSError:
                gevent.sleep(RECONNECT_S)

    def use_connection(self, until: float) -> None:
        """Send on a new connection until it ends, or its time is over. Raises OSError."""
        connection = Connection(self.address, self.record)
        stays = self.loud.leaving is Leaving.STAYS
        leave_at = until if stays else min(until, now_ms() + STAY_S * 1000)
        reads = self.loud.reading is not Reading.NEVER
        reader = gevent.spawn(connection.read, self.loud.reading) if reads else None
        writer = gevent.spawn(self.send_bursts, connection, leave_at)
        writer.join(timeout=(leave_at - now_ms()) / 1000)
        blocked = not writer.dead
        writer.kill()
        if reads and stays and not blocked:
            connection.wait_for_answers()
        elif not reads and writer.successful() is False:
            self.record.ended += 1
        if reader is not None:
            reader.kill()
        self.leave(connection.sock)

    def send_bursts(self, connection: Connection, until: float) -> None:
        while now_ms() < until and not connection.ended:
            batch = [
                next(self.kinds)(next(self.ids), self.rng, self.rng.randint(1, self.loud.body_bytes))
                for _ in range(self.loud.burst)
            ]
            try:
                connection.write(batch, lines.BUDGET_MS)
            except OSError:
                if self.loud.reading is not Reading.NEVER:
                    gevent.sleep(RECONNECT_S)  # the reader takes what came before the end
                return
            gevent.sleep(self.loud.pause_s)

    def leave(self, sock: socket.socket) -> None:
        """End the connection in the way of the scenario."""
        if self.loud.leaving is Leaving.HALF_CLOSE:
            sock.shutdown(socket.SHUT_WR)
            gevent.sleep(RECONNECT_S)
        elif self.loud.leaving is Leaving.RESET:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
        sock.close()


class SteadyClients:
    """Clients that call at a steady rate, and read at once."""

    def __init__(self, address: tuple[str, int], steady: Steady, seed: int) -> None:
        self.address, self.steady, self.seed = address, steady, seed
        self.kept, self.connecting = ClientRecord(), ClientRecord()

    def run(self, seconds: float) -> None:
        until = now_ms() + seconds * 1000
        greenlets = [gevent.spawn(self.keep_connection, n, until) for n in range(self.steady.clients)]
        greenlets.append(gevent.spawn(self.connect_for_each, until))
        gevent.joinall(greenlets)

    def next_call(self, id: int, rng: random.Random) -> tuple[lines.Line, float]:
        """Return a call and its budget."""
        budget, size = rng.choice(BUDGETS_MS), rng.randint(1, self.steady.body_bytes)
        keyed = rng.randrange(KEYED_EACH) == 0
        return lines.call(id, rng, lines.warm_function(rng), size, budget, keyed), budget

    def keep_connection(self, number: int, until: float) -> None:
        """Call on one connection, and on a new one after its end."""
        rng = random.Random(f"steady {self.seed} {number}")
        while now_ms() < until:
            try:
                self.use_connection(rng, until)
            except OSError:
                gevent.sleep(RECONNECT_S)

    def use_connection(self, rng: random.Random, until: float) -> None:
        connection = Connection(self.address, self.kept)
        reader = gevent.spawn(connection.read, Reading.ALWAYS)
        for id in count(1):
            if now_ms() >= until or connection.ended:
                break
            line, budget = self.next_call(id, rng)
            try:
                connection.write([line], budget)
            except OSError:
                break  # the reader takes what came before the end
            gevent.sleep(rng.uniform(0.5, 1.5) / self.steady.rate_s)
        if not connection.ended:
            connection.wait_for_answers()
        reader.kill()
        connection.sock.close()

    def connect_for_each(self, until: float) -> None:
        rng = random.Random(f"connecting {self.seed}")
        calls = []
        while self.steady.connecting_rate_s and now_ms() < until:
            calls.append(gevent.spawn(self.connect_once, random.Random(rng.random())))
            gevent.sleep(1 / self.steady.connecting_rate_s)
        gevent.joinall(calls)

    def connect_once(self, rng: random.Random) -> None:
        """Make one call on a connection of its own."""
        line, budget = self.next_call(1, rng)
        try:
            connection = Connection(self.address, self.connecting)
            reader = gevent.spawn(connection.read, Reading.ALWAYS)
            connection.write([line], budget)
        except OSError:
            self.connecting.unanswered += 1
            return
        connection.wait_for_answers()
        reader.kill()
        connection.sock.close()


def run_loud(order: LoudOrder) -> ClientRecord:
    """Run the loud clients; return what they report in all."""
    seeds = [order.seed + LOUD_SEED_STEP * n for n in range(order.loud.clients)]
    clients = [LoudClient(order.address, order.loud, seed) for seed in seeds]
    gevent.joinall([gevent.spawn(client.run, order.seconds) for client in clients], raise_error=True)
    record = ClientRecord()
    for client in clients:
        record.add(client.record)
    return record


def main() -> None:
    """Run the part that the first argument names; the second holds its parameters as JSON."""
    part, parameters = sys.argv[1], sys.argv[2]
    print("started", flush=True)
    if part == "loud":
        order: LoudOrder = msgspec.json.decode(parameters, type=LoudOrder)
        records = [run_loud(order)]
    else:
        steady_order: SteadyOrder = msgspec.json.decode(parameters, type=SteadyOrder)
        steady = SteadyClients(steady_order.address, steady_order.steady, steady_order.seed)
        steady.run(steady_order.seconds)
        records = [steady.kept, steady.connecting]
    print(msgspec.json.encode(records).decode(), flush=True)


class LoudOrder(msgspec.Struct):
    """Parameters of the part `loud`."""

    address: tuple[str, int]
    loud: Loud
    seed: int
    seconds: float


class SteadyOrder(msgspec.Struct):
    """Parameters of the part `steady`."""

    address: tuple[str, int]
    steady: Steady
    seed: int
    seconds: float


if __name__ == "__main__":
    main()
