"""The connection to the collector, and the export's slices.

One greenlet keeps the connection; a reader for each connection hands what it hears to the ledger's actor. The
export itself is a background job: a slice cuts or takes one batch, reads its entries beside the loop and
sends it.
"""

from __future__ import annotations

import random
import ssl
from contextlib import suppress
from functools import partial
from typing import Any

import gevent
from gevent import socket
from gevent.event import Event
from gevent.lock import RLock

from ..background.decide.schedule import Job
from ..background.runner import Runner, Slice
from ..core.actor import spawn
from ..core.clock import now_ms
from ..core.local_errors import is_kernel_timeout
from ..log import Log
from ..wire.frames import Decoder, WireError, encode
from .actor import LedgerActor
from .decide.export import BatchId
from .reconciler import Alone, Reconciler, Turns
from .settings import CollectorSettings, LedgerError
from .tls import create_context
from .wire import codec
from .wire.codec import pb

DIAL_S = 2.0
WRITE_S = 5.0
PAUSE_S, PAUSE_MOST_S = 0.1, 10.0


class CollectorLink:
    """Raises LedgerError at the start for TLS files that can't be used; later, at a reload, the old ones
    stay."""

    def __init__(
        self,
        told: CollectorSettings,
        where: tuple[str, int],
        ledger: LedgerActor,
        runner: Runner,
        log: Log,
        turns: Turns | None = None,
    ) -> None:
        self.told, self.where, self.ledger, self.runner, self.log = told, where, ledger, runner, log
        self.context = create_context(told)
        self.sock: Any = None
        self.ready, self.over, self.gone = False, False, Event()
        self.pause, self.failed_with = PAUSE_S, ""
        self.connections = self.sent_bytes = 0
        self.rng = random.Random()
        ledger.wanted = lambda: runner.want("export")
        self.sending = RLock()
        by: Turns = Alone() if turns is None else turns
        by.given = lambda: runner.want("reconcile")
        self.reconciler = Reconciler(ledger, self.send, lambda: self.ready, log, told.answer_ms, by)
        runner.add(Job("reconcile", 3, period_ms=told.answer_ms), self.reconciler.slice)
        ledger.sealed = self.reconcile
        runner.add(Job("export", 6, period_ms=told.batch_ms, deadline_ms=10 * told.batch_ms), self.slice)

    def start(self) -> None:
        spawn(self.log, "collector link", self.run, self.gone.set)

    def reconcile(self, period: int) -> None:
        self.reconciler.want(period)
        self.runner.want("reconcile")

    def reload(self) -> None:
        """SIGHUP: certificates and keys are read anew, and the next connection is made with them."""
        try:
            self.context = create_context(self.told)
        except LedgerError as error:
            self.log("collector-tls", f"the old files stay in force: {error}")
            return
        self.drop()

    def run(self) -> None:
        while not self.over:
            try:
                self.connect()
                self.read()
                reason = "closed by the collector"
            except (OSError, ssl.SSLError, WireError, gevent.Timeout) as error:
                reason = str(error)
            was, self.ready = self.ready, False
            self.drop()
            if self.over:
                return  # the ledger may have ended too
            self.reconciler.lost()
            self.ledger.ask(self.ledger.ledger.export.connection_lost)
            if was or reason != self.failed_with:
                self.log("collector-lost", f"{self.told.address}: {reason}")
            self.failed_with = "" if was else reason
            self.pause = PAUSE_S if was else min(PAUSE_MOST_S, 2 * self.pause)
            gevent.sleep(self.pause * self.rng.uniform(0.5, 1.5))

    def connect(self) -> None:
        sock: Any = socket.create_connection(self.where, DIAL_S)
        if self.context is not None:
            sock.settimeout(DIAL_S)
            sock = self.context.wrap_socket(sock, server_hostname=self.told.server_name or self.where[0])
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock = sock
        self.connections += 1
        sock.settimeout(WRITE_S)
        sock.sendall(encode(pb.Frame(hello=self.ledger.ask(self.hello))))

    def hello(self) -> pb.Hello:
        ledger = self.ledger.ledger
        held = [
            pb.Epoch(epoch=epoch, batches=out.last_batch, entries=out.last_entry)
            for epoch, out in ledger.export.epochs.items()
        ]
        began = ledger.epochs[self.ledger.epoch]
        return pb.Hello(
            version=codec.PROTOCOL_VERSION,
            instance=began.instance,
            epoch=began.epoch,
            started_ms=began.started_ms,
            durable=self.ledger.keeper is not None,
            epochs=held,
        )

    def read(self) -> None:
        decoder, welcomed, sock = Decoder(pb.Frame, codec.MAX_FRAME_BYTES), False, self.sock
        while not self.over:
            try:
                sock.settimeout(self.told.answer_ms / 2000)
                data = sock.recv(65536)
            except TimeoutError as error:
                if is_kernel_timeout(error):
                    raise
                if not welcomed or self.ledger.ask(
                    lambda: self.ledger.ledger.export.answer_overdue(now_ms())
                ):
                    raise OSError("no answer in time") from None
                continue
            if not data:
                return
            for frame in decoder.feed(data):
                what = frame.WhichOneof("said")
                if what == "welcome" and not welcomed:
                    if frame.welcome.version != codec.PROTOCOL_VERSION:
                        raise WireError(f"version {frame.welcome.version}")
                    welcomed = True
                    held = {e.epoch: e.batches for e in frame.welcome.held}
                    self.ledger.ask(partial(self.welcome, held))
                    self.ready, self.pause = True, PAUSE_S
                    self.log("collector-connected", self.told.address)
                elif what == "answer" and welcomed:
                    self.ledger.ask(partial(self.answer, frame.answer))
                elif what == "sketch" and welcomed:
                    if self.reconciler.heard(frame.sketch):
                        self.runner.want("reconcile")
                else:
                    raise WireError(f"an unexpected {what}")
                self.runner.want("export")

    def welcome(self, held: dict[int, int]) -> None:
        export = self.ledger.ledger.export
        open_before = {id for id, b in export.batches.items() if b.state.value in ("waiting", "out")}
        lost = len(export.lost_batches)
        export.resume(held)
        for id in sorted(open_before):
            batch = export.batches.get(id)
            if batch is None or batch.state.value == "done":
                self.ledger.batch_ended(id)
        for epoch, first, last in export.lost_batches[lost:]:
            self.log("collector-older", f"batches {first} to {last} of {epoch:x} are gone there and here")

    def answer(self, answer: pb.Answer) -> None:
        export, id = self.ledger.ledger.export, BatchId(answer.epoch, answer.number)
        if not answer.refused:
            if export.record_acknowledgement(id, answer.digest):
                self.ledger.batch_ended(id)
            elif id in export.set_aside_batches and "digest" in export.set_aside_batches[id].reason:
                self.ledger.batch_ended(id, export.set_aside_batches[id].reason)
            return
        export.record_refusal(id, answer.refused, answer.for_good)
        if answer.for_good and id in export.set_aside_batches:
            self.ledger.batch_ended(id, answer.refused)

    def slice(self) -> Slice:
        """One batch, if one may go. An entry that is not there sets its batch aside and blocks no other."""
        if not self.ready:
            return Slice()
        batch = self.ledger.ask(self.ledger.next_batch)
        if batch is None:
            return Slice()
        try:
            entries = [codec.encode_entry(entry) for entry in self.ledger.entries_of(batch)]
        except LookupError as error:
            reason = str(error)

            def aside() -> None:
                self.ledger.ledger.export.set_aside(batch.id, reason)
                self.ledger.batch_ended(batch.id, reason)

            self.ledger.ask(aside)
            return Slice(more=True)
        made = pb.Batch(
            epoch=batch.id.epoch,
            number=batch.id.number,
            first=batch.first_entry,
            last=batch.last_entry,
            digest=batch.digest,
            entries=entries,
        )
        return Slice(more=True, size=self.send(pb.Frame(batch=made)))

    def send(self, frame: pb.Frame) -> int:
        """Its bytes. Where they can't be sent the connection ends: its reader tells the ledger, and what is
        out goes again."""
        data, sock = encode(frame), self.sock
        try:
            with self.sending:  # guards a frame against another in its midst
                if sock is not None:
                    sock.settimeout(WRITE_S)
                    sock.sendall(data)
        except OSError:
            self.drop()
        self.sent_bytes += len(data)
        return len(data)

    def drop(self) -> None:
        sock, self.sock = self.sock, None
        if sock is not None:
            with suppress(OSError):  # it had ended
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()

    def finish(self, timeout_s: float) -> None:
        """What is left goes out, for so long; then the connection ends."""
        with gevent.Timeout(timeout_s, False):
            while self.ready and self.ledger.ask(lambda: self.unfinished()):
                self.runner.want("export")
                gevent.sleep(0.02)
        self.over = True
        self.drop()

    def unfinished(self) -> bool:
        """Cuts what is left, at the end."""
        ledger = self.ledger.ledger
        ledger.max_batch_delay_ms = 0.0
        return bool(ledger.unbatched or ledger.export.waiting or ledger.export.in_flight)
