"""Which member holds which duty under which token, derived from the committed log and equal on all members.

A member has a session, which its numbered renewals open and extend; duties depend on sessions
(docs/council.md). A duty is released only by its holder's own renewal or by the end of the holder's session,
so a holder whose copy of the log is behind can be wrong only about its lease, which it measures by its own
clock (`lease.py`). Tokens are log indexes. A command that no longer fits the state is rejected and changes
nothing.
"""

from __future__ import annotations

import msgspec
from msgspec import Struct

MAX_DUTIES = 1024
MAX_SESSIONS = 1024  # including ended sessions, of which the oldest is dropped first
MAX_REASON_CHARS = 200
MAX_NAME_CHARS = 200
MAX_BODY_BYTES = 64 * 1024  # of a command's body; a longer one is rejected


class RenewSession(Struct, frozen=True, array_like=True, tag="word"):
    """Opens or renews the sender's session. `incarnation` is drawn at random when the process starts;
    `sequence` grows by one with each renewal.
    """

    member: str
    incarnation: int
    sequence: int
    weight: float  # 0: the member drains and takes no more duties
    unavailable: dict[str, str] = {}  # reason by duty
    released: dict[str, int] = {}  # by duty: the token under which the member no longer acts
    leaving: bool = False


class EndSession(Struct, frozen=True, array_like=True, tag="end"):
    """The session expired after the renewal `sequence`; rejected if a later renewal has been applied."""

    member: str
    incarnation: int
    sequence: int


class GrantDuty(Struct, frozen=True, array_like=True, tag="grant"):
    duty: str
    member: str
    incarnation: int


class AssignSuccessor(Struct, frozen=True, array_like=True, tag="heir"):
    """The holder of `duty` under `token` is to hand it over to `member`."""

    duty: str
    token: int
    member: str
    incarnation: int


class DefineDuties(Struct, frozen=True, array_like=True, tag="define"):
    """The full set of duties from now on. A duty that is held and missing from the set is removed once it is
    released.
    """

    duties: tuple[str, ...]


class FencedCommand(Struct, frozen=True, array_like=True, tag="act"):
    """A command of the member that acts on `duty` under `token`, for the duty's state machine
    (`commands.py`); rejected if the token is no longer valid.
    """

    duty: str
    token: int
    body: bytes


class UnfencedCommand(Struct, frozen=True, array_like=True, tag="ask"):
    """A command of any member for the duty's state machine, whose own rules decide whether it applies. It is
    a separate type so that a fenced command with token 0, from a member that does not act, can never pass as
    unfenced.
    """

    duty: str
    body: bytes


Command = (
    RenewSession | EndSession | GrantDuty | AssignSuccessor | DefineDuties | FencedCommand | UnfencedCommand
)


class Session(Struct, rename={"incarnation": "life", "sequence": "number", "unavailable": "cannot"}):
    incarnation: int
    sequence: int  # of its last renewal
    weight: float
    unavailable: dict[str, str]
    open: bool = True


class Duty(
    Struct,
    rename={
        "holder_incarnation": "life",
        "successor": "heir",
        "successor_incarnation": "heir_life",
        "successor_token": "heir_token",
        "retired": "gone",
    },
):
    """`holder` and `successor` are empty if there is none. `fence` is the highest token under which an entry
    has been applied.
    """

    holder: str = ""
    holder_incarnation: int = 0
    token: int = 0
    successor: str = ""
    successor_incarnation: int = 0
    successor_token: int = 0
    fence: int = 0
    retired: bool = False


class DutyTableState(Struct):
    sessions: dict[str, Session] = {}
    duties: dict[str, Duty] = {}


def encode(command: Command) -> bytes:
    return msgspec.msgpack.encode(command)


def decode(data: bytes) -> Command:
    """Raises msgspec.ValidationError, a ValueError, for data that is not a command."""
    return COMMAND_DECODER.decode(data)


COMMAND_DECODER: msgspec.msgpack.Decoder[Command] = msgspec.msgpack.Decoder(Command)


