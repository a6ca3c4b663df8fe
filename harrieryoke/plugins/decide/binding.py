"""Which calls are shown to a plug-in."""

from __future__ import annotations

from dataclasses import dataclass

PLATFORM, MQTT = "platform", "mqtt"
FRONTS = (PLATFORM, MQTT)


@dataclass(frozen=True, slots=True)
class Binding:
    """A filter on calls; an empty set matches all. A cooperative's plug-in is bound to its tenant, so that it
    sees no other tenant's calls."""

    tenants: frozenset[str] = frozenset()
    classes: frozenset[str] = frozenset()
    fronts: frozenset[str] = frozenset()

    def matches(self, tenant: str | None, class_name: str, front: str) -> bool:
        return (
            (not self.tenants or tenant in self.tenants)
            and (not self.classes or class_name in self.classes)
            and (not self.fronts or front in self.fronts)
        )
