"""The operator's [ledger] table."""

from __future__ import annotations

from decimal import Decimal, InvalidOperation

import msgspec

from .decide.book import Price


class LedgerError(ValueError):
    """A key that can't be used; the message begins with its name."""


class CollectorSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Where the ledger goes. With `ca` the connection is TLS."""

    address: str
    ca: str = ""  # certificates (PEM) of those that may sign the collector's
    certificate: str = ""  # our own, and its key, where the collector wants one
    key: str = ""
    server_name: str = ""
    batch: int = 500  # entries
    batch_ms: float = 1000.0  # a smaller batch goes after this
    window: int = 4  # batches without an answer
    answer_ms: float = 5000.0


class LedgerSettings(msgspec.Struct, forbid_unknown_fields=True):
    """The ledger of uses. Without [store] its entries are in memory alone until they are exported."""

    period_s: int = 86_400
    grace_s: int = 600  # after a period's end until it is closed
    key_window_s: float = 600.0  # a key that was served is billed once within it
    hold_ms: float = 20.0  # that an answer waits for its entry to be durable; 0: it does not wait
    memory_entries: int = 100_000  # without a store: that wait for the collector
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
        for key, least, most in bounds:
            if not least <= getattr(self, key) <= most:
                raise LedgerError(f"ledger.{key}: {least:g} to {most:g} is wanted")
        for name, price in self.prices.items():
            if name not in classes:
                raise LedgerError(f"ledger.prices.{name}: there is no such class")
            for key in ("call", "gb_second"):
                try:
                    good = Decimal(getattr(price, key)) >= 0
                except InvalidOperation:
                    good = False
                if not good:
                    where = f"ledger.prices.{name}.{key}"
                    raise LedgerError(f"{where}: a decimal from 0 on, as a text, is wanted")
        if self.collector is not None:
            c = self.collector
            for key, least, most in (
                ("batch", 1, 5000),
                ("batch_ms", 1, 3.6e6),
                ("window", 1, 64),
                ("answer_ms", 10, 600_000),
            ):
                if not least <= getattr(c, key) <= most:
                    raise LedgerError(f"ledger.collector.{key}: {least:g} to {most:g} is wanted")
            if bool(c.certificate) != bool(c.key):
                raise LedgerError("ledger.collector.key: a certificate and its key are wanted together")
            if c.certificate and not c.ca:
                raise LedgerError("ledger.collector.ca: a certificate is of use only with TLS")
