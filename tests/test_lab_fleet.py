"""The checks of the experiment `fleet` find what they are for, and its proxy breaks a link as it says."""

from __future__ import annotations

import random
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import gevent
import pytest
from gevent import socket
from gevent.server import StreamServer

from harrieryoke.lab import fleet_checks as checks
from harrieryoke.lab.fleet_faults import EXCLUSIVE_FAULTS, FAULT_WEIGHTS, FaultInjector, draw_round
from harrieryoke.lab.fleet_proxy import FrameCounter, LinkProxy

LEASE_MS = 1000.0


def acts(
    member: str, token: int, begin: float, end: float, duty: str = "d", life: int = 1
) -> list[checks.Act]:
    """One each 10 ms."""
    return [checks.Act(member, life, duty, token, t, t + 0.1) for t in range(int(begin), int(end), 10)]


def chained(member: str, tokens: list[int], begin: int = 1, chain: str = "") -> list[checks.Applied]:
    out = []
    for index, token in enumerate(tokens, begin):
        chain = checks.next_chain_hash(chain, index, token, f"b{index}")
        out.append(checks.Applied(member, "d", index, token, f"b{index}", chain))
    return out


def test_one_after_the_other_are_no_two_holders() -> None:
    assert checks.two_holders(acts("a", 5, 0, 500) + acts("b", 9, 500, 900) + acts("a", 12, 950, 990)) == []
    beside = acts("a", 5, 0, 500, "d") + acts("b", 9, 0, 500, "e")
    assert checks.two_holders(beside) == []


def test_who_acts_after_the_next_has_begun_is_found_once_a_token() -> None:
    (line,) = checks.two_holders(acts("a", 5, 0, 540) + acts("b", 9, 500, 900))
    assert "token=5" in line and "token=9" in line


def test_a_moment_that_may_have_been_before_is_no_finding() -> None:
    """Guards against a finding of nothing: the member was stopped between its two looks at the clock."""
    late = checks.Act("a", 1, "d", 5, 499.0, 700.0)
    assert checks.two_holders([*acts("b", 9, 500, 900), late]) == []
    assert checks.two_holders([*acts("b", 9, 500, 900), late._replace(begin=501.0)])
    assert (
        checks.two_holders(
            [checks.Act("a", 1, "d", 5, 510.0, 520.0), checks.Act("b", 1, "d", 9, 300.0, 515.0)]
        )
        == []
    )


@pytest.mark.parametrize("other", [("b", 1), ("a", 2)])
def test_one_token_of_two_members_or_two_lives_is_found(other: tuple[str, int]) -> None:
    member, life = other
    assert len(checks.two_holders(acts("a", 5, 0, 100) + acts(member, 5, 200, 300, life=life))) == 1


def test_a_target_that_takes_an_older_token_is_found() -> None:
    good = [
        checks.FencedWrite("a", "d", 5, True),
        checks.FencedWrite("b", "d", 9, True),
        checks.FencedWrite("a", "d", 5, False),
        checks.FencedWrite("a", "e", 5, True),
        checks.FencedWrite("b", "d", 9, True),
    ]
    assert checks.stale_writes_admitted(good) == []
    assert len(checks.stale_writes_admitted([*good, checks.FencedWrite("a", "d", 5, True)])) == 1


def test_what_was_agreed_and_is_gone_or_other_is_found() -> None:
    whole = chained("a", [3, 3, 7, 7])
    assert checks.lost_commits([*whole, *chained("b", [3, 3, 7, 7])]) == []
    resumed = whole[2:]  # b got a snapshot up to 2
    assert checks.lost_commits([*whole, *(one._replace(member="b") for one in resumed)]) == []
    other = whole[3]._replace(member="b", body="x", chain_hash="y")
    assert any("not the same" in line for line in checks.lost_commits([*whole, other]))
    without = chained("b", [3, 3]) + chained("b", [7], 4, chained("b", [3, 3])[-1].chain_hash)
    assert checks.lost_commits(
        [*chained("a", [3, 3, 7])[:3], *without]
    )  # 3 was applied by a, b went on without it
    assert any("older token" in line for line in checks.lost_commits(chained("a", [3, 7, 3])))


