"""Upgrades under load in which one process is killed by SIGKILL at defined points of the handover."""

from __future__ import annotations

import signal
import subprocess
import sys

import gevent
from gevent import socket

from harrieryoke.core.clock import now_ms
from harrieryoke.lab.audit import orders_over_budget
from harrieryoke.lab.world import ORDER_FLOOR, ORDER_SHARE, ORDER_WINDOW_MS

from .test_upgrade import Relays, count_late_sends, relays, start_load, terminate

__all__ = ["relays"]

# a process that kills itself at a point: before or after the n-th call of a method
KILLER = """
import os, signal
from harrieryoke.core.module import ModuleActor
from harrieryoke.net.platform import PlatformFront
from harrieryoke.service import Service
from harrieryoke.upgrade import link
from harrieryoke.upgrade.link import Link, Upgrade
from gevent import socket

def point(owner, name, when, nth, matches=lambda *a: True):
    original, remaining = getattr(owner, name), [nth]
    def replacement(*args, **named):
        if matches(*args):
            remaining[0] -= 1
        if remaining[0] == 0 and when == "before":
            os.kill(os.getpid(), signal.SIGKILL)
        result = original(*args, **named)
        if remaining[0] == 0:
            os.kill(os.getpid(), signal.SIGKILL)
        return result
    setattr(owner, name, replacement)

def received(type):
    wrapper = link.PeerMessageReceived
    return lambda self, message: isinstance(message, wrapper) and isinstance(message.message, type)

def is_transferring(front):
    return front.transfer_request

def is_client_release(self, message):
    return isinstance(message, link.ClientReleased)

{point}
from harrieryoke.serve import serve
raise SystemExit(serve())
"""
NEW_PROCESS_POINTS = {
    "before it asks": 'point(link, "request_handover", "before", 1)',
    "after a part of the handover has arrived": 'point(link, "recv_fds", "after", 1)',
    "after the whole handover has arrived": 'point(link, "request_handover", "after", 1)',
    "before it restores the state": 'point(Upgrade, "restore_state", "before", 1)',
    "after it has restored the state, before it accepts": 'point(PlatformFront, "start", "before", 1)',
    "while it accepts, before it sends the serving message": 'point(Upgrade, "start", "before", 1)',
    "after it sent the serving message, before it is reachable": 'point(Upgrade, "start_reader", "after", 1)',
    "after it serves": 'point(Upgrade, "start", "after", 1)',
    "before it receives a client": 'point(Upgrade, "receive", "before", 1, received(link.ClientTransfer))',
    "after it has received a client": 'point(Upgrade, "receive", "after", 1, received(link.ClientTransfer))',
}
OLD_PROCESS_POINTS = {
    "before it handles the request": 'point(Upgrade, "receive", "before", 1, received(link.Hello))',
    "before it collects its state": 'point(Upgrade, "hand_over", "before", 1)',
    "before it sends its state": 'point(Link, "send_with_descriptor", "before", 1)',
    "after it has sent everything": 'point(Link, "send_with_descriptor", "after", 1)',
    "before it handles the serving message": 'point(Upgrade, "receive", "before", 1, received(link.Serving))',
    "after it handled the serving message": 'point(Upgrade, "receive", "after", 1, received(link.Serving))',
    "when it stops accepting": ('point(PlatformFront, "transfer_clients", "before", 1, is_transferring)'),
    "before it releases the first client": 'point(Upgrade, "receive", "before", 1, is_client_release)',
    "after it has released the first client": 'point(Upgrade, "receive", "after", 1, is_client_release)',
    "before it is stopped": 'point(Upgrade, "stop", "before", 1)',
}


NORMAL_COMMAND = Relays.command
STOP_POINT = "before it is stopped"
MAX_CALL_MS = 1500  # duration of a call of the load
WARM_UP_S = 2.0  # until the functions of the load are loaded, and no call is refused for lack of a copy


def killing_command(point: str) -> tuple[str, ...]:
    return (sys.executable, "-B", "-c", KILLER.replace("{point}", point))


