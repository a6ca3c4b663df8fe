"""A plug-in's manifest (plugin.toml), checked; its budgets within what the operator allows."""

from __future__ import annotations

import re

import msgspec

from . import abi

NAME = re.compile(r"[a-z][a-z0-9-]{0,47}\Z")
VERSION = re.compile(r"\d{1,6}(\.\d{1,6}){0,2}\Z")
ENGINES = ("starlark", "wasm")


class ManifestError(ValueError):
    """A key of a manifest that can't be used; the message begins with its name."""


class Budgets(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """What one plug-in may use. Times are milliseconds unless the name says otherwise."""

    call_ms: float = 25.0  # one hook's call, its wait in the plug-in's queue included
    time_share: float = 0.25  # of each second, for all its hooks together
    memory_mb: float = 64.0  # beyond the bare engine
    fuel: int = 5_000_000  # WebAssembly: instructions a call, roughly
    state_bytes: int = 16 * 1024
    log_lines_per_s: float = 5.0
    host_calls: int = 256  # a call
    queue: int = 64  # calls that wait for it
    warm: int = 4  # functions kept warm at a time
    load_ms: float = 3000.0  # to read, compile and check it


class Manifest(msgspec.Struct, forbid_unknown_fields=True):
    """plugin.toml."""

    name: str
    version: str
    engine: str
    file: str
    abi: int = abi.VERSION
    hooks: list[str] = []  # empty: all that the file defines
    capabilities: list[str] = []
    budgets: Budgets = Budgets()
    state_layout: int = 1  # another number: `carry` brings the older layout over
    timer_ms: float = 1000.0
    digest: str = ""  # "sha256:" and 64 hex digits, of the file
    about: str = ""

    def check(self) -> None:
        """Names the first key that can't be used."""
        for wrong, text in (
            (not NAME.match(self.name), "name: small letters, digits and '-', 48 at most"),
            (not VERSION.match(self.version), "version: numbers with dots are wanted, as 1.2.0"),
            (self.abi != abi.VERSION, f"abi: version {abi.VERSION} is spoken here, not {self.abi}"),
            (self.engine not in ENGINES, f"engine: one of {', '.join(ENGINES)} is wanted"),
            (not self.file or "/" in self.file or self.file.startswith("."), "file: a plain name beside it"),
            (bool(set(self.hooks) - set(abi.HOOKS)), f"hooks: of {', '.join(abi.HOOKS)}"),
            (
                bool(set(self.capabilities) - set(abi.CAPABILITIES)),
                f"capabilities: of {', '.join(abi.CAPABILITIES)}",
            ),
            (self.state_layout < 1, "state_layout: 1 or more"),
            (not 100 <= self.timer_ms <= 3.6e6, "timer_ms: 100 to 3,600,000"),
            (
                self.digest != "" and not re.match(r"sha256:[0-9a-f]{64}\Z", self.digest),
                "digest: 'sha256:' and 64 hex digits",
            ),
            (len(self.about) > 500, "about: 500 characters at most"),
        ):
            if wrong:
                raise ManifestError(text)
        most = Budgets(
            call_ms=2000,
            time_share=1,
            memory_mb=1024,
            fuel=10**10,
            state_bytes=2**20,
            log_lines_per_s=100,
            host_calls=100_000,
            queue=4096,
            warm=64,
            load_ms=30_000,
        )
        for key in Budgets.__struct_fields__:
            if not 0 < getattr(self.budgets, key) <= getattr(most, key):
                raise ManifestError(f"budgets.{key}: above 0, up to {getattr(most, key):g}")


def within(asked: Budgets, allowed: Budgets) -> Budgets:
    """Each budget as asked for, or the operator's bound where that is less."""
    return Budgets(**{k: min(getattr(asked, k), getattr(allowed, k)) for k in Budgets.__struct_fields__})


def granted(asked: list[str], grants: list[str]) -> frozenset[str]:
    """`body` is there only when the manifest asks for it and the operator grants it by name; the rest holds
    as asked, unless the operator lists grants."""
    free = set(asked) if not grants else set(asked) & set(grants)
    return frozenset(free - ({"body"} - set(grants)))
