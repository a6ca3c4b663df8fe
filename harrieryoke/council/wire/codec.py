"""What members say, as frames of council.proto, and back.

What comes is checked here, so that nothing behind it has to be: a value is in its range, entries go on
without a hole, a configuration names nobody twice, a piece lies within its snapshot.
"""

from __future__ import annotations

from collections.abc import Iterable

from ...wire.frames import WireError
from ..decide.duties import MAX_NAME_CHARS, MAX_SESSIONS
from ..decide.lease import DutyHandover
from ..decide.messages import (
    AppendEntries,
    AppendEntriesResponse,
    Configuration,
    Entry,
    ForwardProposal,
    InstallSnapshot,
    InstallSnapshotResponse,
    JoinRequest,
    Message,
    ReplicaId,
    RequestVote,
    RequestVoteResponse,
    Snapshot,
    TimeoutNow,
)
from ..decide.raft import MAX_VOTERS
from . import council_pb2 as pb

__all__ = [
    "LEAST",
    "MOST_FRAME",
    "MOST_HELLO",
    "VERSION",
    "WireError",
    "from_wire",
    "pb",
    "read_seat",
    "seat_pb",
    "to_wire",
]

VERSION, LEAST = 1, 1  # spoken here: from the least to this
MOST_FRAME = 4 << 20  # bytes
MOST_HELLO = 4 << 10  # bytes of a frame before Welcome
MOST_COUNT = (1 << 63) - 1  # of terms, indexes and tokens


def seat_pb(seat: ReplicaId) -> pb.Seat:
    return pb.Seat(name=seat.name, disk=seat.disk_id)


def seats_pb(seats: Iterable[ReplicaId]) -> list[pb.Seat]:
    return [seat_pb(seat) for seat in sorted(seats)]


def members_pb(members: Configuration) -> pb.Members:
    return pb.Members(voters=seats_pb(members.voters), learners=seats_pb(members.learners))


def entry_pb(e: Entry) -> pb.Entry:
    members = None if e.members is None else members_pb(e.members)
    return pb.Entry(index=e.index, term=e.term, data=e.data, members=members)


def to_wire(m: Message | DutyHandover) -> pb.Frame:
    """Raises ValueError for a number that has no place in its field."""
    match m:
        case RequestVote(term, index, last, pre, force):
            asked = pb.AskVote(term=term, last_index=index, last_term=last, pre=pre, force=force)
            return pb.Frame(ask_vote=asked)
        case RequestVoteResponse(term, granted, pre):
            return pb.Frame(vote=pb.Vote(term=term, granted=granted, pre=pre))
        case AppendEntries(term, prev, prev_term, entries, commit):
            told = [entry_pb(entry) for entry in entries]
            made = pb.Append(term=term, prev=prev, prev_term=prev_term, entries=told, commit=commit)
            return pb.Frame(append=made)
        case AppendEntriesResponse(term, ok, index, at):
            return pb.Frame(ack=pb.Ack(term=term, ok=ok, index=index, at=at))
        case InstallSnapshot(term, s, offset, total, data):
            head = pb.Snapshot(index=s.index, term=s.term, members=members_pb(s.members))
            return pb.Frame(piece=pb.Piece(term=term, snapshot=head, offset=offset, total=total, data=data))
        case InstallSnapshotResponse(term, index, want):
            return pb.Frame(piece_ack=pb.PieceAck(term=term, index=index, want=want))
        case TimeoutNow(term):
            return pb.Frame(now=pb.Now(term=term))
        case ForwardProposal(data):
            return pb.Frame(offer=pb.Offer(data=data))
        case JoinRequest():
            return pb.Frame(knock=pb.Knock())
        case DutyHandover(to, duty, token):
            return pb.Frame(passed=pb.Passed(to=to, duty=duty, token=token))


