"""Council frames: every message survives a round trip, and invalid bytes raise only WireError."""

from __future__ import annotations

import re
from contextlib import suppress
from dataclasses import fields

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from harrieryoke.council.decide import messages as m
from harrieryoke.council.decide.lease import DutyHandover
from harrieryoke.council.wire.codec import MAX_FRAME_BYTES, from_wire, pb, to_wire
from harrieryoke.wire.frames import Decoder, WireError, encode

FUZZ = settings(max_examples=300, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck))
NUMBERS = st.integers(0, (1 << 63) - 1)
NAMES = st.text(st.characters(exclude_categories=["Cs"]), min_size=1, max_size=200)
DATA = st.binary(max_size=100)


@st.composite
def members(draw: st.DrawFn) -> m.Configuration:
    names = draw(st.lists(NAMES, min_size=1, max_size=12, unique=True))
    replicas = [m.ReplicaId(name, draw(st.integers(0, (1 << 64) - 1))) for name in names]
    voters = draw(st.integers(1, min(7, len(replicas))))
    return m.Configuration(frozenset(replicas[:voters]), frozenset(replicas[voters:]))


@st.composite
def append(draw: st.DrawFn) -> m.AppendEntries:
    prev = draw(st.integers(0, 1 << 62))
    terms = sorted(draw(st.lists(NUMBERS, min_size=2, max_size=6)))
    entries = []
    for at, term in enumerate(terms[1:-1]):
        changes = draw(st.booleans())
        content = (b"", draw(members())) if changes else (draw(DATA), None)
        entries.append(m.Entry(prev + 1 + at, term, *content))
    return m.AppendEntries(terms[-1], prev, terms[0], tuple(entries), draw(NUMBERS))


@st.composite
def piece(draw: st.DrawFn) -> m.InstallSnapshot:
    term, data, offset = draw(NUMBERS), draw(DATA), draw(st.integers(0, 1 << 40))
    head = m.Snapshot(draw(NUMBERS), draw(st.integers(0, term)), draw(members()))
    return m.InstallSnapshot(term, head, offset, offset + len(data) + draw(st.integers(0, 1 << 40)), data)


STRATEGIES: dict[type, st.SearchStrategy[m.Message | DutyHandover]] = {
    m.RequestVote: st.builds(m.RequestVote, NUMBERS, NUMBERS, NUMBERS, st.booleans(), st.booleans()),
    m.RequestVoteResponse: st.builds(m.RequestVoteResponse, NUMBERS, st.booleans(), st.booleans()),
    m.AppendEntries: append(),
    m.AppendEntriesResponse: st.builds(m.AppendEntriesResponse, NUMBERS, st.booleans(), NUMBERS, NUMBERS),
    m.InstallSnapshot: piece(),
    m.InstallSnapshotResponse: st.builds(m.InstallSnapshotResponse, NUMBERS, NUMBERS, NUMBERS),
    m.TimeoutNow: st.builds(m.TimeoutNow, NUMBERS),
    m.ForwardProposal: st.builds(m.ForwardProposal, st.binary(min_size=1, max_size=100)),
    m.JoinRequest: st.just(m.JoinRequest()),
    DutyHandover: st.builds(DutyHandover, NAMES, NAMES, st.integers(1, (1 << 63) - 1)),
}
ANY_MESSAGE = st.one_of(*STRATEGIES.values())


def read(data: bytes) -> list[m.Message | DutyHandover]:
    return [from_wire(frame) for frame in Decoder(pb.Frame, MAX_FRAME_BYTES).feed(data)]


def test_each_message_has_a_frame() -> None:
    assert set(STRATEGIES) == {*m.Message.__args__, DutyHandover}
    assert (
        len(pb.Frame.DESCRIPTOR.oneofs_by_name["said"].fields) == len(STRATEGIES) + 3
    )  # hello, welcome, refused
    assert [f.name for f in fields(DutyHandover)] == [f.name for f in pb.Passed.DESCRIPTOR.fields]


@FUZZ
@given(st.lists(ANY_MESSAGE, min_size=1, max_size=5), st.integers(1, 40))
def test_messages_round_trip_however_the_bytes_are_split(
    messages: list[m.Message | DutyHandover], cut: int
) -> None:
    data, decoder, received = (
        b"".join(encode(to_wire(message)) for message in messages),
        Decoder(pb.Frame, MAX_FRAME_BYTES),
        [],
    )
    for at in range(0, len(data), cut):
        received += [from_wire(frame) for frame in decoder.feed(data[at : at + cut])]
    assert received == messages


