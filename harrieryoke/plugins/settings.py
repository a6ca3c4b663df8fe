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
    """A plug-in, or a key of its settings, that can't be used; the message begins with its place."""


class Use(msgspec.Struct, forbid_unknown_fields=True):
    """One [[plugins.use]]: a plug-in, and the calls that it sees."""

    path: str  # a directory with plugin.toml, or a bare .star, .wat or .wasm
    tenants: list[str] = []
    classes: list[str] = []
    fronts: list[str] = []
    on_failure: str = "admit"  # or "refuse": what holds when it gives no usable answer
    grants: list[str] = []  # empty: all that its manifest asks for, without "body"

    def binding(self) -> Binding:
        return Binding(frozenset(self.tenants), frozenset(self.classes), frozenset(self.fronts))


class PluginsSettings(msgspec.Struct, forbid_unknown_fields=True):
    """All plug-ins, in the order in which they are asked."""

    use: list[Use] = []
    signed: str = "optional"  # or "required"
    trusted: list[TrustedKey] = []
    all_ms: float = 60.0  # that all plug-ins together may keep one call
    open_calls: int = 2048  # calls on their way past plug-ins; beyond it the defaults hold at once
    warm_s: float = 30.0  # that a warm wish holds
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
    open_after: int = 5  # faults in a row that put a plug-in out
    pause_s: float = 1.0  # for which it is out at first; twice as long each time, up to a minute

    def check(self, tenants: list[str], classes: list[str]) -> None:
        """Names the first key that can't be used."""
        if self.signed not in trust.POLICIES:
            raise PluginError(f"plugins.signed: one of {', '.join(trust.POLICIES)} is wanted")
        for key, least, most in (
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
            if not least <= getattr(self, key) <= most:
                raise PluginError(f"plugins.{key}: {least:g} to {most:g} is wanted")
        try:
            for trusted in self.trusted:
                trusted.raw()
        except TrustError as error:
            raise PluginError(str(error)) from None
        for n, use in enumerate(self.use):
            where = f"plugins.use[{n}]"
            if use.on_failure not in walk.DEFAULTS:
                raise PluginError(
                    f"{where}.on_failure: 'admit' or 'refuse' is wanted, not {use.on_failure!r}"
                )
            for key, known in (
                ("tenants", tenants),
                ("classes", classes),
                ("fronts", list(FRONTS)),
                ("grants", list(abi.CAPABILITIES)),
            ):
                for each in getattr(use, key):
                    if each not in known:
                        raise PluginError(f"{where}.{key}: there is no {each!r}")

    def swaps(self) -> SwapLimits:
        return SwapLimits(self.trial_calls, self.trial_s * 1000, self.watch_calls, self.watch_s * 1000)

    def breaker(self) -> BreakerLimits:
        return BreakerLimits(in_a_row=self.open_after, first_pause=self.pause_s * 1000)


def name_from(path: str) -> str:
    """A plug-in's name from its file's, where no manifest tells one."""
    stem = re.sub(r"[^a-z0-9-]+", "-", path.rpartition("/")[2].rpartition(".")[0].lower()).strip("-")
    return (stem if stem[:1].isalpha() else f"p-{stem}")[:48].strip("-")
