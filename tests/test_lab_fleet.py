"""The checks of the experiment `fleet` report violations, and its proxy injects link faults as documented."""

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
    member: str, token: int, begin: float, end: float, duty: str = "d", incarnation: int = 1
) -> list[checks.Act]:
    """Return one act every 10 ms."""
    return [checks.Act(member, incarnation, duty, token, t, t + 0.1) for t in range(int(begin), int(end), 10)]


def chained_entries(member: str, tokens: list[int], begin: int = 1, chain: str = "") -> list[checks.Applied]:
    out = []
    for index, token in enumerate(tokens, begin):
        chain = checks.next_chain_hash(chain, index, token, f"b{index}")
        out.append(checks.Applied(member, "d", index, token, f"b{index}", chain))
    return out


def test_successive_holders_are_not_reported() -> None:
    assert checks.two_holders(acts("a", 5, 0, 500) + acts("b", 9, 500, 900) + acts("a", 12, 950, 990)) == []
    parallel = acts("a", 5, 0, 500, "d") + acts("b", 9, 0, 500, "e")
    assert checks.two_holders(parallel) == []


def test_act_after_the_next_holder_began_is_reported_once_per_token() -> None:
    (violation,) = checks.two_holders(acts("a", 5, 0, 540) + acts("b", 9, 500, 900))
    assert "token=5" in violation and "token=9" in violation


def test_act_that_may_have_come_before_is_not_reported() -> None:
    """Guards against a false positive: the member was paused between its two clock readings."""
    paused = checks.Act("a", 1, "d", 5, 499.0, 700.0)
    assert checks.two_holders([*acts("b", 9, 500, 900), paused]) == []
    assert checks.two_holders([*acts("b", 9, 500, 900), paused._replace(begin=501.0)])
    assert (
        checks.two_holders(
            [checks.Act("a", 1, "d", 5, 510.0, 520.0), checks.Act("b", 1, "d", 9, 300.0, 515.0)]
        )
        == []
    )


@pytest.mark.parametrize("other", [("b", 1), ("a", 2)])
def test_token_used_by_two_members_or_two_processes_is_reported(other: tuple[str, int]) -> None:
    member, incarnation = other
    assert (
        len(checks.two_holders(acts("a", 5, 0, 100) + acts(member, 5, 200, 300, incarnation=incarnation)))
        == 1
    )


def test_target_that_admits_an_older_token_is_reported() -> None:
    valid = [
        checks.FencedWrite("a", "d", 5, True),
        checks.FencedWrite("b", "d", 9, True),
        checks.FencedWrite("a", "d", 5, False),
        checks.FencedWrite("a", "e", 5, True),
        checks.FencedWrite("b", "d", 9, True),
    ]
    assert checks.stale_writes_admitted(valid) == []
    assert len(checks.stale_writes_admitted([*valid, checks.FencedWrite("a", "d", 5, True)])) == 1


def test_lost_or_different_committed_entries_are_reported() -> None:
    entries = chained_entries("a", [3, 3, 7, 7])
    assert checks.lost_commits([*entries, *chained_entries("b", [3, 3, 7, 7])]) == []
    after_snapshot = entries[2:]  # b loaded a snapshot up to 2
    assert checks.lost_commits([*entries, *(entry._replace(member="b") for entry in after_snapshot)]) == []
    different = entries[3]._replace(member="b", body="x", chain_hash="y")
    assert any("not the same" in violation for violation in checks.lost_commits([*entries, different]))
    incomplete = chained_entries("b", [3, 3]) + chained_entries(
        "b", [7], 4, chained_entries("b", [3, 3])[-1].chain_hash
    )
    assert checks.lost_commits(
        [*chained_entries("a", [3, 3, 7])[:3], *incomplete]
    )  # a applied 3, b continued without it
    assert any(
        "older token" in violation for violation in checks.lost_commits(chained_entries("a", [3, 7, 3]))
    )


