"""The [ledger] table of the operator's configuration."""

from __future__ import annotations

from decimal import Decimal, InvalidOperation

import msgspec

from .decide.book import Price


class LedgerError(ValueError):
    """An invalid [ledger] key; the message begins with the key."""


class CollectorSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Connection to the collector. With `ca` set it uses TLS."""

    address: str
    ca: str = ""  # CA certificates (PEM) that may sign the collector's certificate
    certificate: str = ""  # client certificate, with its key, if the collector requires one
    key: str = ""
    server_name: str = ""
    batch: int = 500  # entries per batch
    batch_ms: float = 1000.0  # a smaller batch is sent after this time
    window: int = 4  # batches awaiting an answer
    answer_ms: float = 5000.0


class LedgerSettings(msgspec.Struct, forbid_unknown_fields=True):
    """The billing ledger. Without a [store] its entries are only in memory until they are exported."""

    period_s: int = 86_400
    grace_s: int = 600  # between the end of a period and its sealing
    key_window_s: float = 600.0  # a served idempotency key is billed once within this time
    hold_ms: float = 20.0  # how long an answer waits for its entry to be durable; 0: not at all
    memory_entries: int = 100_000  # without a store: entries waiting for the collector
    collector: CollectorSettings | None = None
    prices: dict[str, Price] = {}  # by class

    def check(self, classes: list[str]) -> None:
        bounds: tuple[tuple[str, float, float], ...] = (
            ("period_s", 1, 366 * 86_400),
            ("grace_s", 0, 366 * 86_400),
            ("key_window_s", 0, 86_400),
            ("hold_ms", 0, 1000),
            ("memory_entries", 1, 100_000_000),
        )
        for key, minimum, maximum in bounds:
            if not minimum <= getattr(self, key) <= maximum:
                raise LedgerError(f"ledger.{key}: must be between {minimum:g} and {maximum:g}")
        for name, price in self.prices.items():
            if name not in classes:
                raise LedgerError(f"ledger.prices.{name}: no such class")
            for key in ("call", "gb_second"):
                try:
                    valid = Decimal(getattr(price, key)) >= 0
                except InvalidOperation:
                    valid = False
                if not valid:
                    full_key = f"ledger.prices.{name}.{key}"
                    raise LedgerError(f"{full_key}: must be a non-negative decimal, as a string")
        if self.collector is not None:
            collector = self.collector
            for key, minimum, maximum in (
                ("batch", 1, 5000),
                ("batch_ms", 1, 3.6e6),
                ("window", 1, 64),
                ("answer_ms", 10, 600_000),
            ):
                if not minimum <= getattr(collector, key) <= maximum:
                    raise LedgerError(f"ledger.collector.{key}: must be between {minimum:g} and {maximum:g}")
            if bool(collector.certificate) != bool(collector.key):
                raise LedgerError("ledger.collector.key: a certificate and its key must be set together")
            if collector.certificate and not collector.ca:
                raise LedgerError("ledger.collector.ca: must be set, since a client certificate requires TLS")
