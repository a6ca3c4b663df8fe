"""The management listener and its metrics, in a running invoker with emulated peers."""

from __future__ import annotations

import socket
import time
from pathlib import Path

import pytest

from harrieryoke.admin.commands import parse_command
from harrieryoke.errors import OperatorError
from harrieryoke.memory_budget import CONNECTION_BYTES

from .scenario import Scene, run

CONNECTIONS_PER_KIND = 40  # silent ones, and ones with a partial line
INVALID_COMMANDS = {
    "unknown": (b"dance", "unknown-call"),
    "empty": (b" \r", "empty"),
    "no UTF-8": (b"ready \xff", "not-text"),
    "an argument too many": (b"ready now", "wrong-arguments"),
}


@pytest.mark.parametrize("name", INVALID_COMMANDS)
def test_an_invalid_command_is_answered_with_its_error_code(name: str) -> None:
    line, code = INVALID_COMMANDS[name]
    with pytest.raises(OperatorError) as caught:
        parse_command(line)
    assert str(caught.value).startswith(f"{code} ") and "\n" not in str(caught.value)


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


def test_the_metrics_match_what_the_peers_saw(tmp_path: Path) -> None:
    scene = Scene(tmp_path, hosts=2)
    try:
        tries = 'invoker_tries{kind="weight-read"}'
        initial = scene.figures()
        assert initial["invoker_pool_size"] == 2 and not any(initial[n] for n in initial if "pool" not in n)
        scene.play("send c1 call 1 weight-read body=a")
        host = next(h for h in scene.hosts if has_connection(scene, h))
        scene.play(f"expect {host} request body=a")
        metrics = scene.figures()
        assert metrics["invoker_active"] == 1 and metrics[tries] == 1
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
        metrics = scene.figures()
        assert {n: v for n, v in metrics.items() if v} == {
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


CHECK_BANNED = """
    send m1 disable-server h1
    expect m1 done
    send c1 call {n} weight-read budget=250
    expect c1 {n} error -32050
    """
REACTIVATE = "send bus active h1\nwait changed"
LIST_CHANGES = {
    "as before": REACTIVATE,
    "as draining, and back": "send bus leaving h1\nwait changed\n" + REACTIVATE,
    "as gone, and back": "send bus left h1\nwait changed\nexpect h1 end\n" + REACTIVATE,
}


@pytest.mark.parametrize("name", LIST_CHANGES)
def test_a_disabled_host_stays_out_until_it_is_enabled(name: str, tmp_path: Path) -> None:
    scene = Scene(tmp_path)
    try:
        scene.play(f"""
            send m0 disable-server h9
            expect m0 error unknown-server
            send c1 call 1 weight-read
            expect h1 request
            send h1 ok
            expect c1 1 result
            {CHECK_BANNED.format(n=2)}
            wait banned h1
            wait changed
            expect bus "from 1"
            {LIST_CHANGES[name]}
            {CHECK_BANNED.format(n=3).replace("m1", "m2")}""")
        time.sleep(0.5)
        metrics = scene.figures()
        assert (metrics["invoker_pool_size"], metrics["invoker_pool_ejected"]) == (1, 1)
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


def has_connection(scene: Scene, host: str) -> bool:
    """Whether the invoker connected to the host: the module chooses which host a function goes to."""
    listening = scene.hosts[host].listening
    assert listening is not None
    listening.settimeout(0.5)
    try:
        scene.hosts[host].sock()
    except TimeoutError:
        return False
    return True


def test_silent_connections_and_partial_lines_do_not_delay_others(tmp_path: Path) -> None:
    scene = Scene(tmp_path)
    host, port = scene.management.split(":")
    try:
        connections = [
            socket.create_connection((host, int(port)), 5) for _ in range(2 * CONNECTIONS_PER_KIND)
        ]
        for sock in connections[CONNECTIONS_PER_KIND:]:
            try:
                sock.sendall(b"show-")
            except OSError:
                continue  # evicted for a newer one
        started = time.monotonic()
        assert scene.ask("ready") == ["done ready"] and scene.ask("show-stat")[-1] == "end"
        assert time.monotonic() - started < 1
        closed = sum(is_closed(sock) for sock in connections)
        assert (
            2 * CONNECTIONS_PER_KIND - 32 <= closed < 2 * CONNECTIONS_PER_KIND
        ), "connections are evicted, but only as many as needed"
        time.sleep(4.6)
        assert all(map(is_closed, connections))
    finally:
        scene.end()


def is_closed(sock: socket.socket) -> bool:
    sock.settimeout(0.05)
    try:
        return sock.recv(1) == b""
    except TimeoutError:
        return False
    except OSError:
        return True


# Guards against memory that fills without telling by whom: the account has a figure for each owner.
def test_show_memory_tells_what_is_held_by_owner(tmp_path: Path) -> None:
    scene = Scene(tmp_path)
    try:
        scene.play('send c1 probe 1\nexpect c1 1 healthy\nsend c1 part "{" 5000')
        for _ in range(200):
            *lines, end = scene.ask("show-memory")
            figures = {name: int(value) for name, value in (line.rsplit(" ", 1) for line in lines)}
            if figures['invoker_memory_bytes{owner="input"}'] == 5000:
                break
        assert end == "end" and figures['invoker_memory_bytes{owner="input"}'] == 5000
        assert figures['invoker_memory_bytes{owner="connections"}'] == CONNECTION_BYTES
        held = sum(value for name, value in figures.items() if name.startswith("invoker_memory_bytes"))
        assert held < figures["invoker_memory_budget_bytes"] < 192 * 2**20
        assert 0 < figures["invoker_memory_resident_bytes"] < 192 * 2**20
        assert figures["invoker_memory_pressure"] == 0
    finally:
        scene.end()