def idle_client(relays: Relays) -> socket.socket:
    """A client without open calls, which is passed on immediately, unlike the clients of the load."""
    client = socket.create_connection(relays.listen, 6)
    client.sendall(b'{"jsonrpc":"2.0","id":1,"method":"probe"}\n')
    assert b"healthy" in client.recv(4096)
    return client


class Kills:
    """Records the kills and checks the results of the calls around them."""

    def __init__(self, relays: Relays) -> None:
        gevent.sleep(WARM_UP_S)
        self.relays, self.killed_at, self.started_at = relays, list[float](), now_ms()
        assert relays.send_operation(f"disable-server {relays.hosts[0].name}").startswith("done")
        self.banned_at = now_ms()

    def wait_for(self, process: subprocess.Popen[bytes], where: str) -> None:
        """Wait until the process has killed itself."""
        until = now_ms() + 6000
        while process.poll() is None and now_ms() < until:
            gevent.sleep(0.005)
        assert process.poll() == -signal.SIGKILL, f"{where}: {process.poll()}\n{self.relays.log_text()}"
        self.killed_at.append(now_ms())

    def check(self, max_lost_per_kill: int) -> None:
        """Check that at most `max_lost_per_kill` calls were lost per killed process, and none without one.

        No call may be answered twice. A connection may be refused only while no process has the listener.
        """
        relays, calls = self.relays, self.relays.load.calls
        assert count_late_sends(relays, relays.hosts[0].name, self.banned_at) == 0, "the ban was forgotten"
        assert "invoker_pool_ejected 1" in relays.send_operation("show-stat")
        outcomes, unreachable = relays.audit(), relays.load.unreachable
        lost = [c.sent_at for c in calls if not c.answers]
        summary = f"{outcomes} {unreachable} of {len(calls)}, kills {self.killed_at}, lost {lost}"
        assert outcomes["twice"] == 0, summary
        for sent in lost:
            assert any(
                0 <= at - sent < MAX_CALL_MS for at in self.killed_at
            ), f"lost with no process: {summary}"
        assert len(lost) + unreachable <= max_lost_per_kill * len(self.killed_at), summary
        # before the first kill some calls are refused while no function is loaded
        calls_since = [c for c in calls if c.sent_at >= self.started_at]
        served = sum(c.outcome == "served" for c in calls_since)
        assert calls_since and served > 0.95 * len(calls_since) - len(
            lost
        ), f"{served} of {len(calls_since)} served; {summary}"


def test_new_process_killed_at_each_point_of_the_handover_loses_only_calls_it_had_accepted(
    relays: Relays,
) -> None:
    load, serving = start_load(relays, 60.0), relays.process
    kills = Kills(relays)
    address = relays.manage
    for where, point in NEW_PROCESS_POINTS.items():
        relays.command = killing_command(point)
        with idle_client(relays):
            kills.wait_for(relays.launch(), where)
        gevent.sleep(0.3)
    relays.manage, relays.process = address, serving
    load.kill()
    relays.load.settle()
    kills.check(max_lost_per_kill=2)
    assert relays.load.unreachable == 0
    # the surviving process has counted the orders of the others, or they made none
    assert (
        orders_over_budget(relays.load.calls, relays.received, ORDER_WINDOW_MS, ORDER_FLOOR, ORDER_SHARE) == 0
    )


def test_old_process_killed_at_each_point_of_the_handover_leaves_the_new_one_serving(
    relays: Relays,
) -> None:
    load = start_load(relays, 60.0)
    kills = Kills(relays)
    where = None
    for name, point in [*OLD_PROCESS_POINTS.items(), (None, None)]:
        relays.command = NORMAL_COMMAND if point is None else killing_command(point)
        with idle_client(relays):
            old = relays.start_next()
            if where is None:
                terminate(old)
            else:
                if where == STOP_POINT:
                    old.send_signal(signal.SIGTERM)
                kills.wait_for(old, where)
        where = name
        gevent.sleep(0.3)
    load.kill()
    relays.load.settle()
    kills.check(max_lost_per_kill=24)
