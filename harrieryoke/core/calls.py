"""Makes calls from names and figures, whatever front they came through, or says what is wrong with them."""

from __future__ import annotations

import re
from collections.abc import Mapping

from .. import interface as i
from ..limits import Limits
from .records import Call

HEX16 = re.compile(r"[0-9a-f]{16}\Z")
KEY = re.compile(r"[!-+\--<>-~]{1,256}\Z")  # printable, without ',' and '=': it travels in a frame's fields


class BadCall(ValueError):
    """What was asked for can't be a call; the message begins with the name of the value."""


class CallMaker:
    """Knows the classes and tenants by name."""

    def __init__(self, settings: i.Settings, limits: Limits) -> None:
        self.limits = limits
        self.retune(settings)

    def retune(self, settings: i.Settings) -> None:
        """From here calls are made under these settings. The service calls it once every part knows them."""
        self.settings = settings
        self.classes, self.tenants = settings.active_classes(), settings.active_tenants()

    def keyed(self, name: str) -> bool:
        return self.settings.classes[self.classes[name]].effect is i.Effect.KEYED

    def make(
        self,
        name: str,
        rid: str,
        function: str,
        budget: float,
        taken: float,
        body: bytes,
        key: str | None,
        tenant: str | None,
        extras: Mapping[str, float],
        topic: str = "",
    ) -> Call:
        for wrong, text in (
            (not HEX16.match(rid), "id: 16 hex digits are wanted"),
            (bool(function or not topic) and not HEX16.match(function), "function: 16 hex digits wanted"),
            (not 0 < budget < 1e9, "deadline: milliseconds above 0 are wanted"),
            (len(body) > self.limits.body_bytes, "body: it is too large"),
            (tenant is not None and tenant not in self.tenants, "tenant: there is no such"),
            (self.keyed(name) and key is None, "key: missing in a keyed class"),
            (key is not None and not KEY.match(key), "key: printable without ',' and '=' is wanted"),
            (not 0 <= extras.get("memory_mb", 0.0) < 1e9, "memory_mb: can't be used"),
            (not 1 <= extras.get("lanes", 1.0) < 1e6, "lanes: can't be used"),
            (not 0 < extras.get("load_ms", 1.0) < 1e9, "load_ms: can't be used"),
        ):
            if wrong:
                raise BadCall(text)
        return Call(
            rid,
            self.classes[name],
            function,
            taken + budget,
            body,
            key,
            None if tenant is None else self.tenants[tenant],
            extras.get("memory_mb", 0.0),
            int(extras.get("lanes", 1.0)),
            extras.get("load_ms"),
            taken,
            topic,
        )
