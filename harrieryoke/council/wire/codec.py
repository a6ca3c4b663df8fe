"""Converts messages to and from frames of council.proto.

Incoming values are validated here, so that later code does not have to: numbers are in range, entries are
contiguous, a configuration has no duplicate names, a chunk lies within its snapshot.
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
    "MAX_FRAME_BYTES",
    "MAX_HELLO_BYTES",
    "MIN_VERSION",
    "VERSION",
    "WireError",
    "from_wire",
    "pb",
    "read_replica",
    "replica_to_pb",
    "to_wire",
]

VERSION, MIN_VERSION = 1, 1  # supported protocol versions, newest and oldest
MAX_FRAME_BYTES = 4 << 20
MAX_HELLO_BYTES = 4 << 10  # for a frame before Welcome
MAX_NUMBER = (1 << 63) - 1  # for terms, indexes and tokens


def replica_to_pb(replica: ReplicaId) -> pb.Seat:
    return pb.Seat(name=replica.name, disk=replica.disk_id)


def replicas_to_pb(replicas: Iterable[ReplicaId]) -> list[pb.Seat]:
    return [replica_to_pb(replica) for replica in sorted(replicas)]


def configuration_to_pb(configuration: Configuration) -> pb.Members:
    return pb.Members(
        voters=replicas_to_pb(configuration.voters), learners=replicas_to_pb(configuration.learners)
    )


def entry_to_pb(entry: Entry) -> pb.Entry:
    configuration = None if entry.members is None else configuration_to_pb(entry.members)
    return pb.Entry(index=entry.index, term=entry.term, data=entry.data, members=configuration)


def to_wire(message: Message | DutyHandover) -> pb.Frame:
    """Raises ValueError for a number that does not fit its field."""
    match message:
        case RequestVote(term, index, last_term, pre_vote, leadership_transfer):
            request = pb.AskVote(
                term=term, last_index=index, last_term=last_term, pre=pre_vote, force=leadership_transfer
            )
            return pb.Frame(ask_vote=request)
        case RequestVoteResponse(term, granted, pre_vote):
            return pb.Frame(vote=pb.Vote(term=term, granted=granted, pre=pre_vote))
        case AppendEntries(term, prev, prev_term, entries, commit):
            entries_pb = [entry_to_pb(entry) for entry in entries]
            append_pb = pb.Append(
                term=term, prev=prev, prev_term=prev_term, entries=entries_pb, commit=commit
            )
            return pb.Frame(append=append_pb)
        case AppendEntriesResponse(term, success, index, rejected_index):
            return pb.Frame(ack=pb.Ack(term=term, ok=success, index=index, at=rejected_index))
        case InstallSnapshot(term, snapshot, offset, total_bytes, data):
            snapshot_pb = pb.Snapshot(
                index=snapshot.index, term=snapshot.term, members=configuration_to_pb(snapshot.members)
            )
            return pb.Frame(
                piece=pb.Piece(term=term, snapshot=snapshot_pb, offset=offset, total=total_bytes, data=data)
            )
        case InstallSnapshotResponse(term, index, next_offset):
            return pb.Frame(piece_ack=pb.PieceAck(term=term, index=index, want=next_offset))
        case TimeoutNow(term):
            return pb.Frame(now=pb.Now(term=term))
        case ForwardProposal(data):
            return pb.Frame(offer=pb.Offer(data=data))
        case JoinRequest():
            return pb.Frame(knock=pb.Knock())
        case DutyHandover(to, duty, token):
            return pb.Frame(passed=pb.Passed(to=to, duty=duty, token=token))


def from_wire(frame: pb.Frame) -> Message | DutyHandover:
    """Raises WireError, naming the field, for a value out of range or a frame that is not a message."""
    match frame.WhichOneof("said"):
        case "ask_vote":
            request = frame.ask_vote
            check_numbers(
                "ask_vote", term=request.term, last_index=request.last_index, last_term=request.last_term
            )
            return RequestVote(
                request.term, request.last_index, request.last_term, request.pre, request.force
            )
        case "vote":
            vote = frame.vote
            check_numbers("vote", term=vote.term)
            return RequestVoteResponse(vote.term, vote.granted, vote.pre)
        case "append":
            return read_append_entries(frame.append)
        case "ack":
            ack = frame.ack
            check_numbers("ack", term=ack.term, index=ack.index, at=ack.at)
            return AppendEntriesResponse(ack.term, ack.ok, ack.index, ack.at)
        case "piece":
            return read_install_snapshot(frame.piece)
        case "piece_ack":
            chunk_ack = frame.piece_ack
            check_numbers("piece_ack", term=chunk_ack.term, index=chunk_ack.index, want=chunk_ack.want)
            return InstallSnapshotResponse(chunk_ack.term, chunk_ack.index, chunk_ack.want)
        case "now":
            check_numbers("now", term=frame.now.term)
            return TimeoutNow(frame.now.term)
        case "offer":
            if not frame.offer.data:
                raise WireError("offer.data: empty")
            return ForwardProposal(frame.offer.data)
        case "knock":
            return JoinRequest()
        case "passed":
            handover = frame.passed
            check_numbers("passed", token=handover.token)
            if not handover.token:
                raise WireError("passed.token: 0 is not a valid token")
            return DutyHandover(
                check_name("passed.to", handover.to), check_name("passed.duty", handover.duty), handover.token
            )
        case other:
            raise WireError(f"{other}: not a message between members")


def check_numbers(path: str, **numbers: int) -> None:
    for field, value in numbers.items():
        if value > MAX_NUMBER:
            raise WireError(f"{path}.{field}: {value} is above {MAX_NUMBER}")


def check_name(path: str, value: str) -> str:
    if not 0 < len(value) <= MAX_NAME_CHARS:
        raise WireError(f"{path}: a name must have 1 to {MAX_NAME_CHARS} characters, not {len(value)}")
    return value


def read_replica(path: str, replica: pb.Seat) -> ReplicaId:
    return ReplicaId(check_name(f"{path}.name", replica.name), replica.disk)


def read_configuration(path: str, members_pb: pb.Members) -> Configuration:
    voters = frozenset(read_replica(f"{path}.voters", replica) for replica in members_pb.voters)
    learners = frozenset(read_replica(f"{path}.learners", replica) for replica in members_pb.learners)
    if not 0 < len(voters) <= MAX_VOTERS:
        raise WireError(f"{path}.voters: must be 1 to {MAX_VOTERS}, not {len(voters)}")
    if len(learners) > MAX_SESSIONS:
        raise WireError(f"{path}.learners: must be at most {MAX_SESSIONS}, not {len(learners)}")
    if len({replica.name for replica in voters | learners}) < len(members_pb.voters) + len(
        members_pb.learners
    ):
        raise WireError(f"{path}: duplicate member name")
    return Configuration(voters, learners)


def read_append_entries(append: pb.Append) -> AppendEntries:
    check_numbers(
        "append", term=append.term, prev=append.prev, prev_term=append.prev_term, commit=append.commit
    )
    if append.prev_term > append.term:
        raise WireError(f"append.prev_term: {append.prev_term} is above the term {append.term}")
    entries, term = list[Entry](), append.prev_term
    for position, entry in enumerate(append.entries):
        path = f"append.entries[{position}]"
        check_numbers(path, index=entry.index)
        if entry.index != append.prev + 1 + position:
            raise WireError(f"{path}.index: {entry.index} does not follow {append.prev + position}")
        if not term <= entry.term <= append.term:
            raise WireError(f"{path}.term: {entry.term} is not within {term} to {append.term}")
        has_members = entry.HasField("members")
        if has_members and entry.data:
            raise WireError(f"{path}.data: a configuration change must not have data")
        configuration = read_configuration(f"{path}.members", entry.members) if has_members else None
        entries.append(Entry(entry.index, entry.term, entry.data, configuration))
        term = entry.term
    return AppendEntries(append.term, append.prev, append.prev_term, tuple(entries), append.commit)


def read_install_snapshot(chunk: pb.Piece) -> InstallSnapshot:
    snapshot = chunk.snapshot
    check_numbers("piece", term=chunk.term, total=chunk.total)
    check_numbers("piece.snapshot", index=snapshot.index)
    if snapshot.term > chunk.term:
        raise WireError(f"piece.snapshot.term: {snapshot.term} is above the term {chunk.term}")
    if chunk.offset + len(chunk.data) > chunk.total:
        raise WireError(f"piece.offset: {chunk.offset} and {len(chunk.data)} bytes exceed {chunk.total}")
    configuration = read_configuration("piece.snapshot.members", snapshot.members)
    return InstallSnapshot(
        chunk.term,
        Snapshot(snapshot.index, snapshot.term, configuration),
        chunk.offset,
        chunk.total,
        chunk.data,
    )