def test_states_that_differ_at_one_index_are_reported() -> None:
    equal = [checks.StateCopy("a", 4, "x"), checks.StateCopy("b", 4, "x"), checks.StateCopy("a", 5, "y")]
    assert checks.lost_commits([], equal) == []
    assert len(checks.lost_commits([], [*equal, checks.StateCopy("b", 5, "z")])) == 1


def test_member_without_the_last_entry_is_reported() -> None:
    a, b = chained_entries("a", [3, 3, 7]), chained_entries("b", [3, 3, 7])
    assert checks.incomplete_members(a + b, "ab") == []
    assert len(checks.incomplete_members(a + b[:2], "ab")) == 1
    assert len(checks.incomplete_members(a, "ab")) == 1
    assert (
        len(checks.incomplete_members(a + b + b[:1], "ab")) == 1
    )  # its latest process has no more than that
    loaded = checks.SnapshotLoaded("b", "d", a[-1].chain_hash)
    assert checks.incomplete_members([*a, *b[:1], loaded], "ab") == []
    assert (
        len(checks.incomplete_members([*a, *b, checks.SnapshotLoaded("b", "d", a[0].chain_hash)], "ab")) == 1
    )


def test_snapshot_of_a_state_that_no_member_applied_is_reported() -> None:
    entries = chained_entries("a", [3, 3, 7])
    valid = [
        checks.SnapshotLoaded("b", "d", entries[1].chain_hash),
        checks.SnapshotLoaded("b", "d", ""),
        checks.SnapshotLoaded("b", "e", ""),
    ]
    assert checks.lost_commits(entries, (), valid) == []
    assert (
        len(
            checks.lost_commits(entries, (), [*valid, checks.SnapshotLoaded("b", "e", entries[1].chain_hash)])
        )
        == 1
    )


def test_two_leaders_of_a_term_are_reported() -> None:
    leaders = [
        checks.Leadership("a", 1),
        checks.Leadership("b", 2),
        checks.Leadership("a", 1),
        checks.Leadership("a", 3),
    ]
    assert checks.two_leaders(leaders) == []
    assert len(checks.two_leaders([*leaders, checks.Leadership("b", 1)])) == 1


def test_failover_time_starts_at_the_fault() -> None:
    observed = acts("a", 5, 0, 1000) + acts("b", 9, 2210, 3000) + acts("b", 4, 0, 3000, "e")
    kill = checks.InjectedFault("kill", "a", 1000.0, 2500.0, True)
    (failover,) = checks.failovers(observed, [kill], LEASE_MS)
    assert (failover.duty, failover.duration, failover.isolated) == ("d", 1210.0, True)
    other = checks.InjectedFault("stall", "c", 900.0, 1100.0, True)
    assert [failover.isolated for failover in checks.failovers(observed, [kill, other], LEASE_MS)] == [False]
    assert checks.failovers(acts("a", 5, 0, 1000), [kill], LEASE_MS)[0].duration is None
    handed_over = acts("a", 5, 0, 980) + acts("b", 9, 990, 5000) + acts("c", 12, 5000, 6000)
    assert checks.failovers(handed_over, [kill], LEASE_MS) == []  # a had just handed the duty over


def test_fault_that_need_not_stop_its_member_counts_only_if_the_duty_moved() -> None:
    cut = checks.InjectedFault("cut", "a", 1000.0, 3000.0, False)
    assert checks.failovers(acts("a", 5, 0, 5000), [cut], LEASE_MS) == []
    assert (
        checks.failovers(acts("a", 5, 0, 1400) + acts("b", 9, 2500, 2600), [cut], LEASE_MS)[0].duration
        == 1500.0
    )
    assert checks.failovers(acts("a", 5, 0, 5000) + acts("b", 9, 5010, 5100), [cut], LEASE_MS) == []
    assert checks.failovers(acts("a", 5, 0, 1400) + acts("b", 9, 1410, 2600), [cut], LEASE_MS) == []