@FUZZ
@given(ANY_MESSAGE, st.data())
def test_broken_bytes_raise_nothing_but_wire_errors(
    message: m.Message | DutyHandover, data: st.DataObject
) -> None:
    broken = bytearray(encode(to_wire(message)))
    for _ in range(data.draw(st.integers(1, 4))):
        at = data.draw(st.integers(0, len(broken) - 1))
        how = data.draw(st.sampled_from(["change", "remove", "add"]))
        if how == "change":
            broken[at] = data.draw(st.integers(0, 255))
        elif how == "add":
            broken[at:at] = data.draw(st.binary(min_size=1, max_size=8))
        elif at:
            del broken[at:]
    with suppress(WireError):
        for received in read(bytes(broken)):
            assert read(encode(to_wire(received))) == [received]  # whatever is accepted is a valid message


@FUZZ
@given(st.binary(max_size=300))
def test_random_bytes_raise_nothing_but_wire_errors(noise: bytes) -> None:
    for data in (noise, encode(pb.Frame()) + noise, bytes([len(noise) & 127]) + noise):
        with suppress(WireError):
            read(data)


SEATS = [pb.Seat(name=f"n{at}", disk=at) for at in range(9)]
ONE_VOTER = pb.Members(voters=SEATS[:1])
TOO_HIGH = 1 << 63


@pytest.mark.parametrize(
    ("frame", "path"),
    [
        (pb.Frame(hello=pb.Hello()), "hello"),
        (pb.Frame(vote=pb.Vote(term=TOO_HIGH)), "vote.term"),
        (pb.Frame(ack=pb.Ack(index=TOO_HIGH)), "ack.index"),
        (pb.Frame(ask_vote=pb.AskVote(last_index=TOO_HIGH)), "ask_vote.last_index"),
        (pb.Frame(piece_ack=pb.PieceAck(want=TOO_HIGH)), "piece_ack.want"),
        (pb.Frame(now=pb.Now(term=TOO_HIGH)), "now.term"),
        (pb.Frame(offer=pb.Offer()), "offer.data"),
        (pb.Frame(passed=pb.Passed(to="a", duty="d")), "passed.token"),
        (pb.Frame(passed=pb.Passed(to="a", duty="d", token=TOO_HIGH)), "passed.token"),
        (pb.Frame(passed=pb.Passed(to="a", token=1)), "passed.duty"),
        (pb.Frame(passed=pb.Passed(to="a" * 201, duty="d", token=1)), "passed.to"),
        (pb.Frame(append=pb.Append(term=1, prev_term=2)), "append.prev_term"),
        (
            pb.Frame(append=pb.Append(term=1, prev=TOO_HIGH - 1, entries=[pb.Entry(index=TOO_HIGH)])),
            "entries[0].index",
        ),
        (pb.Frame(append=pb.Append(term=3, prev=4, entries=[pb.Entry(index=6)])), "append.entries[0].index"),
        (
            pb.Frame(
                append=pb.Append(term=3, entries=[pb.Entry(index=1, term=2), pb.Entry(index=2, term=1)])
            ),
            "append.entries[1].term",
        ),
        (pb.Frame(append=pb.Append(term=3, entries=[pb.Entry(index=1, term=4)])), "append.entries[0].term"),
        (
            pb.Frame(append=pb.Append(term=3, entries=[pb.Entry(index=1, data=b"x", members=ONE_VOTER)])),
            "append.entries[0].data",
        ),
        (
            pb.Frame(append=pb.Append(entries=[pb.Entry(index=1, members=pb.Members(voters=SEATS[:8]))])),
            "append.entries[0].members.voters",
        ),
        (
            pb.Frame(piece=pb.Piece(snapshot=pb.Snapshot(members=pb.Members()))),
            "piece.snapshot.members.voters",
        ),
        (
            pb.Frame(piece=pb.Piece(snapshot=pb.Snapshot(members=pb.Members(voters=[pb.Seat(disk=1)])))),
            "piece.snapshot.members.voters.name",
        ),
        (
            pb.Frame(
                piece=pb.Piece(snapshot=pb.Snapshot(members=pb.Members(voters=SEATS[:1], learners=SEATS[:1])))
            ),
            "piece.snapshot.members: duplicate member name",
        ),
        (pb.Frame(piece=pb.Piece(snapshot=pb.Snapshot(term=1, members=ONE_VOTER))), "piece.snapshot.term"),
        (pb.Frame(piece=pb.Piece(snapshot=pb.Snapshot(members=ONE_VOTER), data=b"x")), "piece.offset"),
    ],
)
def test_a_value_out_of_range_is_named(frame: pb.Frame, path: str) -> None:
    with pytest.raises(WireError, match=re.escape(path)):
        read(encode(frame))


def test_a_frame_is_rejected_by_its_length() -> None:
    decoder = Decoder(pb.Frame, 1000)
    with pytest.raises(WireError, match="more than 1000"):
        list(decoder.feed(b"\xe9\x07"))
    with pytest.raises(WireError, match="says nothing"):
        list(Decoder(pb.Frame, 1000).feed(b"\0"))
