"""Validates requests and creates calls from them, for all fronts."""

from __future__ import annotations

import re
from collections.abc import Mapping

from .. import interface as i
from ..limits import Limits
from .records import Call

HEX_ID = re.compile(r"[0-9a-f]{16}\Z")
# printable ASCII without ',' and '=', which separate the fields of a frame
DEDUPLICATION_KEY = re.compile(r"[!-+\--<>-~]{1,256}\Z")


class InvalidCallError(ValueError):
    """The request is not valid; the message begins with the name of the wrong value."""


class CallMaker:
    """Creates calls under the current settings."""

    def __init__(self, settings: i.Settings, limits: Limits) -> None:
        self.limits = limits
        self.apply_settings(settings)

    def apply_settings(self, settings: i.Settings) -> None:
        """Use these settings for new calls. Every other part must know them already."""
        self.settings = settings
        self.classes, self.tenants = settings.active_classes(), settings.active_tenants()

    def is_keyed(self, name: str) -> bool:
        """Return whether calls of the class carry a deduplication key."""
        return self.settings.classes[self.classes[name]].effect is i.Effect.KEYED

    def make(
        self,
        name: str,
        request_id: str,
        function: str,
        budget: float,
        received_at: float,
        body: bytes,
        key: str | None,
        tenant: str | None,
        extras: Mapping[str, float],
        topic: str = "",
    ) -> Call:
        """Create a call. `budget` and `received_at` are milliseconds. Raises InvalidCallError."""
        for invalid, message in (
            (not HEX_ID.match(request_id), "id: 16 hex digits are wanted"),
            (bool(function or not topic) and not HEX_ID.match(function), "function: 16 hex digits wanted"),
            (not 0 < budget < 1e9, "deadline: milliseconds above 0 are wanted"),
            (len(body) > self.limits.body_bytes, "body: it is too large"),
            (tenant is not None and tenant not in self.tenants, "tenant: there is no such"),
            (self.is_keyed(name) and key is None, "key: missing in a keyed class"),
            (
                key is not None and not DEDUPLICATION_KEY.match(key),
                "key: printable without ',' and '=' is wanted",
            ),
            (not 0 <= extras.get("memory_mb", 0.0) < 1e9, "memory_mb: can't be used"),
            (not 1 <= extras.get("lanes", 1.0) < 1e6, "lanes: can't be used"),
            (not 0 < extras.get("load_ms", 1.0) < 1e9, "load_ms: can't be used"),
        ):
            if invalid:
                raise InvalidCallError(message)
        return Call(
            request_id,
            self.classes[name],
            function,
            received_at + budget,
            body,
            key,
            None if tenant is None else self.tenants[tenant],
            extras.get("memory_mb", 0.0),
            int(extras.get("lanes", 1.0)),
            extras.get("load_ms"),
            received_at,
            topic,
        )