def test_planned_handover_is_measured_as_the_gap_between_two_holders() -> None:
    observed = acts("a", 5, 0, 1000) + acts("b", 9, 1050, 5000) + acts("a", 12, 5030, 6000)
    term = checks.InjectedFault("term", "a", 950.0, 2500.0, True)
    assert [round(handover.gap) for handover in checks.planned_handovers(observed, [term], LEASE_MS)] == [
        60,
        40,
    ]
    assert checks.failovers(observed, [term], LEASE_MS) == []
    assert len(checks.planned_handovers(observed, [term._replace(kind="kill")], LEASE_MS)) == 1
    assert len(checks.planned_handovers(observed, [term._replace(member="b")], LEASE_MS)) == 1


def test_time_without_a_holder() -> None:
    observed = acts("a", 5, 0, 1000) + acts("b", 9, 1500, 2000)
    assert checks.unheld_ms(observed, ["d"], 0, 2000, 100) == pytest.approx(510, abs=1)
    assert checks.unheld_ms(observed, ["d", "e"], 0, 2000, 100) == pytest.approx(2510, abs=1)
    assert checks.unheld_ms(acts("a", 5, 0, 2000), ["d"], 0, 2000, 100) == 0
    overlapping = [checks.Act("a", 1, "d", 5, 0.0, 1950.0), *acts("a", 5, 10, 500)]
    assert checks.unheld_ms(overlapping, ["d"], 0, 2000, 100) == 0


def test_quantile() -> None:
    assert checks.quantile([], 0.5) is None
    assert checks.quantile(range(101), 0.99) == 99


def test_faults_depend_on_the_seed_only_and_cover_all_kinds() -> None:
    rng, same_rng = random.Random(7), random.Random(7)
    rounds = [draw_round(rng) for _ in range(400)]
    assert rounds == [draw_round(same_rng) for _ in range(400)]
    assert {fault.kind for planned in rounds for fault in planned} == set(FAULT_WEIGHTS)
    assert all(
        fault.kind not in EXCLUSIVE_FAULTS for planned in rounds if len(planned) > 1 for fault in planned
    )
    assert all(hasattr(FaultInjector, kind.replace("-", "_")) for kind in FAULT_WEIGHTS)


# --- the proxy ---


@contextmanager
def open_link() -> Iterator[tuple[LinkProxy, Any, Any, list[str]]]:
    """Yield a proxy, both ends of a connection through it, and the source addresses seen by the far end."""
    sources, ends = list[str](), list[Any]()
    accepted = gevent.event.Event()

    def serve(sock: Any, peer: tuple[str, int]) -> None:
        sources.append(peer[0])
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
        yield proxy, near, ends[0], sources
    finally:
        near.close()
        ends[0].close()
        proxy.stop()
        server.stop(timeout=0)


def test_proxy_dials_from_the_source_address_and_counts_bytes_and_frames() -> None:
    with open_link() as (proxy, near, far, sources):
        near.sendall(b"\x03abc\x00")
        assert far.recv(10) == b"\x03abc\x00"
        far.sendall(b"\x01z")
        assert near.recv(10) == b"\x01z"
        assert sources == ["127.0.1.1"]
        assert (proxy.byte_count, proxy.frame_count()) == (7, 3)


def test_cut_link_holds_data_until_it_is_healed() -> None:
    with open_link() as (proxy, near, far, _):
        proxy.cut()
        near.sendall(b"held")
        far.settimeout(0.05)
        with pytest.raises(TimeoutError):
            far.recv(10)
        proxy.heal()
        far.settimeout(5)
        assert far.recv(10) == b"held"


def test_healing_with_reset_closes_the_old_connections() -> None:
    with open_link() as (proxy, near, far, _):
        proxy.cut()
        near.sendall(b"lost")
        gevent.sleep(0.01)
        proxy.heal(reset=True)
        assert near.recv(10) == b""
        assert proxy.flowing.is_set()


def test_frames_are_counted_for_any_chunk_size() -> None:
    data = (b"\x03abc" + b"\x00" + b"\xac\x02" + bytes(300)) * 7
    for size in (1, 2, 5, 64, len(data)):
        counter = FrameCounter()
        for offset in range(0, len(data), size):
            counter.feed(data[offset : offset + size])
        assert counter.count == 21
