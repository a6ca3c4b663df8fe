"""The connection to the collector, and the slices of the export job.

One greenlet maintains the connection and passes what it reads to the ledger's actor. The export is a
background job: each slice creates or picks one batch, reads its entries in the store's thread and sends it.
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
from ..background.runner import JobRunner, SliceOutcome
from ..core.actor import spawn
from ..core.clock import now_ms
from ..core.local_errors import is_kernel_timeout
from ..log import Log
from ..wire.frames import Decoder, WireError, encode
from .actor import LedgerActor
from .decide.export import BatchId
from .reconciler import LocalTurns, Reconciler, Turns
from .settings import CollectorSettings, LedgerError
from .tls import create_context
from .wire import codec
from .wire.codec import pb

CONNECT_TIMEOUT_S = 2.0
WRITE_TIMEOUT_S = 5.0
MIN_RECONNECT_S, MAX_RECONNECT_S = 0.1, 10.0


class CollectorLink:
    """Raises LedgerError at the start if TLS files are unusable; on a later reload the old ones stay in
    use."""

    def __init__(
        self,
        settings: CollectorSettings,
        address: tuple[str, int],
        ledger: LedgerActor,
        runner: JobRunner,
        log: Log,
        turns: Turns | None = None,
    ) -> None:
        self.settings, self.address, self.ledger, self.runner, self.log = (
            settings,
            address,
            ledger,
            runner,
            log,
        )
        self.tls_context = create_context(settings)
        self.sock: Any = None
        self.connected, self.stopping, self.ended = False, False, Event()
        self.reconnect_delay_s, self.last_failure = MIN_RECONNECT_S, ""
        self.connection_count = self.sent_bytes = 0
        self.rng = random.Random()
        ledger.on_export_work = lambda: runner.request("export")
        self.send_lock = RLock()
        reconcile_turns: Turns = LocalTurns() if turns is None else turns
        reconcile_turns.given = lambda: runner.request("reconcile")
        self.reconciler = Reconciler(
            ledger, self.send, lambda: self.connected, log, settings.answer_ms, reconcile_turns
        )
        runner.add(Job("reconcile", 3, period_ms=settings.answer_ms), self.reconciler.run_slice)
        ledger.on_period_sealed = self.reconcile
        runner.add(
            Job("export", 6, period_ms=settings.batch_ms, deadline_ms=10 * settings.batch_ms),
            self.run_export_slice,
        )

    def start(self) -> None:
        spawn(self.log, "collector link", self.run, self.ended.set)

    def reconcile(self, period: int) -> None:
        self.reconciler.request(period)
        self.runner.request("reconcile")

    def reload(self) -> None:
        """On SIGHUP: rereads certificates and keys, and reconnects with them."""
        try:
            self.tls_context = create_context(self.settings)
        except LedgerError as error:
            self.log("collector-tls", f"keeping the old files: {error}")
            return
        self.disconnect()

    def run(self) -> None:
        while not self.stopping:
            try:
                self.connect()
                self.read_frames()
                reason = "closed by the collector"
            except (OSError, ssl.SSLError, WireError, gevent.Timeout) as error:
                reason = str(error)
            was_connected, self.connected = self.connected, False
            self.disconnect()
            if self.stopping:
                return  # the ledger may have ended as well
            self.reconciler.connection_lost()
            self.ledger.run_in_actor(self.ledger.ledger.export.connection_lost)
            if was_connected or reason != self.last_failure:
                self.log("collector-lost", f"{self.settings.address}: {reason}")
            self.last_failure = "" if was_connected else reason
            self.reconnect_delay_s = (
                MIN_RECONNECT_S if was_connected else min(MAX_RECONNECT_S, 2 * self.reconnect_delay_s)
            )
            gevent.sleep(self.reconnect_delay_s * self.rng.uniform(0.5, 1.5))

    def connect(self) -> None:
        sock: Any = socket.create_connection(self.address, CONNECT_TIMEOUT_S)
        if self.tls_context is not None:
            sock.settimeout(CONNECT_TIMEOUT_S)
            sock = self.tls_context.wrap_socket(
                sock, server_hostname=self.settings.server_name or self.address[0]
            )
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock = sock
        self.connection_count += 1
        sock.settimeout(WRITE_TIMEOUT_S)
        sock.sendall(encode(pb.Frame(hello=self.ledger.run_in_actor(self.make_hello))))

    def make_hello(self) -> pb.Hello:
        ledger = self.ledger.ledger
        epochs = [
            pb.Epoch(epoch=epoch, batches=epoch_export.last_batch, entries=epoch_export.last_entry)
            for epoch, epoch_export in ledger.export.epochs.items()
        ]
        started = ledger.epochs[self.ledger.epoch]
        return pb.Hello(
            version=codec.PROTOCOL_VERSION,
            instance=started.instance,
            epoch=started.epoch,
            started_ms=started.started_ms,
            durable=self.ledger.store_writer is not None,
            epochs=epochs,
        )

    def read_frames(self) -> None:
        decoder, welcomed, sock = Decoder(pb.Frame, codec.MAX_FRAME_BYTES), False, self.sock
        while not self.stopping:
            try:
                sock.settimeout(self.settings.answer_ms / 2000)
                data = sock.recv(65536)
            except TimeoutError as error:
                if is_kernel_timeout(error):
                    raise
                if not welcomed or self.ledger.run_in_actor(
                    lambda: self.ledger.ledger.export.answer_overdue(now_ms())
                ):
                    raise OSError("no answer in time") from None
                continue
            if not data:
                return
            for frame in decoder.feed(data):
                kind = frame.WhichOneof("said")
                if kind == "welcome" and not welcomed:
                    if frame.welcome.version != codec.PROTOCOL_VERSION:
                        raise WireError(f"unsupported protocol version {frame.welcome.version}")
                    welcomed = True
                    held_batches = {epoch.epoch: epoch.batches for epoch in frame.welcome.held}
                    self.ledger.run_in_actor(partial(self.handle_welcome, held_batches))
                    self.connected, self.reconnect_delay_s = True, MIN_RECONNECT_S
                    self.log("collector-connected", self.settings.address)
                elif kind == "answer" and welcomed:
                    self.ledger.run_in_actor(partial(self.handle_answer, frame.answer))
                    if self.reconciler.awaited_seqs:
                        self.runner.request("reconcile")
                elif kind == "sketch" and welcomed:
                    if self.reconciler.handle_sketch(frame.sketch):
                        self.runner.request("reconcile")
                else:
                    raise WireError(f"unexpected frame {kind}")
                self.runner.request("export")

    def handle_welcome(self, held: dict[int, int]) -> None:
        export = self.ledger.ledger.export
        pending_before = {
            batch_id for batch_id, batch in export.batches.items() if batch.state.value in ("waiting", "out")
        }
        lost_before = len(export.lost_batches)
        export.resume(held)
        for batch_id in sorted(pending_before):
            batch = export.batches.get(batch_id)
            if batch is None or batch.state.value == "done":
                self.ledger.record_batch_end(batch_id)
        for epoch, first, last in export.lost_batches[lost_before:]:
            self.log(
                "collector-older",
                f"batches {first} to {last} of epoch {epoch:x} are lost at the collector and no longer kept",
            )

    def handle_answer(self, answer: pb.Answer) -> None:
        export, batch_id = self.ledger.ledger.export, BatchId(answer.epoch, answer.number)
        if not answer.refused:
            if export.record_acknowledgement(batch_id, answer.digest):
                self.ledger.record_batch_end(batch_id)
            elif (
                batch_id in export.set_aside_batches and "digest" in export.set_aside_batches[batch_id].reason
            ):
                self.ledger.record_batch_end(batch_id, export.set_aside_batches[batch_id].reason)
            return
        export.record_refusal(batch_id, answer.refused, answer.for_good)
        if answer.for_good and batch_id in export.set_aside_batches:
            self.ledger.record_batch_end(batch_id, answer.refused)

    def run_export_slice(self) -> SliceOutcome:
        """Sends one batch if one may be sent. A batch with an unreadable entry is set aside, so that it does
        not block the others."""
        if not self.connected:
            return SliceOutcome()
        batch = self.ledger.run_in_actor(self.ledger.next_batch)
        if batch is None:
            return SliceOutcome()
        try:
            entries = [codec.encode_entry(entry) for entry in self.ledger.read_batch(batch)]
        except LookupError as error:
            reason = str(error)

            def set_aside() -> None:
                self.ledger.ledger.export.set_aside(batch.id, reason)
                self.ledger.record_batch_end(batch.id, reason)

            self.ledger.run_in_actor(set_aside)
            return SliceOutcome(has_more=True)
        message = pb.Batch(
            epoch=batch.id.epoch,
            number=batch.id.number,
            first=batch.first_entry,
            last=batch.last_entry,
            digest=batch.digest,
            entries=entries,
        )
        return SliceOutcome(has_more=True, moved_bytes=self.send(pb.Frame(batch=message)))

    def send(self, frame: pb.Frame) -> int:
        """Sends a frame and returns its size. If that fails, the connection is closed: its reader informs the
        ledger, and batches in flight are sent again."""
        data, sock = encode(frame), self.sock
        try:
            with self.send_lock:  # frames must not interleave
                if sock is not None:
                    sock.settimeout(WRITE_TIMEOUT_S)
                    sock.sendall(data)
        except OSError:
            self.disconnect()
        self.sent_bytes += len(data)
        return len(data)

    def disconnect(self) -> None:
        sock, self.sock = self.sock, None
        if sock is not None:
            with suppress(OSError):  # it was closed already
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()

    def finish(self, timeout_s: float) -> None:
        """Exports what is left for at most that time, then disconnects."""
        with gevent.Timeout(timeout_s, False):
            while self.connected and self.ledger.run_in_actor(lambda: self.has_unsent()):
                self.runner.request("export")
                gevent.sleep(0.02)
        self.stopping = True
        self.disconnect()

    def has_unsent(self) -> bool:
        """Whether entries remain to be sent; from now on batches are created without delay."""
        ledger = self.ledger.ledger
        ledger.max_batch_delay_ms = 0.0
        return bool(ledger.unbatched or ledger.export.waiting or ledger.export.in_flight)