class DutyTable:
    """`apply` must be called in log order."""

    def __init__(self) -> None:
        self.sessions: dict[str, Session] = {}
        self.duties: dict[str, Duty] = {}

    def dump(self) -> bytes:
        return msgspec.msgpack.encode(DutyTableState(self.sessions, self.duties))

    def load(self, data: bytes) -> None:
        """Raises msgspec.ValidationError for data that is not a dump."""
        state: DutyTableState = msgspec.msgpack.decode(data, type=DutyTableState)
        self.sessions, self.duties = state.sessions, state.duties

    def open_session(self, member: str, incarnation: int) -> Session | None:
        """Returns the member's session if it is open and of that incarnation."""
        session = self.sessions.get(member)
        return (
            session if session is not None and session.open and session.incarnation == incarnation else None
        )

    def apply(self, index: int, command: Command) -> bool:
        """Returns whether the command changed anything. Fenced and unfenced commands do not change the table:
        they are for `ReplicatedState`.
        """
        if isinstance(command, RenewSession):
            return self.apply_renewal(command)
        if isinstance(command, EndSession):
            session = self.open_session(command.member, command.incarnation)
            if session is None or session.sequence != command.sequence:
                return False
            self.close_session(command.member, session)
        elif isinstance(command, GrantDuty):
            duty = self.duties.get(command.duty)
            if duty is None or duty.holder or duty.retired or not self.can_take(command, command.duty):
                return False
            duty.holder, duty.holder_incarnation, duty.token = command.member, command.incarnation, index
        elif isinstance(command, AssignSuccessor):
            duty = self.duties.get(command.duty)
            if (
                duty is None
                or not duty.holder
                or duty.token != command.token
                or duty.successor
                or duty.retired
            ):
                return False
            if command.member == duty.holder or not self.can_take(command, command.duty):
                return False
            duty.successor, duty.successor_incarnation, duty.successor_token = (
                command.member,
                command.incarnation,
                index,
            )
        elif isinstance(command, DefineDuties):
            self.apply_definition(command)
        else:
            return False
        return True

    def admit_token(self, name: str, token: int) -> bool:
        """Returns whether an entry under `token` may be applied now. If so, records the token: later entries
        under a lower one are rejected. Call it exactly once per entry.
        """
        duty = self.duties.get(name)
        if duty is None or not duty.holder or token < duty.fence:
            return False
        if token != duty.token and not (duty.successor and token == duty.successor_token):
            return False
        duty.fence = token
        return True

    def can_take(self, to: GrantDuty | AssignSuccessor, duty: str) -> bool:
        session = self.open_session(to.member, to.incarnation)
        return session is not None and session.weight > 0 and duty not in session.unavailable

    def apply_renewal(self, renewal: RenewSession) -> bool:
        unavailable = {
            duty: reason[:MAX_REASON_CHARS]
            for duty, reason in renewal.unavailable.items()
            if duty in self.duties
        }
        session = self.sessions.get(renewal.member)
        if (
            session is not None
            and session.incarnation == renewal.incarnation
            and renewal.sequence <= session.sequence
        ):
            return False
        if session is None or not session.open:
            if renewal.leaving or not self.make_room(renewal.member):
                return False
            self.sessions[renewal.member] = Session(
                renewal.incarnation, renewal.sequence, renewal.weight, unavailable
            )
            return True
        if session.incarnation != renewal.incarnation:
            return False  # the previous incarnation may still act until its session has ended
        session.sequence, session.weight, session.unavailable = renewal.sequence, renewal.weight, unavailable
        if renewal.leaving:
            self.close_session(renewal.member, session)
            return True
        for name, duty in self.duties.items():
            released = renewal.released.get(name, 0)
            if duty.successor == renewal.member and (name in unavailable or released == duty.successor_token):
                duty.successor = ""
            if duty.holder == renewal.member and (name in unavailable or released == duty.token):
                self.release_duty(name, duty)
        self.remove_retired()
        return True

    def make_room(self, member: str) -> bool:
        """Makes room for one more session by dropping an ended one if necessary; returns whether there is
        room.
        """
        if member in self.sessions or len(self.sessions) < MAX_SESSIONS:
            self.sessions.pop(member, None)
            return len(member) <= MAX_NAME_CHARS
        ended = next((m for m, session in self.sessions.items() if not session.open), None)
        if ended is not None:
            del self.sessions[ended]
        return ended is not None and len(member) <= MAX_NAME_CHARS

    def close_session(self, member: str, session: Session) -> None:
        session.open = False
        for name, duty in self.duties.items():
            if duty.successor == member:
                duty.successor = ""
            if duty.holder == member:
                self.release_duty(name, duty)
        self.remove_retired()

    def release_duty(self, name: str, duty: Duty) -> None:
        duty.holder = ""
        if duty.successor:
            duty.holder, duty.holder_incarnation, duty.token, duty.successor = (
                duty.successor,
                duty.successor_incarnation,
                duty.successor_token,
                "",
            )

    def remove_retired(self) -> None:
        for name in [n for n, d in self.duties.items() if d.retired and not d.holder]:
            del self.duties[name]

    def apply_definition(self, command: DefineDuties) -> None:
        wanted = [name for name in command.duties if len(name) <= MAX_NAME_CHARS]
        for name, duty in self.duties.items():
            duty.retired = name not in wanted
        self.remove_retired()
        for name in wanted:
            if name not in self.duties and len(self.duties) < MAX_DUTIES:
                self.duties[name] = Duty()
