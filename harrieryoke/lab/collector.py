"""An emulated ledger collector with fault injection. It keeps its own counts."""

from __future__ import annotations

import random
from collections import Counter
from contextlib import suppress
from typing import Any

import gevent
from gevent import socket
from gevent.server import StreamServer

from ..council.decide.lease import Fence
from ..ledger.decide.reconcile import ReconcileSession
from ..ledger.wire import codec
from ..ledger.wire.codec import pb
from ..wire.frames import Decoder, WireError, encode


class EmulatedCollector:
    """Stores each batch once, by instance, epoch and number.

    `faults` gives the probability of each fault of a batch: "lose" (stored, but the answer and the connection
    are lost), "drop" (the connection ends before it is stored), "twice" (answered twice), "slow" (answered
    late), "refuse" (refused, may be retried), "never" (refused permanently).
    """

    def __init__(self, rng: random.Random, faults: dict[str, float] | None = None, tls: Any = None) -> None:
        self.rng, self.faults = rng, faults or {}
        self.batches: dict[tuple[str, int, int], pb.Batch] = {}
        self.saved_batches: dict[tuple[str, int, int], pb.Batch] = {}
        self.repaired: dict[str, list[bytes]] = {}
        self.fences: dict[tuple[str, int], Fence] = {}  # by instance and period
        self.hellos: list[pb.Hello] = []
        self.counts: Counter[str] = Counter()
        self.connections: set[Any] = set()
        self.port = 0
        self.tls = tls
        self.server: StreamServer | None = None
        self.listen()

    def listen(self) -> None:
        options = {} if self.tls is None else {"ssl_context": self.tls}
        self.server = StreamServer(("127.0.0.1", self.port), self.serve, **options)
        self.server.start()
        self.port = self.server.server_port

    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    # --- faults ---

    def stop(self) -> None:
        if self.server is not None:
            self.server.stop(timeout=0)
            self.server = None
        self.drop_connections()

    def drop_connections(self) -> None:
        for sock in list(self.connections):
            with suppress(OSError):  # already closed
                sock.shutdown(socket.SHUT_RDWR)
        self.connections.clear()

    def save_batches(self) -> None:
        self.saved_batches = dict(self.batches)

    def restore_saved_batches(self) -> None:
        """Restore the batches of the last `save_batches`, as from a backup."""
        self.batches = dict(self.saved_batches)
        self.counts["back"] += 1
        self.drop_connections()

    # --- protocol ---

    def serve(self, sock: Any, peer: Any) -> None:
        self.connections.add(sock)
        decoder, instance = Decoder(pb.Frame, codec.MAX_FRAME_BYTES), ""
        try:
            while data := sock.recv(65536):
                for frame in decoder.feed(data):
                    message_kind = frame.WhichOneof("said")
                    if message_kind == "hello":
                        instance = frame.hello.instance
                        self.hellos.append(frame.hello)
                        sock.sendall(encode(pb.Frame(welcome=self.make_welcome(instance))))
                    elif message_kind == "reconcile":
                        sock.sendall(encode(pb.Frame(sketch=self.make_sketch(instance, frame.reconcile))))
                    elif message_kind == "repair":
                        self.apply_repair(instance, frame.repair)
                    elif message_kind == "batch" and not self.handle_batch(sock, instance, frame.batch):
                        return
        except (OSError, WireError):
            self.counts["broken"] += 1
        finally:
            self.connections.discard(sock)
            sock.close()

    def make_welcome(self, instance: str) -> pb.Welcome:
        """Return, for each epoch, the last batch up to which all batches are stored."""
        complete_until: dict[int, int] = {}
        for name, epoch, _ in self.batches:
            if name == instance and epoch not in complete_until:
                complete_until[epoch] = 0
                while (instance, epoch, complete_until[epoch] + 1) in self.batches:
                    complete_until[epoch] += 1
        held = [pb.Epoch(epoch=epoch, batches=number) for epoch, number in complete_until.items()]
        return pb.Welcome(version=codec.PROTOCOL_VERSION, held=held)

    def draw_fault(self) -> str:
        draw = self.rng.random()
        for name, chance in self.faults.items():
            draw -= chance
            if draw < 0:
                return name
        return ""

    def handle_batch(self, sock: Any, instance: str, batch: pb.Batch) -> bool:
        """Store and answer a batch. Return whether the connection stays open."""
        fault, key = self.draw_fault(), (instance, batch.epoch, batch.number)
        self.counts["came"] += 1
        self.counts[fault] += bool(fault)
        answer = pb.Answer(epoch=batch.epoch, number=batch.number)
        if fault == "drop":
            return False
        if fault == "slow":
            gevent.sleep(self.rng.uniform(0, 0.3))
        if fault in ("refuse", "never") and key not in self.batches:
            answer.refused, answer.for_good = f"a fault: {fault}", fault == "never"
        elif codec.batch_digest(batch.entries) != batch.digest:
            answer.refused, answer.for_good = "the digest is not that of the entries", True
            self.counts["wrong"] += 1
        else:
            self.counts["again"] += key in self.batches
            answer.digest = self.batches.setdefault(key, batch).digest
        if fault == "lose":
            return False
        for _ in range(2 if fault == "twice" else 1):
            sock.sendall(encode(pb.Frame(answer=answer)))
        return True

    # --- reconciliation ---

    def lose_entries(self, count: int) -> None:
        """Remove entries from stored batches, which are still reported as stored."""
        for key in self.rng.sample(sorted(self.batches), count):
            batch = pb.Batch()
            batch.CopyFrom(self.batches[key])
            del batch.entries[self.rng.randrange(len(batch.entries))]
            self.batches[key] = batch

    def newer_token(self, instance: str, period: int, token: int) -> int:
        """Return 0 if the fence admits the token, else the newer token that it has seen."""
        fence = self.fences.setdefault((instance, period), Fence())
        if fence.token == token == 0 or fence.admit(token):  # 0: an invoker without a council
            return 0
        self.counts["older"] += 1
        return fence.token

    def make_sketch(self, instance: str, request: pb.Reconcile) -> pb.Sketch:
        if newer_token := self.newer_token(instance, request.period, request.token):
            return pb.Sketch(
                period=request.period, cells=request.cells, token=request.token, newer=newer_token
            )
        ids = {
            codec.entry_wire_id(data)
            for data in self.raw_entries(instance)
            if pb.Entry.FromString(data).period == request.period
        }
        session = ReconcileSession(ids, request.seed)
        data = session.encode_table(request.cells) if request.cells else session.encode_strata()
        return pb.Sketch(period=request.period, cells=request.cells, data=data, token=request.token)

    def apply_repair(self, instance: str, repair: pb.Repair) -> None:
        if self.newer_token(instance, repair.period, repair.token):
            return
        known_ids = {codec.entry_wire_id(data) for data in self.raw_entries(instance)}
        added = [data for data in repair.entries if codec.entry_wire_id(data) not in known_ids]
        self.counts["repaired"] += len(added)
        self.repaired.setdefault(instance, []).extend(added)

    # --- contents ---

    def raw_entries(self, instance: str | None = None) -> list[bytes]:
        received = [
            data for key, b in self.batches.items() if instance in (None, key[0]) for data in b.entries
        ]
        return received + [
            d for name, data in self.repaired.items() if instance in (None, name) for d in data
        ]

    def entries(self) -> list[pb.Entry]:
        return [pb.Entry.FromString(data) for data in self.raw_entries()]

    def figures(self) -> dict[str, Any]:
        """Count entries, duplicates, and numbers missing before the last one of each epoch."""
        occurrences = Counter((e.instance, e.epoch, e.number) for e in self.entries())
        last: dict[tuple[str, int], int] = {}
        for instance, epoch, number in occurrences:
            last[instance, epoch] = max(last.get((instance, epoch), 0), number)
        return {
            "entries": len(occurrences),
            "duplicates": sum(n - 1 for n in occurrences.values()),
            "holes": sum(last.values()) - len(occurrences),
            "epochs": len(last),
            "counts": dict(self.counts),
        }

    def count_gaps(self) -> int:
        return sum(e.kind == pb.GAP for e in self.entries())

    def usage_totals(self) -> dict[tuple[str, str], list[int]]:
        """Sum calls and milliseconds by tenant and outcome."""
        sums: dict[tuple[str, str], list[int]] = {}
        for e in self.entries():
            if e.kind != pb.GAP:
                total = sums.setdefault((e.tenant, e.outcome), [0, 0])
                total[0] += e.calls
                total[1] += e.took
        return sums