def from_wire(frame: pb.Frame) -> Message | DutyHandover:
    """Raises WireError, which names the field, for a value out of its range and for a frame that is no
    message."""
    match frame.WhichOneof("said"):
        case "ask_vote":
            a = frame.ask_vote
            counts("ask_vote", term=a.term, last_index=a.last_index, last_term=a.last_term)
            return RequestVote(a.term, a.last_index, a.last_term, a.pre, a.force)
        case "vote":
            v = frame.vote
            counts("vote", term=v.term)
            return RequestVoteResponse(v.term, v.granted, v.pre)
        case "append":
            return read_append(frame.append)
        case "ack":
            k = frame.ack
            counts("ack", term=k.term, index=k.index, at=k.at)
            return AppendEntriesResponse(k.term, k.ok, k.index, k.at)
        case "piece":
            return read_piece(frame.piece)
        case "piece_ack":
            p = frame.piece_ack
            counts("piece_ack", term=p.term, index=p.index, want=p.want)
            return InstallSnapshotResponse(p.term, p.index, p.want)
        case "now":
            counts("now", term=frame.now.term)
            return TimeoutNow(frame.now.term)
        case "offer":
            if not frame.offer.data:
                raise WireError("offer.data: empty")
            return ForwardProposal(frame.offer.data)
        case "knock":
            return JoinRequest()
        case "passed":
            d = frame.passed
            counts("passed", token=d.token)
            if not d.token:
                raise WireError("passed.token: 0 is no token")
            return DutyHandover(name("passed.to", d.to), name("passed.duty", d.duty), d.token)
        case other:
            raise WireError(f"{other}: no message between members")


def counts(where: str, **told: int) -> None:
    for field, value in told.items():
        if value > MOST_COUNT:
            raise WireError(f"{where}.{field}: {value} is above {MOST_COUNT}")


def name(where: str, text: str) -> str:
    if not 0 < len(text) <= MAX_NAME_CHARS:
        raise WireError(f"{where}: a name has 1 to {MAX_NAME_CHARS} characters, not {len(text)}")
    return text


def read_seat(where: str, seat: pb.Seat) -> ReplicaId:
    return ReplicaId(name(f"{where}.name", seat.name), seat.disk)


def read_members(where: str, told: pb.Members) -> Configuration:
    voters = frozenset(read_seat(f"{where}.voters", seat) for seat in told.voters)
    learners = frozenset(read_seat(f"{where}.learners", seat) for seat in told.learners)
    if not 0 < len(voters) <= MAX_VOTERS:
        raise WireError(f"{where}.voters: 1 to {MAX_VOTERS}, not {len(voters)}")
    if len(learners) > MAX_SESSIONS:
        raise WireError(f"{where}.learners: {MAX_SESSIONS} at most, not {len(learners)}")
    if len({seat.name for seat in voters | learners}) < len(told.voters) + len(told.learners):
        raise WireError(f"{where}: a name is in it twice")
    return Configuration(voters, learners)


def read_append(a: pb.Append) -> AppendEntries:
    counts("append", term=a.term, prev=a.prev, prev_term=a.prev_term, commit=a.commit)
    if a.prev_term > a.term:
        raise WireError(f"append.prev_term: {a.prev_term} is above the term {a.term}")
    entries, term = list[Entry](), a.prev_term
    for at, e in enumerate(a.entries):
        where = f"append.entries[{at}]"
        counts(where, index=e.index)
        if e.index != a.prev + 1 + at:
            raise WireError(f"{where}.index: {e.index} does not follow {a.prev + at}")
        if not term <= e.term <= a.term:
            raise WireError(f"{where}.term: {e.term} is not from {term} to {a.term}")
        changes = e.HasField("members")
        if changes and e.data:
            raise WireError(f"{where}.data: a change of the configuration has none")
        members = read_members(f"{where}.members", e.members) if changes else None
        entries.append(Entry(e.index, e.term, e.data, members))
        term = e.term
    return AppendEntries(a.term, a.prev, a.prev_term, tuple(entries), a.commit)


def read_piece(p: pb.Piece) -> InstallSnapshot:
    s = p.snapshot
    counts("piece", term=p.term, total=p.total)
    counts("piece.snapshot", index=s.index)
    if s.term > p.term:
        raise WireError(f"piece.snapshot.term: {s.term} is above the term {p.term}")
    if p.offset + len(p.data) > p.total:
        raise WireError(f"piece.offset: {p.offset} and {len(p.data)} bytes go beyond {p.total}")
    members = read_members("piece.snapshot.members", s.members)
    return InstallSnapshot(p.term, Snapshot(s.index, s.term, members), p.offset, p.total, p.data)
