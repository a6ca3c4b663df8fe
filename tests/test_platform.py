"""Scenarios with clients, model hosts and the event bus on real loopback sockets."""

from __future__ import annotations

from pathlib import Path

import pytest
from gevent import socket

from harrieryoke import interface as i
from harrieryoke.core.metrics import Metrics
from harrieryoke.core.records import AttemptTask, Call, TaskEnded
from harrieryoke.limits import Limits
from harrieryoke.log import Log
from harrieryoke.net.frames import Decoder
from harrieryoke.net.host import HostActor, HostStatus
from harrieryoke.net.link import Link

from .scenario import Scene, run

HUGE = "A" * 40000  # body, longer than a request may be
LONG = "z" * 230000  # answer, much longer than a request may be
ONE_HOST_SCENARIOS = {
    "bodies are unchanged and fields are passed on": """
        send c1 call 1 harvest-log token=k-1 body=hello
        expect h1 request sort=harvest-log asset=7f3a9c21e0b4d655 op=k-1 body=hello
        send h1 ok n=w body='as it was, and "more"'
        expect c1 1 result 'as it was, and "more"'""",
    "an answer may be longer than any request": f"""
        send c1 call 1 weight-read body=x
        expect h1 request body=x
        send h1 ok n=w body={LONG}
        expect c1 1 result {LONG}""",
    "answers may come in any order": """
        send c1 call 1 weight-read body=a
        expect h1 request body=a
        send c1 call 2 weight-read body=b
        expect h1 request body=b
        send h1 ok body=B
        expect c1 2 result B
        send c1 giveUp 1
        expect h1 give-up""",
    "a miss causes a load order, and the request is sent again to the same host": """
        send c1 call 1 weight-read body=x
        expect h1 request body=x
        send h1 miss
        expect h1 hold asset=7f3a9c21e0b4d655 pods=1
        send h1 ok of=hold pods=1
        expect h1 request body=x
        send h1 ok n=w body=y
        expect c1 1 result y""",
    "after giveUp nothing is written, even if the answer crosses it": """
        send c1 call 1 weight-read
        expect h1 request
        send c1 giveUp 1
        expect h1 give-up
        send h1 ok body=late
        send c1 call 2 weight-read
        expect h1 request
        send h1 ok body=new
        expect c1 2 result new""",
    "giveUp of an id that is not open is ignored": """
        send c1 giveUp 9
        send c1 probe 1
        expect c1 1 healthy""",
    "a client that closes its connection gives up its requests": """
        send c1 call 1 weight-read
        expect h1 request
        close c1
        expect h1 give-up""",
    "a lost connection may have run the request: a safe class is retried": """
        send c1 call 1 weight-read body=x
        expect h1 request
        close h1
        expect h1 request body=x
        send h1 ok body=y
        expect c1 1 result y""",
    "a keyed call is retried with its key where duplicates are dropped": """
        send c1 call 1 harvest-log token=k
        expect h1 request op=k
        send h1 error
        expect h1 request op=k
        send h1 ok
        expect c1 1 result""",
    "an unreadable frame closes the link, and the call is retried on a new one": """
        send c1 call 1 weight-read body=x
        expect h1 request
        send h1 raw 'no frame at all, but long enough for one'
        wait bad-frame
        expect h1 end
        expect h1 request body=x
        send h1 ok body=y
        expect c1 1 result y""",
    "an answer counts even if an unreadable frame follows in the same chunk": """
        send c1 call 1 weight-read body=x
        expect h1 request
        send h1 ok body=y then='no frame at all, but long enough for one'
        expect c1 1 result y
        wait bad-frame
        expect h1 end""",
    "an incomplete answer ends its link soon, and the open call is retried": """
        send c1 call 1 weight-read body=x
        expect h1 request
        send h1 ok body=y short=3
        expect h1 end
        expect h1 request body=x
        send h1 ok body=z
        expect c1 1 result z""",
    "a silent link is closed, and the open call is retried": """
        send c1 call 1 weight-read body=x budget=30000
        expect h1 request body=x
        expect h1 end
        expect h1 request body=x
        send h1 ok body=X
        expect c1 1 result X
        send c1 call 3 weight-read body=z
        expect h1 request body=z
        send h1 ok body=Z
        expect c1 3 result Z""",
    "a request rejected as over by the host has never run and is retried": """
        send c1 call 1 harvest-log token=k
        expect h1 request
        send h1 over
        expect h1 request op=k
        send h1 ok
        expect c1 1 result""",
    "a silent host: the answer comes before the client's deadline": """
        send c1 call 1 harvest-log token=k budget=300
        expect h1 request
        expect c1 1 error -32000
        expect h1 give-up""",
    "each invalid line gets an error and the connection stays open": """
        send c1 raw {
        expect c1 - error -32700
        send c1 raw '{"jsonrpc":"2.0","id":"x","method":"probe"}'
        expect c1 - error -32600
        send c1 raw '{"jsonrpc":"1.0","id":1,"method":"probe"}'
        expect c1 - error -32600
        send c1 raw '[1,2]'
        expect c1 - error -32600
        send c1 raw '{"a":' 10000
        expect c1 - error -32700
        send c1 call 2 honey-log
        expect c1 2 error -32601
        send c1 call 3 weight-read blob=%%%
        expect c1 3 error -32602
        send c1 call 4 weight-read rid=12
        expect c1 4 error -32602
        send c1 call 5 weight-read obj=7F3A9C21E0B4D655
        expect c1 5 error -32602
        send c1 call 6 harvest-log
        expect c1 6 error -32602
        send c1 call 7 harvest-log token=a,b=c
        expect c1 7 error -32602
        send c1 call 8 weight-read acct=nobody
        expect c1 8 error -32602
        send c1 call 9 weight-read budget=-5
        expect c1 9 error -32602
        send c1 call 10 weight-read props=lanes:many
        expect c1 10 error -32602
        send c1 call 11 weight-read props=lanes:nan
        expect c1 11 error -32602
        send c1 call 12 weight-read blob=HUGE
        expect c1 12 error -32602
        send c1 probe 13
        expect c1 13 healthy""".replace("HUGE", HUGE),
    "a duplicate JSON-RPC id and a duplicate request id": """
        send c1 call 1 weight-read
        expect h1 request
        send c1 call 1 weight-read rid=00000000000000aa
        expect c1 - error -32600
        send c1 call 2 weight-read rid=0000000000000001
        expect c1 2 error -32000
        send h1 ok body=one
        expect c1 1 result one""",
    "a line without end closes only its own connection": """
        send c1 raw abcdefgh 20000
        expect c1 end
        send c2 probe 1
        expect c2 1 healthy""",
    "silent clients and those that stop within a line are closed; clients with an open call are not": """
        send c1 call 1 weight-read body=x budget=30000
        expect h1 request body=x
        send c2 part {
        send c3 part ''
        expect c2 end
        expect c3 end
        send h1 ok body=y
        expect c1 1 result y""",
    "the thirty-third open request of a connection is refused": "\n".join(
        f"send c1 call {n} weight-read" for n in range(1, 34)
    )
    + "\nexpect c1 33 error -32050",
    "a host that leaves gets no new calls": """
        expect bus 'from 1'
        send bus leaving h1
        wait changed
        send c1 call 1 weight-read budget=200
        expect c1 1 error -32050""",
    "a call that cannot be served is refused at half its time, not at its deadline": """
        expect bus 'from 1'
        send bus leaving h1
        wait changed
        send c1 call 1 weight-read budget=30000
        send c1 call 2 weight-read budget=200
        expect c1 2 error -32050
        send c1 giveUp 1
        send c1 probe 3
        expect c1 3 healthy""",
    "after a lost connection the bus is followed from the last event": """
        expect bus 'from 1'
        send bus active h1
        send bus raw 2
        close bus
        wait bus-lost
        expect bus 'from 2'
        send bus raw nonsense
        close bus
        expect bus 'from 2'""",
    "SIGHUP: the bus changes at the last event, open calls continue, other keys are named": """
        expect bus 'from 1'
        send bus active h1
        send c1 call 1 weight-read body=x
        expect h1 request body=x
        send config bus=bus2 name=n7
        send node HUP
        wait restart is needed for: name
        expect bus end
        expect bus2 'from 2'
        send bus2 leaving h1
        wait changed
        send h1 ok body=y
        expect c1 1 result y""",
    "SIGHUP with an invalid file: the old configuration stays": """
        expect bus 'from 1'
        send config raw {
        send node HUP
        wait reload-failed
        send config bus=nowhere
        send node HUP
        wait reload-failed
        send bus active h1
        wait changed
        send c1 probe 1
        expect c1 1 healthy""",
    "an event that is unreadable twice is skipped, and the later ones are applied": """
        expect bus 'from 1'
        send bus raw nonsense
        expect bus end
        expect bus 'from 1'
        send bus raw '{"offset":2,"topology":7}'
        wait bad-event
        send bus raw 2
        close bus
        expect bus 'from 2'""",
    "a bus that stops within an event is asked again": """
        expect bus 'from 1'
        send bus part '{"offset":2,'
        expect bus end
        expect bus 'from 1'""",
    "an address passes to a new host: the link of the old one ends and its call is retried": """
        expect bus 'from 1'
        send c1 call 1 weight-read body=x
        expect h1 request
        send bus active new@h1
        expect h1 end
        expect h1 request body=x
        send h1 ok body=y
        expect c1 1 result y""",
    "news of a host that has gone does not concern the new one at its address": """
        expect bus 'from 1'
        send bus active new@h1
        wait list 1 model hosts changed
        send bus leaving h1
        wait list 1 model hosts changed
        send c1 call 1 weight-read body=x
        expect h1 request body=x
        send h1 ok body=y
        expect c1 1 result y
        send bus left h1
        wait list 1 model hosts changed
        send c1 call 2 weight-read body=x
        expect h1 request body=x
        send h1 ok body=z
        expect c1 2 result z""",
    "SIGTERM: new connections are served for a while, accepted calls are answered, exit 0": """
        send c1 call 1 weight-read
        expect h1 request
        send node TERM
        wait stopping
        send c2 call 2 weight-read body=new
        expect h1 request body=new
        send h1 ok body=b
        expect c2 2 result b
        expect c2 end
        send c1 giveUp 1
        expect c1 end
        expect node exit 0""",
    "SIGTERM with a silent host: the call fails in time, exit 0": """
        send c1 call 1 harvest-log token=k budget=60000
        expect h1 request
        send node TERM
        expect c1 1 error -32000
        expect node exit 0""",
}


