"""The model hosts that operators took out, and which of two changes of a ban is the later one; no I/O."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class BanChanged:
    """A change of a host's ban that came into force.

    `version` is when an operator made it, in ns of the machine's monotonic clock, which all processes of an
    upgrade read. `source` is who told of it, None for an operator of this process.
    """

    id: str
    banned: bool
    version: int
    source: object = None


class BanTable:
    """The last change of each host wins, in whatever order changes arrive."""

    def __init__(self, max_remembered: int) -> None:
        """The versions of at most `max_remembered` hosts are kept, and of all banned ones."""
        self.max_remembered = max_remembered
        self.banned: set[str] = set()
        self.versions: dict[str, int] = {}  # also of lifted bans; in the order of the changes

    def load(self, banned: Iterable[str], versions: Mapping[str, int]) -> None:
        """Replace the table. A banned host without a version counts as banned before all changes."""
        self.banned, self.versions = set(banned), dict(versions)

    def next_version(self, id: str, now_ns: int) -> int:
        """Return the version of a change that an operator makes now."""
        return max(now_ns, self.versions.get(id, 0) + 1)

    def apply(self, id: str, banned: bool, version: int) -> bool:
        """Apply a change; return False if it is not later than the one in force.

        Of two changes at the same instant the ban wins.
        """
        if (version, banned) <= (self.versions.get(id, 0), id in self.banned):
            return False
        self.versions.pop(id, None)
        self.versions[id] = version
        if banned:
            self.banned.add(id)
        else:
            self.banned.discard(id)
        self.forget_oldest()
        return True

    def forget_oldest(self) -> None:
        """Bound the memory: forget the version of the host whose ban was lifted first."""
        if len(self.versions) > self.max_remembered:
            oldest = next((id for id in self.versions if id not in self.banned), None)
            if oldest is not None:
                del self.versions[oldest]
