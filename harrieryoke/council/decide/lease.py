"""A member's own side of its duties: when it may act, what it says, and the fence at what it changes."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from .duties import MAX_REASON_CHARS, DutyTable, RenewSession

MAX_PENDING_RENEWALS = (
    64  # words whose time is remembered; one that is applied after 64 later ones renews nothing
)


@dataclass(frozen=True, slots=True)
class Lease:
    """`ms` of the holder's clock. Each clock's rate is within `drift` of true time."""

    duration_ms: float = 5000.0
    drift: float = 0.01

    def expiry_bound_ms(self) -> float:
        """Milliseconds of another's clock after which the holder's lease is over by any clock. If the holder
        took no more than ms / (1 - drift) of true time, another's clock shows no more than that times
        (1 + drift)."""
        return self.duration_ms * (1 + self.drift) / (1 - self.drift)


@dataclass(frozen=True, slots=True)
class DutyHandover:
    """To the heir `to`: the holder has stopped, `duty` is the heir's under `token`."""

    to: str
    duty: str
    token: int


class LeaseHolder:
    """`duties` is this member's copy of what was agreed. After each entry that was applied, and at least ten
    times a lease, `turn`; what it gives is offered to the log, or sent, after the time it was called with.
    `acting` is asked before each act, with the time of then."""

    def __init__(self, member: str, incarnation: int, weight: float, lease: Lease, duties: DutyTable) -> None:
        self.member, self.incarnation, self.weight, self.lease, self.duties = (
            member,
            incarnation,
            weight,
            lease,
            duties,
        )
        self.last_sequence = 0
        self.renewal_times: OrderedDict[int, float] = OrderedDict()  # by word: the time before it was said
        self.lease_expires = float("-inf")
        self.unavailable: dict[str, str] = {}  # by duty: why it can't be done
        self.unavailable_since: dict[str, int] = {}  # by duty: the last word that said so
        self.released: dict[str, int] = {}  # by duty: the token that was given back
        self.handed_over: dict[str, int] = {}  # by duty: the token that its holder passed on
        self.renew_now = True
        self.has_left = False

    def acting_token(self, name: str, now: float) -> int:
        """The token under which this member may act on the duty now; 0 for not at all."""
        session = self.duties.open_session(self.member, self.incarnation)
        duty = self.duties.duties.get(name)
        if (
            session is None
            or duty is None
            or now >= self.lease_expires
            or self.has_left
            or name in self.unavailable
        ):
            return 0
        if session.sequence <= self.unavailable_since.get(name, 0):
            return 0  # a word of before, which frees the duty, may still be on its way into the log
        token = 0
        if duty.holder == self.member:
            token = duty.token
        elif duty.successor == self.member and self.handed_over.get(name) == duty.successor_token:
            token = duty.successor_token
        return token if token > self.released.get(name, 0) else 0

    def mark_unavailable(self, name: str, reason: str) -> None:
        """It stops at once; the others hear why."""
        self.renew_now = self.renew_now or name not in self.unavailable
        self.unavailable[name] = reason[:MAX_REASON_CHARS]

    def mark_available(self, name: str) -> None:
        self.renew_now = self.unavailable.pop(name, None) is not None or self.renew_now

    def set_weight(self, weight: float) -> None:
        """0: it drains. Its duties are passed on, one after the other, while it still acts."""
        self.renew_now = self.renew_now or weight != self.weight
        self.weight = weight

    def leave(self) -> None:
        """It stops all at once, and for good."""
        self.has_left = self.renew_now = True

    def accept_handover(self, name: str, token: int) -> None:
        """The duty's holder says so. Before the agreed state names this member its heir it does nothing."""
        if name in self.duties.duties and token > self.handed_over.get(name, 0):
            self.handed_over[name] = token

    def tick(self, now: float) -> list[RenewSession | DutyHandover]:
        session = self.duties.open_session(self.member, self.incarnation)
        if session is not None and session.sequence in self.renewal_times:
            self.lease_expires = max(
                self.lease_expires, self.renewal_times[session.sequence] + self.lease.duration_ms
            )
        actions: list[RenewSession | DutyHandover] = list(self.hand_over_duties())
        self.discard_stale()
        last_renewal = self.renewal_times.get(self.last_sequence, float("-inf"))
        renewal_applied = session is not None and session.sequence == self.last_sequence
        if self.renew_now or now - last_renewal >= self.lease.duration_ms / (3 if renewal_applied else 6):
            actions.append(self.build_renewal(now))
        return actions

    def hand_over_duties(self) -> list[DutyHandover]:
        """Guards against a gap: the heir is told directly, and later learns the same from the log."""
        handovers = []
        for name, duty in self.duties.duties.items():
            is_holder = duty.holder == self.member and duty.holder_incarnation == self.incarnation
            if not is_holder or duty.token <= self.released.get(name, 0):
                continue
            if duty.successor or duty.retired:
                self.released[name], self.renew_now = duty.token, True
            if duty.successor:
                handovers.append(DutyHandover(duty.successor, name, duty.successor_token))
        return handovers

    def discard_stale(self) -> None:
        """What is kept by duty goes with the duty; of a reason, when a word after it was applied."""
        for tokens in (self.released, self.handed_over):
            for name in [sequence for sequence in tokens if sequence not in self.duties.duties]:
                del tokens[name]
        session = self.duties.open_session(self.member, self.incarnation)
        if session is not None:
            self.unavailable_since = {
                name: sequence
                for name, sequence in self.unavailable_since.items()
                if sequence >= session.sequence
            }

    def build_renewal(self, now: float) -> RenewSession:
        self.last_sequence += 1
        self.renew_now = False
        self.renewal_times[self.last_sequence] = now
        while len(self.renewal_times) > MAX_PENDING_RENEWALS:
            self.renewal_times.popitem(last=False)
        for name in self.unavailable:
            self.unavailable_since[name] = self.last_sequence
        released = {
            name: token
            for name, token in self.released.items()
            if (duty := self.duties.duties.get(name)) is not None
            and ((duty.holder, duty.token) == (self.member, token) or duty.successor_token == token)
        }
        return RenewSession(
            self.member,
            self.incarnation,
            self.last_sequence,
            self.weight,
            dict(self.unavailable),
            released,
            self.has_left,
        )


class Fence:
    """At what a duty changes: turns down a token older than one that came before. What outlives a restart
    keeps `token` with what it changes."""

    def __init__(self, token: int = 0) -> None:
        self.token, self.rejected = token, 0

    def admit(self, token: int) -> bool:
        """Whether a change under that token may be made. To be asked in the step that makes it."""
        if token < self.token or token <= 0:
            self.rejected += 1
            return False
        self.token = token
        return True