def test_idle_client_is_closed_for_new_ones_and_a_waiting_client_is_kept(tmp_path: Path) -> None:
    others = "\n".join(f"send c{n} probe 1\nexpect c{n} 1 healthy" for n in range(2, 21))
    run(
        tmp_path,
        f"""
        send c1 call 1 weight-read body=x
        expect h1 request body=x
        {others}
        expect c2 end
        send h1 ok body=y
        expect c1 1 result y""",
        operator="[limits]\nsockets = 20\nclient_fresh_ms = 0.001",
    )


@pytest.mark.parametrize("name", ONE_HOST_SCENARIOS)
def test_one_model_host(name: str, tmp_path: Path) -> None:
    run(tmp_path, ONE_HOST_SCENARIOS[name])


SETTINGS = i.Settings((i.RequestClass("weight-read", 1000, 4000),))


def test_reset_dial_is_retried_once(monkeypatch: pytest.MonkeyPatch) -> None:
    results = [ConnectionResetError(), socket.socket()]

    def dial(*args: object) -> object:
        result = results.pop(0)
        if isinstance(result, OSError):
            raise result
        return result

    monkeypatch.setattr(socket, "create_connection", dial)
    actor = HostActor(
        "h", HostStatus(("127.0.0.1", 9)), SETTINGS, Limits(), Log(), lambda ended: None, Metrics()
    )
    with actor.connect() as sock:
        assert sock and not results
    results.append(ConnectionRefusedError())
    assert actor.dial() is None


