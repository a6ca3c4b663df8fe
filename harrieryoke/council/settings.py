"""The [council] table of the operator's file."""

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

MAX_WEIGHT = 1e6
RELOADABLE_KEYS = ("members", "voters", "duties", "weight")  # by SIGHUP


class CouncilError(ValueError):
    """A key that cannot be used. The message begins with the key and says what is expected."""


class CouncilSettings(msgspec.Struct, forbid_unknown_fields=True):
    """The members and duties of a council. Times are milliseconds. SIGHUP reloads `members`, `voters`,
    `duties` and `weight`; the other keys need a restart.
    """

    installation: str
    members: dict[str, str]  # HOST:PORT by name
    voters: list[str]
    duties: list[str] = []
    name: str = ""  # default: the invoker's name
    listen: str = ""  # default: the address in `members`
    folder: str = "council-data"
    store: dict[str, Any] = {}  # keys of the [store] table
    weight: float = 1.0  # share of the duties; 0: none
    lease_ms: float = 5000.0
    drift: float = 0.01  # of any member's clock rate, as a share of true time
    election_ms: float = 1000.0
    heartbeat_ms: float = 200.0
    stall_ms: float = 1500.0
    silent_ms: float = 10_000.0
    settle_ms: float = 10_000.0
    leave_ms: float = 2000.0  # time to hand duties over after SIGTERM
    compact_every: int = 2048  # entries
    mailbox: int = 4096  # messages; beyond them a message is dropped as if lost
    reconcile: TurnSettings = TurnSettings()  # settings of the duty `reconcile`

    def check(self) -> None:
        """Raises CouncilError."""
        check_name("council.installation", self.installation)
        if not 1 <= len(self.members) <= MAX_SESSIONS:
            raise CouncilError(f"council.members: must have 1 to {MAX_SESSIONS} entries")
        names_by_address = dict[tuple[str, int], str]()
        for name in self.members:
            check_name(f"council.members.{name}", name)
            other_name = names_by_address.setdefault(self.member_address(name), name)
            if other_name != name:
                raise CouncilError(f"council.members.{name}: {other_name} has the same address")
        if self.listen:
            parse_address("council.listen", self.listen)
        self.check_voters()
        if len(set(self.duties)) < len(self.duties) or len(self.duties) > MAX_DUTIES:
            raise CouncilError(f"council.duties: must be unique, and at most {MAX_DUTIES}")
        for duty in self.duties:
            check_name("council.duties", duty)
        if self.name:
            self.member_name(self.name)
        self.check_times()
        try:
            self.reconcile.check("council.reconcile")
        except TurnSettingsError as error:
            raise CouncilError(str(error)) from None
        self.store_settings()

    def check_voters(self) -> None:
        unknown = [name for name in self.voters if name not in self.members]
        if unknown:
            raise CouncilError(f"council.voters: {unknown[0]} is not in council.members; add it there")
        if len(set(self.voters)) < len(self.voters):
            raise CouncilError("council.voters: must be unique")
        if len(self.voters) not in (1, *range(3, MAX_VOTERS + 1)):
            expected = f"must have 1, or 3 to {MAX_VOTERS} names"
            raise CouncilError(f"council.voters: {expected}: with 2, losing either one loses the quorum")

    def check_times(self) -> None:
        bounds: tuple[tuple[str, float, float], ...] = (
            ("weight", 0, MAX_WEIGHT),
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
        for key, minimum, maximum in bounds:
            if not minimum <= getattr(self, key) <= maximum:
                raise CouncilError(f"council.{key}: must be {minimum:g} to {maximum:g}")
        for key, factor, other_key in (
            ("heartbeat_ms", 3, "election_ms"),
            ("election_ms", 2, "lease_ms"),
            ("election_ms", 2, "silent_ms"),
        ):
            if getattr(self, key) * factor > getattr(self, other_key):
                maximum = getattr(self, other_key) / factor
                raise CouncilError(
                    f"council.{key}: must be at most {maximum:g}: {other_key} must be {factor} times as long"
                )

    def member_name(self, own_name: str) -> str:
        """Returns this member's name: the invoker's, if [council] has no `name`. Raises CouncilError."""
        name = self.name or own_name
        if name not in self.members:
            hint = "set council.name, or add it there"
            raise CouncilError(f"council.name: {name} is not in council.members; {hint}")
        return name

    def member_addresses(self) -> dict[str, tuple[str, int]]:
        return {name: self.member_address(name) for name in self.members}

    def member_address(self, name: str) -> tuple[str, int]:
        return parse_address(f"council.members.{name}", self.members[name])

    def listen_address(self, name: str) -> tuple[str, int]:
        return parse_address("council.listen", self.listen) if self.listen else self.member_address(name)

    def with_reloadable_keys(self, new: CouncilSettings, own_name: str) -> CouncilSettings:
        """Returns a copy with the keys of `new` that may change at run time. Raises CouncilError."""
        new.member_name(self.member_name(own_name))
        return replace(self, **{key: getattr(new, key) for key in RELOADABLE_KEYS})

    def raft_settings(self) -> RaftSettings:
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
            raise CouncilError("council.store.folder: use council.folder instead")
        try:
            settings = msgspec.convert(self.store | {"folder": self.folder}, StoreSettings)
            settings.check()
        except (msgspec.ValidationError, StoreError) as error:
            raise CouncilError(f"council.store: {error}") from None
        return settings


def parse_address(key: str, text: str) -> tuple[str, int]:
    try:
        return read_address(key, text)
    except ConfigError as error:
        raise CouncilError(str(error)) from None


def check_name(key: str, name: str) -> None:
    if not name.isprintable() or not 0 < len(name) <= MAX_NAME_CHARS:
        raise CouncilError(f"{key}: must be 1 to {MAX_NAME_CHARS} printable characters")
