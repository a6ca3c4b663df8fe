"""The operators' listener and its figures, against a real invoker with stand-ins for its peers."""

from __future__ import annotations

import socket
import time
from pathlib import Path

import pytest

from harrieryoke.admin.commands import parse_command
from harrieryoke.errors import OperatorError

from .scenario import Scene, run

CALLERS = 40
WRONG = {
    "unknown": (b"dance", "unknown-call"),
    "empty": (b" \r", "empty"),
    "no UTF-8": (b"ready \xff", "not-text"),
    "an argument too many": (b"ready now", "wrong-arguments"),
}


@pytest.mark.parametrize("name", WRONG)
def test_a_wrong_call_is_told_what_to_do(name: str) -> None:
    line, code = WRONG[name]
    with pytest.raises(OperatorError) as wrong:
        parse_command(line)
    assert str(wrong.value).startswith(f"{code} ") and "\n" not in str(wrong.value)


def test_a_connection_carries_one_line_and_is_closed(tmp_path: Path) -> None:
    run(
        tmp_path,
        f"""
        send m1 ready\r
        expect m1 done ready
        send m2 part rea
        send m2 dy
        expect m2 done ready
        send m3 {"x" * 3000}
        expect m3 error too-long
        send m4 dance
        expect m4 error unknown-call""",
    )


def test_the_figures_are_what_the_peers_saw(tmp_path: Path) -> None:
    scene = Scene(tmp_path, hosts=2)
    try:
        tries = 'invoker_tries{kind="weight-read"}'
        first = scene.figures()
        assert first["invoker_pool_size"] == 2 and not any(first[n] for n in first if "pool" not in n)
        scene.play("send c1 call 1 weight-read body=a")
        host = next(h for h in scene.hosts if heard(scene, h))
        scene.play(f"expect {host} request body=a")
        seen = scene.figures()
        assert seen["invoker_active"] == 1 and seen[tries] == 1
        scene.play(f"""
            send {host} ok
            expect c1 1 result
            send c1 call 2 weight-read
            expect {host} request
            send c1 giveUp 2
            expect {host} give-up
            send c1 call 3 weight-read budget=0
            expect c1 3 error -32602
            send c1 call 4 harvest-log token=k budget=8
            expect c1 4 error -32050
            send c1 call 5 honey
            expect c1 5 error -32601
            send node HUP
            wait reloaded
            send config raw no
            send node HUP
            wait reload-failed""")
        seen = scene.figures()
        assert {n: v for n, v in seen.items() if v} == {
            'invoker_responses{kind="weight-read",result="ok"}': 1,
            tries: 2,
            'invoker_responses{kind="weight-read",result="errors"}': 1,
            'invoker_responses{kind="harvest-log",result="shed"}': 1,
            "invoker_pool_size": 2,
            "invoker_config_applied": 1,
            "invoker_config_rejected": 1,
        }
    finally:
        scene.end()


BANNED = """
    send m1 disable-server h1
    expect m1 done
    send c1 call {n} weight-read budget=250
    expect c1 {n} error -32050
    """
BACK = "send bus active h1\nwait changed"
LISTED = {
    "as before": BACK,
    "as draining, and back": "send bus leaving h1\nwait changed\n" + BACK,
    "as gone, and back": "send bus left h1\nwait changed\nexpect h1 end\n" + BACK,
}


@pytest.mark.parametrize("name", LISTED)
def test_a_host_stays_out_until_it_is_put_back(name: str, tmp_path: Path) -> None:
    scene = Scene(tmp_path)
    try:
        scene.play(f"""
            send m0 disable-server h9
            expect m0 error unknown-server
            send c1 call 1 weight-read
            expect h1 request
            send h1 ok
            expect c1 1 result
            {BANNED.format(n=2)}
            wait banned h1
            wait changed
            expect bus "from 1"
            {LISTED[name]}
            {BANNED.format(n=3).replace("m1", "m2")}""")
        time.sleep(0.5)
        seen = scene.figures()
        assert (seen["invoker_pool_size"], seen["invoker_pool_ejected"]) == (1, 1)
        scene.play("""
            send m3 enable-server h1
            expect m3 done
            send c1 call 4 weight-read body=x
            expect h1 request body=x
            send h1 ok
            expect c1 4 result""")
        time.sleep(0.5)
        assert scene.figures()["invoker_pool_ejected"] == 0
    finally:
        scene.end()


def heard(scene: Scene, host: str) -> bool:
    """Whether the invoker has connected there; which host a function goes to is the module's choice."""
    listening = scene.hosts[host].listening
    assert listening is not None
    listening.settimeout(0.5)
    try:
        scene.hosts[host].sock()
    except TimeoutError:
        return False
    return True


def test_silent_and_half_callers_do_not_delay_the_others(tmp_path: Path) -> None:
    scene = Scene(tmp_path)
    host, port = scene.management.split(":")
    try:
        stay = [socket.create_connection((host, int(port)), 5) for _ in range(2 * CALLERS)]
        for sock in stay[CALLERS:]:
            try:
                sock.sendall(b"show-")
            except OSError:
                continue  # closed for a newer one
        began = time.monotonic()
        assert scene.ask("ready") == ["done ready"] and scene.ask("show-stat")[-1] == "end"
        assert time.monotonic() - began < 1
        closed = sum(ended(sock) for sock in stay)
        assert 2 * CALLERS - 32 <= closed < 2 * CALLERS, "some are closed, and no more than must be"
        time.sleep(4.6)
        assert all(map(ended, stay))
    finally:
        scene.end()


def ended(sock: socket.socket) -> bool:
    sock.settimeout(0.05)
    try:
        return sock.recv(1) == b""
    except TimeoutError:
        return False
    except OSError:
        return True
