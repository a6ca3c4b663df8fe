"""A member's view of its own lease: when it may act on a duty, when it renews, and how tokens are fenced."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from .duties import MAX_REASON_CHARS, DutyTable, RenewSession

# send times that are kept; a renewal applied after 64 later ones were sent does not extend the lease
MAX_PENDING_RENEWALS = 64


@dataclass(frozen=True, slots=True)
class Lease:
    """A lease of `duration_ms` by the holder's clock. Each clock's rate is within `drift` of true time."""

    duration_ms: float = 5000.0
    drift: float = 0.01

    def expiry_bound(self) -> float:
        """Time on another member's clock after which the lease has expired by any clock. The holder's lease
        takes at most duration_ms / (1 - drift) of true time, in which another clock advances by at most that
        times (1 + drift).
        """
        return self.duration_ms * (1 + self.drift) / (1 - self.drift)


@dataclass(frozen=True, slots=True)
class DutyHandover:
    """Sent to the successor `to`: the holder has stopped acting and `duty` belongs to the successor under
    `token`.
    """

    to: str
    duty: str
    token: int


class LeaseHolder:
    """`duties` is this member's copy of the duty table. Call `tick` after each applied entry and at least ten
    times per lease, with a time that was read before its result is proposed or sent. Call `acting_token`
    before each action, with the current time.
    """

    def __init__(self, member: str, incarnation: int, weight: float, lease: Lease, duties: DutyTable) -> None:
        self.member, self.incarnation, self.weight, self.lease, self.duties = (
            member,
            incarnation,
            weight,
            lease,
            duties,
        )
        self.last_sequence = 0
        self.renewal_times: OrderedDict[int, float] = OrderedDict()  # by renewal: a time before it was sent
        self.lease_expires = float("-inf")
        self.unavailable: dict[str, str] = {}  # reason by duty
        self.unavailable_since: dict[str, int] = {}  # by duty: the last renewal that reported it unavailable
        self.released: dict[str, int] = {}  # by duty: the token that was given up
        self.handed_over: dict[str, int] = {}  # by duty: the token that its holder handed over
        self.renew_now = True
        self.has_left = False

    def acting_token(self, name: str, now: float) -> int:
        """Returns the token under which this member may act on the duty now, or 0 if it may not."""
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
            return 0  # a renewal that releases the duty was sent, and none later has been applied
        token = 0
        if duty.holder == self.member:
            token = duty.token
        elif duty.successor == self.member and self.handed_over.get(name) == duty.successor_token:
            token = duty.successor_token
        return token if token > self.released.get(name, 0) else 0

    def mark_unavailable(self, name: str, reason: str) -> None:
        """Stops acting at once; the next renewal tells the others why."""
        self.renew_now = self.renew_now or name not in self.unavailable
        self.unavailable[name] = reason[:MAX_REASON_CHARS]

    def mark_available(self, name: str) -> None:
        self.renew_now = self.unavailable.pop(name, None) is not None or self.renew_now

    def set_weight(self, weight: float) -> None:
        """With 0 the member drains: its duties are handed over one by one while it still acts."""
        self.renew_now = self.renew_now or weight != self.weight
        self.weight = weight

    def leave(self) -> None:
        """Stops acting on all duties at once and permanently."""
        self.has_left = self.renew_now = True

    def accept_handover(self, name: str, token: int) -> None:
        """The duty's holder has handed it over. Has no effect until the replicated state names this member as
        the successor.
        """
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
        """Hands duties over without a gap: the successor is notified directly, before it learns of the
        release from the log.
        """
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
        """Drops tokens of removed duties, and availability records once a later renewal has been applied."""
        for tokens in (self.released, self.handed_over):
            for name in [name for name in tokens if name not in self.duties.duties]:
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
    """Checks fencing tokens at the resource that a duty changes: rejects a token older than one seen before.
    A resource that survives a restart stores `token` together with its data.
    """

    def __init__(self, token: int = 0) -> None:
        self.token, self.rejected = token, 0

    def admit(self, token: int) -> bool:
        """Returns whether a change under `token` may be made. Call it in the same step as the change."""
        if token < self.token or token <= 0:
            self.rejected += 1
            return False
        self.token = token
        return True
