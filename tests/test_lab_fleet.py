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

from harrieryoke.lab import fleet_checks as c
from harrieryoke.lab.fleet_faults import ALONE, KINDS, Faults, draw
from harrieryoke.lab.fleet_proxy import Frames, Proxy

LEASE = 1000.0


def acts(member: str, token: int, begin: float, end: float, duty: str = "d", life: int = 1) -> list[c.Act]:
    """One each 10 ms."""
    return [c.Act(member, life, duty, token, t, t + 0.1) for t in range(int(begin), int(end), 10)]


def chained(member: str, tokens: list[int], begin: int = 1, chain: str = "") -> list[c.Applied]:
    out = []
    for index, token in enumerate(tokens, begin):
        chain = c.link(chain, index, token, f"b{index}")
        out.append(c.Applied(member, "d", index, token, f"b{index}", chain))
    return out


def test_one_after_the_other_are_no_two_holders() -> None:
    assert c.two_holders(acts("a", 5, 0, 500) + acts("b", 9, 500, 900) + acts("a", 12, 950, 990)) == []
    beside = acts("a", 5, 0, 500, "d") + acts("b", 9, 0, 500, "e")
    assert c.two_holders(beside) == []


def test_who_acts_after_the_next_has_begun_is_found_once_a_token() -> None:
    (line,) = c.two_holders(acts("a", 5, 0, 540) + acts("b", 9, 500, 900))
    assert "token=5" in line and "token=9" in line


def test_a_moment_that_may_have_been_before_is_no_finding() -> None:
    """Guards against a finding of nothing: the member was stopped between its two looks at the clock."""
    late = c.Act("a", 1, "d", 5, 499.0, 700.0)
    assert c.two_holders([*acts("b", 9, 500, 900), late]) == []
    assert c.two_holders([*acts("b", 9, 500, 900), late._replace(begin=501.0)])
    assert c.two_holders([c.Act("a", 1, "d", 5, 510.0, 520.0), c.Act("b", 1, "d", 9, 300.0, 515.0)]) == []


@pytest.mark.parametrize("other", [("b", 1), ("a", 2)])
def test_one_token_of_two_members_or_two_lives_is_found(other: tuple[str, int]) -> None:
    member, life = other
    assert len(c.two_holders(acts("a", 5, 0, 100) + acts(member, 5, 200, 300, life=life))) == 1


def test_a_target_that_takes_an_older_token_is_found() -> None:
    good = [
        c.Came("a", "d", 5, True),
        c.Came("b", "d", 9, True),
        c.Came("a", "d", 5, False),
        c.Came("a", "e", 5, True),
        c.Came("b", "d", 9, True),
    ]
    assert c.stale_taken(good) == []
    assert len(c.stale_taken([*good, c.Came("a", "d", 5, True)])) == 1


def test_what_was_agreed_and_is_gone_or_other_is_found() -> None:
    whole = chained("a", [3, 3, 7, 7])
    assert c.agreed_lost([*whole, *chained("b", [3, 3, 7, 7])]) == []
    resumed = whole[2:]  # b got a snapshot up to 2
    assert c.agreed_lost([*whole, *(one._replace(member="b") for one in resumed)]) == []
    other = whole[3]._replace(member="b", body="x", chain="y")
    assert any("not the same" in line for line in c.agreed_lost([*whole, other]))
    without = chained("b", [3, 3]) + chained("b", [7], 4, chained("b", [3, 3])[-1].chain)
    assert c.agreed_lost([*chained("a", [3, 3, 7])[:3], *without])  # 3 was applied by a, b went on without it
    assert any("older token" in line for line in c.agreed_lost(chained("a", [3, 7, 3])))


def test_copies_that_differ_at_one_index_are_found() -> None:
    same = [c.Copy("a", 4, "x"), c.Copy("b", 4, "x"), c.Copy("a", 5, "y")]
    assert c.agreed_lost([], same) == []
    assert len(c.agreed_lost([], [*same, c.Copy("b", 5, "z")])) == 1


def test_who_lacks_the_last_at_the_end_is_found() -> None:
    a, b = chained("a", [3, 3, 7]), chained("b", [3, 3, 7])
    assert c.at_the_end(a + b, "ab") == []
    assert len(c.at_the_end(a + b[:2], "ab")) == 1
    assert len(c.at_the_end(a, "ab")) == 1
    assert len(c.at_the_end(a + b + b[:1], "ab")) == 1  # its newest life has no more than that
    loaded = c.Loaded("b", "d", a[-1].chain)
    assert c.at_the_end([*a, *b[:1], loaded], "ab") == []
    assert len(c.at_the_end([*a, *b, c.Loaded("b", "d", a[0].chain)], "ab")) == 1