def test_copies_that_differ_at_one_index_are_found() -> None:
    same = [checks.StateCopy("a", 4, "x"), checks.StateCopy("b", 4, "x"), checks.StateCopy("a", 5, "y")]
    assert checks.lost_commits([], same) == []
    assert len(checks.lost_commits([], [*same, checks.StateCopy("b", 5, "z")])) == 1


def test_who_lacks_the_last_at_the_end_is_found() -> None:
    a, b = chained("a", [3, 3, 7]), chained("b", [3, 3, 7])
    assert checks.incomplete_members(a + b, "ab") == []
    assert len(checks.incomplete_members(a + b[:2], "ab")) == 1
    assert len(checks.incomplete_members(a, "ab")) == 1
    assert len(checks.incomplete_members(a + b + b[:1], "ab")) == 1  # its newest life has no more than that
    loaded = checks.SnapshotLoaded("b", "d", a[-1].chain_hash)
    assert checks.incomplete_members([*a, *b[:1], loaded], "ab") == []
    assert (
        len(checks.incomplete_members([*a, *b, checks.SnapshotLoaded("b", "d", a[0].chain_hash)], "ab")) == 1
    )


def test_a_snapshot_with_a_state_that_nobody_applied_is_found() -> None:
    whole = chained("a", [3, 3, 7])
    good = [
        checks.SnapshotLoaded("b", "d", whole[1].chain_hash),
        checks.SnapshotLoaded("b", "d", ""),
        checks.SnapshotLoaded("b", "e", ""),
    ]
    assert checks.lost_commits(whole, (), good) == []
    assert (
        len(checks.lost_commits(whole, (), [*good, checks.SnapshotLoaded("b", "e", whole[1].chain_hash)]))
        == 1
    )


def test_two_leaders_of_a_term_are_found() -> None:
    one = [
        checks.Leadership("a", 1),
        checks.Leadership("b", 2),
        checks.Leadership("a", 1),
        checks.Leadership("a", 3),
    ]
    assert checks.two_leaders(one) == []
    assert len(checks.two_leaders([*one, checks.Leadership("b", 1)])) == 1


def test_a_handover_by_failure_is_counted_from_the_fault() -> None:
    seen = acts("a", 5, 0, 1000) + acts("b", 9, 2210, 3000) + acts("b", 4, 0, 3000, "e")
    kill = checks.InjectedFault("kill", "a", 1000.0, 2500.0, True)
    (one,) = checks.failovers(seen, [kill], LEASE_MS)
    assert (one.duty, one.duration, one.isolated) == ("d", 1210.0, True)
    other = checks.InjectedFault("stall", "c", 900.0, 1100.0, True)
    assert [f.isolated for f in checks.failovers(seen, [kill, other], LEASE_MS)] == [False]
    assert checks.failovers(acts("a", 5, 0, 1000), [kill], LEASE_MS)[0].duration is None
    passed = acts("a", 5, 0, 980) + acts("b", 9, 990, 5000) + acts("c", 12, 5000, 6000)
    assert checks.failovers(passed, [kill], LEASE_MS) == []  # a had just passed it on


def test_a_fault_that_need_not_halt_counts_only_where_the_duty_went() -> None:
    cut = checks.InjectedFault("cut", "a", 1000.0, 3000.0, False)
    assert checks.failovers(acts("a", 5, 0, 5000), [cut], LEASE_MS) == []
    assert (
        checks.failovers(acts("a", 5, 0, 1400) + acts("b", 9, 2500, 2600), [cut], LEASE_MS)[0].duration
        == 1500.0
    )
    assert checks.failovers(acts("a", 5, 0, 5000) + acts("b", 9, 5010, 5100), [cut], LEASE_MS) == []
    assert checks.failovers(acts("a", 5, 0, 1400) + acts("b", 9, 1410, 2600), [cut], LEASE_MS) == []


def test_a_handover_in_order_is_the_gap_between_the_two() -> None:
    seen = acts("a", 5, 0, 1000) + acts("b", 9, 1050, 5000) + acts("a", 12, 5030, 6000)
    term = checks.InjectedFault("term", "a", 950.0, 2500.0, True)
    assert [round(p.gap) for p in checks.planned_handovers(seen, [term], LEASE_MS)] == [60, 40]
    assert checks.failovers(seen, [term], LEASE_MS) == []
    assert len(checks.planned_handovers(seen, [term._replace(kind="kill")], LEASE_MS)) == 1
    assert len(checks.planned_handovers(seen, [term._replace(member="b")], LEASE_MS)) == 1


