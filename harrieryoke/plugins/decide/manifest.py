"""A plug-in's manifest (plugin.toml), and its budgets and capabilities within the operator's limits."""

from __future__ import annotations

import re

import msgspec

from . import abi

NAME_PATTERN = re.compile(r"[a-z][a-z0-9-]{0,47}\Z")
VERSION_PATTERN = re.compile(r"\d{1,6}(\.\d{1,6}){0,2}\Z")
ENGINES = ("starlark", "wasm")


class ManifestError(ValueError):
    """A key of a manifest is invalid; the message begins with the key."""


class Budgets(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Resource budgets of one plug-in. Times are milliseconds unless a name ends in _s."""

    call_ms: float = 25.0  # one call of a hook, including its wait in the plug-in's queue
    time_share: float = 0.25  # of each second, for all its hooks together
    memory_mb: float = 64.0  # beyond the bare engine
    fuel: int = 5_000_000  # WebAssembly: instructions a call, approximately
    state_bytes: int = 16 * 1024
    log_lines_per_s: float = 5.0
    host_calls: int = 256  # calls of the invoker's functions in one call of a hook
    queue: int = 64  # calls waiting for the plug-in
    warm: int = 4  # functions kept warm at a time
    load_ms: float = 3000.0  # to read, compile and check the code


class Manifest(msgspec.Struct, forbid_unknown_fields=True):
    """plugin.toml."""

    name: str
    version: str
    engine: str
    file: str
    abi: int = abi.ABI_VERSION
    hooks: list[str] = []  # empty: all that the file defines
    capabilities: list[str] = []
    budgets: Budgets = Budgets()
    state_layout: int = 1  # when it changes, the `carry` hook migrates the stored state
    timer_ms: float = 1000.0
    digest: str = ""  # of `file`: "sha256:" and 64 hex digits
    about: str = ""

    def check(self) -> None:
        """Raise ManifestError for the first invalid key."""
        for invalid, text in (
            (not NAME_PATTERN.match(self.name), "name: must be small letters, digits and '-', 48 at most"),
            (not VERSION_PATTERN.match(self.version), "version: must be numbers with dots, such as 1.2.0"),
            (self.abi != abi.ABI_VERSION, f"abi: version {abi.ABI_VERSION} is supported, not {self.abi}"),
            (self.engine not in ENGINES, f"engine: must be one of {', '.join(ENGINES)}"),
            (
                not self.file or "/" in self.file or self.file.startswith("."),
                "file: must be a plain file name in the same directory",
            ),
            (bool(set(self.hooks) - set(abi.HOOKS)), f"hooks: must be of {', '.join(abi.HOOKS)}"),
            (
                bool(set(self.capabilities) - set(abi.CAPABILITIES)),
                f"capabilities: must be of {', '.join(abi.CAPABILITIES)}",
            ),
            (self.state_layout < 1, "state_layout: must be 1 or more"),
            (not 100 <= self.timer_ms <= 3.6e6, "timer_ms: must be 100 to 3,600,000"),
            (
                self.digest != "" and not re.match(r"sha256:[0-9a-f]{64}\Z", self.digest),
                "digest: must be 'sha256:' and 64 hex digits",
            ),
            (len(self.about) > 500, "about: 500 characters at most"),
        ):
            if invalid:
                raise ManifestError(text)
        maximum = Budgets(
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
            if not 0 < getattr(self.budgets, key) <= getattr(maximum, key):
                raise ManifestError(f"budgets.{key}: must be above 0, up to {getattr(maximum, key):g}")


def cap_budgets(requested: Budgets, allowed: Budgets) -> Budgets:
    """Each budget as requested, or the operator's limit if that is lower."""
    return Budgets(**{k: min(getattr(requested, k), getattr(allowed, k)) for k in Budgets.__struct_fields__})


def granted_capabilities(requested: list[str], grants: list[str]) -> frozenset[str]:
    """Capabilities as requested, limited to `grants` if the operator lists any. `body` must always be granted
    by name."""
    allowed = set(requested) if not grants else set(requested) & set(grants)
    return frozenset(allowed - ({"body"} - set(grants)))
