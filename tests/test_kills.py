"""Upgrades under load in which one process ends by SIGKILL, at points of the handover and not at times."""

from __future__ import annotations

import signal
import subprocess
import sys

import gevent
from gevent import socket

from harrieryoke.core.clock import now_ms
from harrieryoke.lab.audit import orders_over_budget
from harrieryoke.lab.world import FLOOR, SHARE, WINDOW

from .test_upgrade import Relays, count_late_sends, relays, start_load, terminate

__all__ = ["relays"]

# a process that kills itself as it comes to a point: the method, at its begin or end, at which call of it
KILLER = """
import os, signal
from harrieryoke.core.module import ModuleActor
from harrieryoke.net.platform import PlatformFront
from harrieryoke.service import Service
from harrieryoke.upgrade import link
from harrieryoke.upgrade.link import Link, Upgrade
from gevent import socket

def point(owner, name, when, nth, wanted=lambda *a: True):
    real, left = getattr(owner, name), [nth]
    def hooked(*args, **named):
        if wanted(*args):
            left[0] -= 1
        if left[0] == 0 and when == "before":
            os.kill(os.getpid(), signal.SIGKILL)
        told = real(*args, **named)
        if left[0] == 0:
            os.kill(os.getpid(), signal.SIGKILL)
        return told
    setattr(owner, name, hooked)

def said(type):
    received = link.PeerMessageReceived
    return lambda self, message: isinstance(message, received) and isinstance(message.message, type)

def passed(self, message):
    return isinstance(message, link.ClientReleased)

{point}
from harrieryoke.serve import serve
raise SystemExit(serve())
"""
NEW = {
    "it has not asked yet": 'point(link, "request_handover", "before", 1)',
    "what it is handed has come in part": 'point(link, "recv_fds", "after", 1)',
    "all has come": 'point(link, "request_handover", "after", 1)',
    "it has not learned yet": 'point(Upgrade, "restore_state", "before", 1)',
    "it has learned and does not accept": 'point(PlatformFront, "start", "before", 1)',
    "it accepts and has not said so": 'point(Upgrade, "start", "before", 1)',
    "it has said so and can't be found yet": 'point(Upgrade, "start_reader", "after", 1)',
    "it serves": 'point(Upgrade, "start", "after", 1)',
    "the first client is passed on": 'point(Upgrade, "receive", "before", 1, said(link.ClientTransfer))',
    "the first client is here": 'point(Upgrade, "receive", "after", 1, said(link.ClientTransfer))',
}
OLD = {
    "it is asked": 'point(Upgrade, "receive", "before", 1, said(link.Hello))',
    "it looks for what it learned": 'point(Upgrade, "hand_over", "before", 1)',
    "what it learned is packed": 'point(Link, "send_with_descriptor", "before", 1)',
    "all is handed over": 'point(Link, "send_with_descriptor", "after", 1)',
    "it hears that another serves": 'point(Upgrade, "receive", "before", 1, said(link.Serving))',
    "it has told its front": 'point(Upgrade, "receive", "after", 1, said(link.Serving))',
    "it accepts no more": (
        'point(PlatformFront, "transfer_clients", "before", 1, lambda front: front.transfer_request)'
    ),
    "it passes the first client on": 'point(Upgrade, "receive", "before", 1, passed)',
    "the first client has gone": 'point(Upgrade, "receive", "after", 1, passed)',
    "it is told to stop": 'point(Upgrade, "stop", "before", 1)',
}


PLAIN = Relays.command
STOPPED = "it is told to stop"
OPEN_MS = 1500  # no call is open for longer here
WARM_S = 2.0  # until the load finds its functions loaded, and nothing is refused for want of that


def armed(point: str) -> tuple[str, ...]:
    return (sys.executable, "-B", "-c", KILLER.replace("{point}", point))


def idle_client(relays: Relays) -> socket.socket:
    """A client with nothing open, passed on at once: those of the load may have a call open always."""
    client = socket.create_connection(relays.listen, 6)
    client.sendall(b'{"jsonrpc":"2.0","id":1,"method":"probe"}\n')
    assert b"healthy" in client.recv(4096)
    return client


class Deaths:
    """What became of the calls round the ends of processes."""

    def __init__(self, relays: Relays) -> None:
        gevent.sleep(WARM_S)
        self.relays, self.at, self.began = relays, list[float](), now_ms()
        assert relays.send_operation(f"disable-server {relays.hosts[0].name}").startswith("done")
        self.banned_at = now_ms()

    def wait(self, process: subprocess.Popen[bytes], where: str) -> None:
        """Until the process has killed itself."""
        until = now_ms() + 6000
        while process.poll() is None and now_ms() < until:
            gevent.sleep(0.005)
        assert process.poll() == -signal.SIGKILL, f"{where}: {process.poll()}\n{self.relays.log_text()}"
        self.at.append(now_ms())

    def check(self, most: int) -> None:
        """Calls may be lost with the process that had taken them, so many for each, and no others; none is
        answered twice. A connection is refused only where nobody had the listening socket any more."""
        relays, calls = self.relays, self.relays.load.calls
        assert count_late_sends(relays, relays.hosts[0].name, self.banned_at) == 0, "the ban was forgotten"
        assert "invoker_pool_ejected 1" in relays.send_operation("show-stat")
        ended, unreachable = relays.audit(), relays.load.unreachable
        lost = [c.sent for c in calls if not c.answers]
        told = f"{ended} {unreachable} of {len(calls)}, deaths {self.at}, lost {lost}"
        assert ended["twice"] == 0, told
        for sent in lost:
            assert any(0 <= at - sent < OPEN_MS for at in self.at), f"lost with no process: {told}"
        assert len(lost) + unreachable <= most * len(self.at), told
        # of the calls before the first death some are refused while the hosts have nothing loaded
        since = [c for c in calls if c.sent >= self.began]
        served = sum(c.how == "served" for c in since)
        assert since and served > 0.95 * len(since) - len(lost), f"{served} of {len(since)} served; {told}"


def test_a_new_process_killed_at_each_point_of_the_handover_loses_no_more_than_it_had_taken(
    relays: Relays,
) -> None:
    load, serving = start_load(relays, 60.0), relays.process
    deaths = Deaths(relays)
    address = relays.manage
    for where, point in NEW.items():
        relays.command = armed(point)
        with idle_client(relays):
            deaths.wait(relays.launch(), where)
        gevent.sleep(0.3)
    relays.manage, relays.process = address, serving
    load.kill()
    relays.load.settle()
    deaths.check(most=2)
    assert relays.load.unreachable == 0
    # whoever goes on has kept count of what the others ordered, or they ordered nothing
    assert orders_over_budget(relays.load.calls, relays.arrived, WINDOW, FLOOR, SHARE) == 0


def test_an_old_process_killed_at_each_point_of_the_handover_leaves_the_new_one_serving(
    relays: Relays,
) -> None:
    load = start_load(relays, 60.0)
    deaths = Deaths(relays)
    where = None
    for name, point in [*OLD.items(), (None, None)]:
        relays.command = PLAIN if point is None else armed(point)
        with idle_client(relays):
            old = relays.start_next()
            if where is None:
                terminate(old)
            else:
                if where == STOPPED:
                    old.send_signal(signal.SIGTERM)
                deaths.wait(old, where)
        where = name
        gevent.sleep(0.3)
    load.kill()
    relays.load.settle()
    deaths.check(most=24)