def test_a_snapshot_with_a_state_that_nobody_applied_is_found() -> None:
    whole = chained("a", [3, 3, 7])
    good = [c.Loaded("b", "d", whole[1].chain), c.Loaded("b", "d", ""), c.Loaded("b", "e", "")]
    assert c.agreed_lost(whole, (), good) == []
    assert len(c.agreed_lost(whole, (), [*good, c.Loaded("b", "e", whole[1].chain)])) == 1


def test_two_leaders_of_a_term_are_found() -> None:
    one = [c.Leads("a", 1), c.Leads("b", 2), c.Leads("a", 1), c.Leads("a", 3)]
    assert c.two_leaders(one) == []
    assert len(c.two_leaders([*one, c.Leads("b", 1)])) == 1


def test_a_handover_by_failure_is_counted_from_the_fault() -> None:
    seen = acts("a", 5, 0, 1000) + acts("b", 9, 2210, 3000) + acts("b", 4, 0, 3000, "e")
    kill = c.Struck("kill", "a", 1000.0, 2500.0, True)
    (one,) = c.by_failure(seen, [kill], LEASE)
    assert (one.duty, one.took, one.alone) == ("d", 1210.0, True)
    other = c.Struck("stall", "c", 900.0, 1100.0, True)
    assert [f.alone for f in c.by_failure(seen, [kill, other], LEASE)] == [False]
    assert c.by_failure(acts("a", 5, 0, 1000), [kill], LEASE)[0].took is None
    passed = acts("a", 5, 0, 980) + acts("b", 9, 990, 5000) + acts("c", 12, 5000, 6000)
    assert c.by_failure(passed, [kill], LEASE) == []  # a had just passed it on


def test_a_fault_that_need_not_halt_counts_only_where_the_duty_went() -> None:
    cut = c.Struck("cut", "a", 1000.0, 3000.0, False)
    assert c.by_failure(acts("a", 5, 0, 5000), [cut], LEASE) == []
    assert c.by_failure(acts("a", 5, 0, 1400) + acts("b", 9, 2500, 2600), [cut], LEASE)[0].took == 1500.0
    assert c.by_failure(acts("a", 5, 0, 5000) + acts("b", 9, 5010, 5100), [cut], LEASE) == []
    assert c.by_failure(acts("a", 5, 0, 1400) + acts("b", 9, 1410, 2600), [cut], LEASE) == []


def test_a_handover_in_order_is_the_gap_between_the_two() -> None:
    seen = acts("a", 5, 0, 1000) + acts("b", 9, 1050, 5000) + acts("a", 12, 5030, 6000)
    term = c.Struck("term", "a", 950.0, 2500.0, True)
    assert [round(p.gap) for p in c.in_order(seen, [term], LEASE)] == [60, 40]
    assert c.by_failure(seen, [term], LEASE) == []
    assert len(c.in_order(seen, [term._replace(kind="kill")], LEASE)) == 1
    assert len(c.in_order(seen, [term._replace(member="b")], LEASE)) == 1


def test_the_time_in_which_nobody_acted() -> None:
    seen = acts("a", 5, 0, 1000) + acts("b", 9, 1500, 2000)
    assert c.unheld(seen, ["d"], 0, 2000, 100) == pytest.approx(510, abs=1)
    assert c.unheld(seen, ["d", "e"], 0, 2000, 100) == pytest.approx(2510, abs=1)
    assert c.unheld(acts("a", 5, 0, 2000), ["d"], 0, 2000, 100) == 0
    around = [c.Act("a", 1, "d", 5, 0.0, 1950.0), *acts("a", 5, 10, 500)]
    assert c.unheld(around, ["d"], 0, 2000, 100) == 0


def test_shares() -> None:
    assert c.at_share([], 0.5) is None
    assert c.at_share(range(101), 0.99) == 99


def test_faults_come_from_the_seed_and_are_of_all_kinds() -> None:
    rng, again = random.Random(7), random.Random(7)
    rounds = [draw(rng) for _ in range(400)]
    assert rounds == [draw(again) for _ in range(400)]
    assert {d.kind for drawn in rounds for d in drawn} == set(KINDS)
    assert all(d.kind not in ALONE for drawn in rounds if len(drawn) > 1 for d in drawn)
    assert all(hasattr(Faults, kind.replace("-", "_")) for kind in KINDS)


# --- the proxy ---


@contextmanager
def linked() -> Iterator[tuple[Proxy, Any, Any, list[str]]]:
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
    proxy = Proxy("127.0.1.1", ("127.0.1.2", server.server_port))
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
        assert (proxy.bytes, proxy.frames()) == (7, 3)


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
        assert proxy.through.is_set()


def test_frames_are_counted_wherever_the_bytes_are_parted() -> None:
    data = (b"\x03abc" + b"\x00" + b"\xac\x02" + bytes(300)) * 7
    for size in (1, 2, 5, 64, len(data)):
        frames = Frames()
        for at in range(0, len(data), size):
            frames.feed(data[at : at + size])
        assert frames.count == 21