def test_the_time_in_which_nobody_acted() -> None:
    seen = acts("a", 5, 0, 1000) + acts("b", 9, 1500, 2000)
    assert checks.unheld_ms(seen, ["d"], 0, 2000, 100) == pytest.approx(510, abs=1)
    assert checks.unheld_ms(seen, ["d", "e"], 0, 2000, 100) == pytest.approx(2510, abs=1)
    assert checks.unheld_ms(acts("a", 5, 0, 2000), ["d"], 0, 2000, 100) == 0
    around = [checks.Act("a", 1, "d", 5, 0.0, 1950.0), *acts("a", 5, 10, 500)]
    assert checks.unheld_ms(around, ["d"], 0, 2000, 100) == 0


def test_shares() -> None:
    assert checks.quantile([], 0.5) is None
    assert checks.quantile(range(101), 0.99) == 99


def test_faults_come_from_the_seed_and_are_of_all_kinds() -> None:
    rng, again = random.Random(7), random.Random(7)
    rounds = [draw_round(rng) for _ in range(400)]
    assert rounds == [draw_round(again) for _ in range(400)]
    assert {d.kind for drawn in rounds for d in drawn} == set(FAULT_WEIGHTS)
    assert all(d.kind not in EXCLUSIVE_FAULTS for drawn in rounds if len(drawn) > 1 for d in drawn)
    assert all(hasattr(FaultInjector, kind.replace("-", "_")) for kind in FAULT_WEIGHTS)


# --- the proxy ---


@contextmanager
def linked() -> Iterator[tuple[LinkProxy, Any, Any, list[str]]]:
    """A proxy, both ends of a connection through it, and the hosts that the far one saw dial."""
    came, ends = list[str](), list[Any]()
    accepted = gevent.event.Event()

    def serve(sock: Any, peer: tuple[str, int]) -> None:
        came.append(peer[0])
        ends.append(sock)
        accepted.set()
        gevent.sleep(60)

    server = StreamServer(("127.0.1.2", 0), serve)
    server.start()
    proxy = LinkProxy("127.0.1.1", ("127.0.1.2", server.server_port))
    near: Any = socket.create_connection(("127.0.1.2", int(proxy.address().rpartition(":")[2])), 5)
    near.settimeout(5)
    assert accepted.wait(5)
    ends[0].settimeout(5)
    try:
        yield proxy, near, ends[0], came
    finally:
        near.close()
        ends[0].close()
        proxy.stop()
        server.stop(timeout=0)


def test_the_far_side_sees_the_near_ones_host_and_all_is_counted() -> None:
    with linked() as (proxy, near, far, came):
        near.sendall(b"\x03abc\x00")
        assert far.recv(10) == b"\x03abc\x00"
        far.sendall(b"\x01z")
        assert near.recv(10) == b"\x01z"
        assert came == ["127.0.1.1"]
        assert (proxy.byte_count, proxy.frame_count()) == (7, 3)


def test_a_cut_link_refuses_nothing_and_passes_nothing_until_it_is_healed() -> None:
    with linked() as (proxy, near, far, _):
        proxy.cut()
        near.sendall(b"held")
        far.settimeout(0.05)
        with pytest.raises(TimeoutError):
            far.recv(10)
        proxy.heal()
        far.settimeout(5)
        assert far.recv(10) == b"held"


def test_a_link_that_is_healed_with_a_reset_begins_anew() -> None:
    with linked() as (proxy, near, far, _):
        proxy.cut()
        near.sendall(b"lost")
        gevent.sleep(0.01)
        proxy.heal(reset=True)
        assert near.recv(10) == b""
        assert proxy.flowing.is_set()


def test_frames_are_counted_wherever_the_bytes_are_parted() -> None:
    data = (b"\x03abc" + b"\x00" + b"\xac\x02" + bytes(300)) * 7
    for size in (1, 2, 5, 64, len(data)):
        frames = FrameCounter()
        for at in range(0, len(data), size):
            frames.feed(data[at : at + size])
        assert frames.count == 21
