"""The operator's [plugins] table."""

from __future__ import annotations

import re

import msgspec

from .decide import abi, trust, walk
from .decide.binding import FRONTS, Binding
from .decide.breaker import BreakerLimits
from .decide.manifest import Budgets
from .decide.trust import TrustedKey, TrustError
from .decide.versions import SwapLimits


class PluginError(ValueError):
    """A plug-in or a key of its settings is invalid; the message begins with the path or the key."""


class PluginUse(msgspec.Struct, forbid_unknown_fields=True):
    """One [[plugins.use]]: a plug-in and the calls that it sees."""

    path: str  # a directory with plugin.toml, or a bare .star, .wat or .wasm
    tenants: list[str] = []
    classes: list[str] = []
    fronts: list[str] = []
    on_failure: str = "admit"  # or "refuse": applies when the plug-in gives no usable answer
    grants: list[str] = []  # empty: all capabilities of its manifest, except "body"

    def binding(self) -> Binding:
        return Binding(frozenset(self.tenants), frozenset(self.classes), frozenset(self.fronts))


class PluginsSettings(msgspec.Struct, forbid_unknown_fields=True):
    """The [plugins] table; `use` lists the plug-ins in the order in which they are asked."""

    use: list[PluginUse] = []
    signed: str = "optional"  # or "required"
    trusted: list[TrustedKey] = []
    all_ms: float = 60.0  # how long all plug-ins together may keep one call
    open_calls: int = 2048  # calls at the gate; above it, on_failure applies at once
    warm_s: float = 30.0  # until a prewarm request expires
    warm_most: int = 64  # functions kept warm, of all plug-ins
    budgets: Budgets = Budgets(
        call_ms=100,
        time_share=0.5,
        memory_mb=256,
        fuel=20_000_000,
        state_bytes=64 * 1024,
        log_lines_per_s=10,
        host_calls=10_000,
        queue=512,
        warm=16,
        load_ms=10_000,
    )
    trial_calls: int = 20
    trial_s: float = 2.0
    watch_calls: int = 50
    watch_s: float = 5.0
    open_after: int = 5  # consecutive faults that open the breaker
    pause_s: float = 1.0  # first pause of an open breaker; doubles each time, up to a minute

    def check(self, tenants: list[str], classes: list[str]) -> None:
        """Raise PluginError for the first invalid key."""
        if self.signed not in trust.SIGNATURE_POLICIES:
            raise PluginError(f"plugins.signed: must be one of {', '.join(trust.SIGNATURE_POLICIES)}")
        for key, minimum, maximum in (
            ("all_ms", 1, 5000),
            ("open_calls", 1, 1e6),
            ("warm_s", 1, 3600),
            ("warm_most", 1, 4096),
            ("trial_calls", 1, 1e6),
            ("trial_s", 0.01, 3600),
            ("watch_calls", 1, 1e6),
            ("watch_s", 0.01, 3600),
            ("open_after", 1, 1000),
            ("pause_s", 0.01, 60),
        ):
            if not minimum <= getattr(self, key) <= maximum:
                raise PluginError(f"plugins.{key}: must be {minimum:g} to {maximum:g}")
        try:
            for trusted in self.trusted:
                trusted.decode()
        except TrustError as error:
            raise PluginError(str(error)) from None
        for n, use in enumerate(self.use):
            place = f"plugins.use[{n}]"
            if use.on_failure not in walk.FAILURE_POLICIES:
                raise PluginError(f"{place}.on_failure: must be 'admit' or 'refuse', not {use.on_failure!r}")
            for key, known in (
                ("tenants", tenants),
                ("classes", classes),
                ("fronts", list(FRONTS)),
                ("grants", list(abi.CAPABILITIES)),
            ):
                for name in getattr(use, key):
                    if name not in known:
                        raise PluginError(f"{place}.{key}: there is no {name!r}")

    def swap_limits(self) -> SwapLimits:
        return SwapLimits(self.trial_calls, self.trial_s * 1000, self.watch_calls, self.watch_s * 1000)

    def breaker_limits(self) -> BreakerLimits:
        return BreakerLimits(consecutive_faults=self.open_after, first_pause_ms=self.pause_s * 1000)


def name_from_path(path: str) -> str:
    """The name of a plug-in without a manifest, made from its file name."""
    stem = re.sub(r"[^a-z0-9-]+", "-", path.rpartition("/")[2].rpartition(".")[0].lower()).strip("-")
    return (stem if stem[:1].isalpha() else f"p-{stem}")[:48].strip("-")