def test_attempt_not_completely_written_has_not_run_but_others_on_its_link_may_have() -> None:
    class Broken:
        def sendall(self, data: bytes) -> None:
            raise ConnectionResetError

        def close(self) -> None: ...

    ends: list[TaskEnded] = []
    actor = HostActor("h", HostStatus(("127.0.0.1", 9)), SETTINGS, Limits(), Log(), ends.append, Metrics())
    old, new = (AttemptTask(1, 1e18, 0.0, call=Call(f"{n:016x}", 0, "f", 1e18)) for n in (1, 2))
    link = Link(Broken(), Decoder(0), {1: old})
    actor.links.append(link)
    actor.locations[old] = (link, 1)
    actor.send_task(new)
    assert {e.task: e.outcome for e in ends} == {old: i.Outcome.RESET, new: i.Outcome.NOT_SENT}


def test_without_a_model_host_a_call_is_refused_with_advice(tmp_path: Path) -> None:
    run(tmp_path, "send c1 call 1 weight-read budget=200\nexpect c1 1 error -32050", hosts=0)


def test_host_that_refuses_connections_has_run_nothing(tmp_path: Path) -> None:
    scene = Scene(tmp_path)
    listening = scene.hosts["h1"].listening
    assert listening is not None
    listening.close()
    scene.play("send c1 call 1 harvest-log token=k budget=400\nwait dial-failed\nexpect c1 1 error -32050")
    assert "greenlet-died" not in scene.end()
