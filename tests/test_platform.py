"""The platform's front, the model hosts and the event bus, as scenarios on real loopback sockets."""

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

HUGE = "A" * 40000
LONG = "z" * 230000  # bytes of an answer, far more than a request may have
ONE = {
    "a body comes back unchanged and fields are passed on": """
        send c1 call 1 harvest-log token=k-1 body=hello
        expect h1 request sort=harvest-log asset=7f3a9c21e0b4d655 op=k-1 body=hello
        send h1 ok n=w body='as it was, and "more"'
        expect c1 1 result 'as it was, and "more"'""",
    "an answer may be longer than any request": f"""
        send c1 call 1 weight-read body=x
        expect h1 request body=x
        send h1 ok n=w body={LONG}
        expect c1 1 result {LONG}""",
    "answers come in any order": """
        send c1 call 1 weight-read body=a
        expect h1 request body=a
        send c1 call 2 weight-read body=b
        expect h1 request body=b
        send h1 ok body=B
        expect c1 2 result B
        send c1 giveUp 1
        expect h1 give-up""",
    "a miss brings an order, and the request is sent again there": """
        send c1 call 1 weight-read body=x
        expect h1 request body=x
        send h1 miss
        expect h1 hold asset=7f3a9c21e0b4d655 pods=1
        send h1 ok of=hold pods=1
        expect h1 request body=x
        send h1 ok n=w body=y
        expect c1 1 result y""",
    "after giveUp nothing is written, also when the answer crosses it": """
        send c1 call 1 weight-read
        expect h1 request
        send c1 giveUp 1
        expect h1 give-up
        send h1 ok body=late
        send c1 call 2 weight-read
        expect h1 request
        send h1 ok body=new
        expect c1 2 result new""",
    "giveUp of what is not open is harmless": """
        send c1 giveUp 9
        send c1 probe 1
        expect c1 1 healthy""",
    "a client that closes gives its requests up": """
        send c1 call 1 weight-read
        expect h1 request
        close c1
        expect h1 give-up""",
    "a lost connection may have run: a safe class goes again": """
        send c1 call 1 weight-read body=x
        expect h1 request
        close h1
        expect h1 request body=x
        send h1 ok body=y
        expect c1 1 result y""",
    "a keyed call goes again with its key where its rack drops the repeat": """
        send c1 call 1 harvest-log token=k
        expect h1 request op=k
        send h1 error
        expect h1 request op=k
        send h1 ok
        expect c1 1 result""",
    "a frame that can't be read closes the link, and the next call has a new one": """
        send c1 call 1 weight-read body=x
        expect h1 request
        send h1 raw 'no frame at all, but long enough for one'
        wait bad-frame
        expect h1 end
        expect h1 request body=x
        send h1 ok body=y
        expect c1 1 result y""",
    "a good answer counts, also with a bad frame in the same chunk behind it": """
        send c1 call 1 weight-read body=x
        expect h1 request
        send h1 ok body=y then='no frame at all, but long enough for one'
        expect c1 1 result y
        wait bad-frame
        expect h1 end""",
    "an answer that stops short ends its link soon, and what is open there goes again": """
        send c1 call 1 weight-read body=x
        expect h1 request
        send h1 ok body=y short=3
        expect h1 end
        expect h1 request body=x
        send h1 ok body=z
        expect c1 1 result z""",
    "a link that stays open and silent is left, and what is open there goes again": """
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
    "a request over at the host has never run and goes again": """
        send c1 call 1 harvest-log token=k
        expect h1 request
        send h1 over
        expect h1 request op=k
        send h1 ok
        expect c1 1 result""",
    "a silent host: the answer comes before the client leaves": """
        send c1 call 1 harvest-log token=k budget=300
        expect h1 request
        expect c1 1 error -32000
        expect h1 give-up""",
    "bad lines get an error each and the connection goes on": """
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
    "an open id twice, and one request id twice": """
        send c1 call 1 weight-read
        expect h1 request
        send c1 call 1 weight-read rid=00000000000000aa
        expect c1 - error -32600
        send c1 call 2 weight-read rid=0000000000000001
        expect c1 2 error -32000
        send h1 ok body=one
        expect c1 1 result one""",
    "a line without end closes the connection, and only that one": """
        send c1 raw abcdefgh 20000
        expect c1 end
        send c2 probe 1
        expect c2 1 healthy""",
    "who says nothing, or stops within a line, is closed; who has something open is not": """
        send c1 call 1 weight-read body=x budget=30000
        expect h1 request body=x
        send c2 part {
        send c3 part ''
        expect c2 end
        expect c3 end
        send h1 ok body=y
        expect c1 1 result y""",
    "the thirty-third open request is refused": "\n".join(
        f"send c1 call {n} weight-read" for n in range(1, 34)
    )
    + "\nexpect c1 33 error -32050",
    "a host that leaves gets nothing new": """
        expect bus 'from 1'
        send bus leaving h1
        wait changed
        send c1 call 1 weight-read budget=200
        expect c1 1 error -32050""",
    "what the module gives up on is answered at half its time, not near its end": """
        expect bus 'from 1'
        send bus leaving h1
        wait changed
        send c1 call 1 weight-read budget=30000
        send c1 call 2 weight-read budget=200
        expect c1 2 error -32050
        send c1 giveUp 1
        send c1 probe 3
        expect c1 3 healthy""",
    "the bus is followed from the last event after it was lost": """
        expect bus 'from 1'
        send bus active h1
        send bus raw 2
        close bus
        wait bus-lost
        expect bus 'from 2'
        send bus raw nonsense
        close bus
        expect bus 'from 2'""",
    "SIGHUP: the bus moves at once from the last event, what is open goes on, other keys are named": """
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
    "SIGHUP with a file that can't be used: the old one stays": """
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
    "an event that can't be read twice is left out, and those behind it are heard": """
        expect bus 'from 1'
        send bus raw nonsense
        expect bus end
        expect bus 'from 1'
        send bus raw '{"offset":2,"topology":7}'
        wait bad-event
        send bus raw 2
        close bus
        expect bus 'from 2'""",
    "a bus that falls silent in the middle of an event is asked again": """
        expect bus 'from 1'
        send bus part '{"offset":2,'
        expect bus end
        expect bus 'from 1'""",
    "an address passes to a new host: the old one's link ends and its call goes again": """
        expect bus 'from 1'
        send c1 call 1 weight-read body=x
        expect h1 request
        send bus active new@h1
        expect h1 end
        expect h1 request body=x
        send h1 ok body=y
        expect c1 1 result y""",
    "SIGTERM: new connections are served for a while, what was taken is answered, exit 0": """
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
    "SIGTERM with a silent host: failed in time, exit 0": """
        send c1 call 1 harvest-log token=k budget=60000
        expect h1 request
        send node TERM
        expect c1 1 error -32000
        expect node exit 0""",
}


def test_who_asked_once_and_stays_makes_room_for_newcomers_while_who_waits_is_kept(tmp_path: Path) -> None:
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


@pytest.mark.parametrize("name", ONE)
def test_one_model_host(name: str, tmp_path: Path) -> None:
    run(tmp_path, ONE[name])


KINDS = i.Settings((i.RequestClass("weight-read", 1000, 4000),))


def test_a_dial_that_is_reset_is_tried_once_more(monkeypatch: pytest.MonkeyPatch) -> None:
    said = [ConnectionResetError(), socket.socket()]

    def dial(*args: object) -> object:
        got = said.pop(0)
        if isinstance(got, OSError):
            raise got
        return got

    monkeypatch.setattr(socket, "create_connection", dial)
    actor = HostActor(
        "h", HostStatus(("127.0.0.1", 9)), KINDS, Limits(), Log(), lambda ended: None, Metrics()
    )
    with actor.connect() as sock:
        assert sock and not said
    said.append(ConnectionRefusedError())
    assert actor.dial() is None


def test_what_was_never_written_whole_has_not_run_and_the_rest_of_its_link_may_have() -> None:
    class Broken:
        def sendall(self, data: bytes) -> None:
            raise ConnectionResetError

        def close(self) -> None: ...

    ends: list[TaskEnded] = []
    actor = HostActor("h", HostStatus(("127.0.0.1", 9)), KINDS, Limits(), Log(), ends.append, Metrics())
    old, new = (AttemptTask(1, 1e18, 0.0, call=Call(f"{n:016x}", 0, "f", 1e18)) for n in (1, 2))
    link = Link(Broken(), Decoder(0), {1: old})
    actor.links.append(link)
    actor.locations[old] = (link, 1)
    actor.send_task(new)
    assert {e.task: e.outcome for e in ends} == {old: i.Outcome.RESET, new: i.Outcome.NOT_SENT}


def test_without_a_model_host_a_call_is_refused_with_advice(tmp_path: Path) -> None:
    run(tmp_path, "send c1 call 1 weight-read budget=200\nexpect c1 1 error -32050", hosts=0)


def test_a_host_that_refuses_connections_has_run_nothing(tmp_path: Path) -> None:
    scene = Scene(tmp_path)
    listening = scene.hosts["h1"].listening
    assert listening is not None
    listening.close()
    scene.play("send c1 call 1 harvest-log token=k budget=400\nwait dial-failed\nexpect c1 1 error -32050")
    assert "greenlet-died" not in scene.end()
