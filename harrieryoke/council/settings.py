"""The operator's [council] table."""

from __future__ import annotations

from typing import Any

import msgspec
from msgspec.structs import replace

from ..checks import ConfigError, read_address
from ..store.settings import StoreError, StoreSettings
from .decide.duties import MAX_DUTIES, MAX_NAME_CHARS, MAX_SESSIONS
from .decide.grants import TurnSettings, TurnSettingsError
from .decide.lease import Lease
from .decide.raft import MAX_VOTERS, RaftSettings

MOST_WEIGHT = 1e6
RENEWED = ("members", "voters", "duties", "weight")  # by SIGHUP


class CouncilError(ValueError):
    """A key that can't be used; the message begins with its name and ends with what is wanted."""


class CouncilSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Who agrees with whom, and on which duties. Times are milliseconds. SIGHUP brings `members`, `voters`,
    `duties` and `weight` anew; the rest waits for a restart."""

    installation: str
    members: dict[str, str]  # by name: HOST:PORT
    voters: list[str]
    duties: list[str] = []
    name: str = ""  # else the invoker's own
    listen: str = ""  # else its address in `members`
    folder: str = "council-data"
    store: dict[str, Any] = {}  # keys of [store]
    weight: float = 1.0  # its share of duties; 0: it takes none
    lease_ms: float = 5000.0
    drift: float = 0.01  # of any member's clock, as a share of true time
    election_ms: float = 1000.0
    heartbeat_ms: float = 200.0
    stall_ms: float = 1500.0
    silent_ms: float = 10_000.0
    settle_ms: float = 10_000.0
    leave_ms: float = 2000.0  # after SIGTERM, for its duties to be handed on
    compact_every: int = 2048  # entries
    mailbox: int = 4096  # messages; beyond them one is dropped, as if it was lost on its way
    reconcile: TurnSettings = TurnSettings()  # of the duty `reconcile`

    def check(self) -> None:
        """Raises CouncilError."""
        check_name("council.installation", self.installation)
        if not 1 <= len(self.members) <= MAX_SESSIONS:
            raise CouncilError(f"council.members: 1 to {MAX_SESSIONS} are wanted")
        seen = dict[tuple[str, int], str]()
        for name in self.members:
            check_name(f"council.members.{name}", name)
            other = seen.setdefault(self.address(name), name)
            if other != name:
                raise CouncilError(f"council.members.{name}: {other} has this address; each has its own")
        if self.listen:
            read("council.listen", self.listen)
        self.check_voters()
        if len(set(self.duties)) < len(self.duties) or len(self.duties) > MAX_DUTIES:
            raise CouncilError(f"council.duties: each is named once, and {MAX_DUTIES} at the most")
        for duty in self.duties:
            check_name("council.duties", duty)
        if self.name:
            self.member(self.name)
        self.check_times()
        try:
            self.reconcile.check("council.reconcile")
        except TurnSettingsError as error:
            raise CouncilError(str(error)) from None
        self.store_settings()

    def check_voters(self) -> None:
        unknown = [name for name in self.voters if name not in self.members]
        if unknown:
            raise CouncilError(f"council.voters: {unknown[0]} is none of council.members; add it there")
        if len(set(self.voters)) < len(self.voters):
            raise CouncilError("council.voters: each is named once")
        if len(self.voters) not in (1, *range(3, MAX_VOTERS + 1)):
            wanted = f"1, or 3 to {MAX_VOTERS}, are wanted"
            raise CouncilError(f"council.voters: {wanted}: with 2 the loss of either stops agreement")

    def check_times(self) -> None:
        bounds: tuple[tuple[str, float, float], ...] = (
            ("weight", 0, MOST_WEIGHT),
            ("drift", 0, 0.1),
            ("heartbeat_ms", 10, 60_000),
            ("election_ms", 30, 600_000),
            ("lease_ms", 100, 3_600_000),
            ("stall_ms", 50, 600_000),
            ("silent_ms", 100, 86_400_000),
            ("settle_ms", 0, 86_400_000),
            ("leave_ms", 0, 600_000),
            ("compact_every", 16, 1_000_000),
            ("mailbox", 64, 65_536),
        )
        for key, least, most in bounds:
            if not least <= getattr(self, key) <= most:
                raise CouncilError(f"council.{key}: {least:g} to {most:g} is wanted")
        for key, times, other in (
            ("heartbeat_ms", 3, "election_ms"),
            ("election_ms", 2, "lease_ms"),
            ("election_ms", 2, "silent_ms"),
        ):
            if getattr(self, key) * times > getattr(self, other):
                most = getattr(self, other) / times
                raise CouncilError(f"council.{key}: {most:g} at the most, as {other} is {times} times that")

    def member(self, own_name: str) -> str:
        """This member's name: the invoker's own, where the table names no other. Raises CouncilError."""
        name = self.name or own_name
        if name not in self.members:
            told = "set council.name, or add it there"
            raise CouncilError(f"council.name: {name} is none of council.members; {told}")
        return name

    def addresses(self) -> dict[str, tuple[str, int]]:
        return {name: self.address(name) for name in self.members}

    def address(self, name: str) -> tuple[str, int]:
        return read(f"council.members.{name}", self.members[name])

    def own_address(self, name: str) -> tuple[str, int]:
        return read("council.listen", self.listen) if self.listen else self.address(name)

    def renewed(self, new: CouncilSettings, own_name: str) -> CouncilSettings:
        """With what may change while the member runs. Raises CouncilError."""
        new.member(self.member(own_name))
        return replace(self, **{key: getattr(new, key) for key in RENEWED})

    def told(self) -> RaftSettings:
        return RaftSettings(
            election_ms=self.election_ms,
            heartbeat_ms=self.heartbeat_ms,
            stall_ms=self.stall_ms,
            silent_ms=self.silent_ms,
        )

    def lease(self) -> Lease:
        return Lease(self.lease_ms, self.drift)

    def store_settings(self) -> StoreSettings:
        """Raises CouncilError."""
        if "folder" in self.store:
            raise CouncilError("council.store.folder: council.folder is wanted")
        try:
            made = msgspec.convert(self.store | {"folder": self.folder}, StoreSettings)
            made.check()
        except (msgspec.ValidationError, StoreError) as error:
            raise CouncilError(f"council.store: {error}") from None
        return made


def read(key: str, text: str) -> tuple[str, int]:
    try:
        return read_address(key, text)
    except ConfigError as error:
        raise CouncilError(str(error)) from None


def check_name(key: str, name: str) -> None:
    if not name.isprintable() or not 0 < len(name) <= MAX_NAME_CHARS:
        raise CouncilError(f"{key}: 1 to {MAX_NAME_CHARS} printable characters are wanted")
