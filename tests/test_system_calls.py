"""System calls of a real invoker fail temporarily, as documented for Linux.

Errors caused by this machine must not count against a model host, and no request may be lost.
"""

from __future__ import annotations

import time
from pathlib import Path

import pytest

from .faults.shim import BadPlanError, FaultShim
from .scenario import Scene, invoker

FAILURE_S = 0.15  # duration of the failure, much shorter than the deadline of a request
SHORT_WINDOW_MS = 5  # of a keyed class, so that an attempt that may have run is not retried


def served_request(number: int, client: str = "c1") -> str:
    """Steps for a request that its host gets immediately; without a copy another frame would come first."""
    return f"""
        send {client} call {number} weight-read budget=3000 body=question
        expect h1 request body=question
        send h1 ok n=w body=answer
        expect {client} {number} result answer
    """


@pytest.mark.parametrize(
    "failing",
    [
        "socket EMFILE",
        "socket ENFILE",
        "socket ENOBUFS",
        "socket ENOMEM",
        "connect EADDRNOTAVAIL",
        "connect ENOBUFS",
        "connect ENETUNREACH",
        "connect EINTR",
        "connected ENETUNREACH",
    ],
)
def test_local_error_does_not_exclude_a_host(failing: str, tmp_path: Path) -> None:
    with invoker(tmp_path) as scene:
        scene.play(
            f"""
            expect bus "from 1"
            send calls fail {failing}
            send c1 call 1 weight-read budget=3000 body=question
            wait dial-failed
            """
        )
        time.sleep(FAILURE_S)
        scene.play(
            """
            send calls clear
            expect h1 request body=question
            send h1 ok n=w body=answer
            expect c1 1 result answer
            """
        )
        assert "hosts-out" not in scene.log()


@pytest.mark.parametrize("failing", ["connect ETIMEDOUT", "connect EHOSTUNREACH", "connected ETIMEDOUT"])
def test_host_that_is_reachable_at_the_next_attempt_is_not_excluded(failing: str, tmp_path: Path) -> None:
    with invoker(tmp_path) as scene:
        scene.play(f'expect bus "from 1"\nsend calls fail {failing} times=1\n{served_request(1)}')
        assert scene.shim is not None and scene.shim.failure_count(failing.split()[0]) == 1
        assert "hosts-out" not in scene.log()


@pytest.mark.parametrize(
    "failing", ["socket ENFILE times=3", "socket ENOMEM times=3", "duplicate EMFILE times=3"]
)
def test_start_waits_for_sockets(failing: str, tmp_path: Path) -> None:
    with invoker(tmp_path, failing) as scene:
        scene.play(served_request(1))


@pytest.mark.parametrize("error", ["ECONNABORTED", "EMFILE", "ENFILE", "ENOBUFS", "ENOMEM"])
def test_clients_connecting_while_accept_fails_are_served_afterwards(error: str, tmp_path: Path) -> None:
    with invoker(tmp_path) as scene:
        scene.play(
            served_request(1) + f"send calls fail accept {error}\nsend c2 call 2 weight-read body=late"
        )
        scene.wait("accept-failed")
        time.sleep(FAILURE_S)
        scene.play(served_request(3))
        assert (
            scene.shim is not None and scene.shim.failure_count("accept") < 20
        ), "accept is retried without a delay"
        scene.play(
            "send calls clear\nexpect h1 request body=late\nsend h1 ok n=w body=x\nexpect c2 2 result x"
        )


def test_clients_connecting_while_accept_fails_are_served_by_a_stopping_process(tmp_path: Path) -> None:
    with invoker(tmp_path) as scene:
        scene.play(
            f"""
            {served_request(1)}
            send calls fail accept EMFILE
            send c2 call 2 weight-read body=late
            wait accept-failed
            send node TERM
            wait stopping
            """
        )
        time.sleep(0.75)  # longer than a stopping process accepts new connections
        scene.play(
            """
            send calls clear
            expect h1 request body=late
            send h1 ok n=w body=x
            expect c2 2 result x
            expect node exit 0
            """
        )


@pytest.mark.parametrize(
    "failing", ["recv short", "send short", "wait EINTR chance=0.5", "recv short\nsend calls fail send short"]
)
def test_partial_and_interrupted_reads_and_writes_lose_nothing(failing: str, tmp_path: Path) -> None:
    with invoker(tmp_path) as scene:
        scene.play(
            f"send calls fail {failing}\n{served_request(1)}\n{served_request(2)}"
            "\nsend c2 probe 1\nexpect c2 1 healthy"
        )


LINK_BREAKS = {
    "before its first byte: it has never run and is retried": """
        send calls fail send ERROR peer=dialled times=1
        send c1 call 2 harvest-log token=t body=once
        expect h1 end
        expect h1 request body=once
        send h1 ok n=w body=x
        expect c1 2 result x
    """,
    "after it was written: it may have run and fails": """
        send c1 call 2 harvest-log token=t body=once
        expect h1 request body=once
        send calls fail recv ERROR peer=dialled times=1
        send h1 ok n=w body=x
        expect c1 2 error -32000
    """,
}


@pytest.mark.parametrize("error", ["ETIMEDOUT", "EHOSTUNREACH"])
@pytest.mark.parametrize("case", LINK_BREAKS)
def test_request_without_repeats_on_a_broken_link(case: str, error: str, tmp_path: Path) -> None:
    with invoker(tmp_path, window=SHORT_WINDOW_MS) as scene:
        scene.play(served_request(1) + LINK_BREAKS[case].replace("ERROR", error))


def test_client_whose_connection_the_kernel_gave_up_has_left(tmp_path: Path) -> None:
    with invoker(tmp_path) as scene:
        scene.play(
            """
            send c1 call 1 weight-read body=question
            expect h1 request body=question
            send calls fail recv ETIMEDOUT peer=accepted times=1
            send c1 probe 2
            expect c1 end
            expect h1 give-up
            """
        )


@pytest.mark.parametrize(
    ("plan", "error"),
    [
        ("fail dial EMFILE", "unknown call 'dial': expected one of accept, socket"),
        ("fail socket EWHAT", "unknown error 'EWHAT'"),
        ("fail socket", "expected 'fail CALL FAILURE' or 'clear'"),
    ],
)
def test_shim_rejects_an_unknown_plan(plan: str, error: str, tmp_path: Path) -> None:
    with pytest.raises(BadPlanError, match=error):
        FaultShim(tmp_path).run_command(plan.split())


def test_process_reports_an_unreadable_plan(tmp_path: Path) -> None:
    shim = FaultShim(tmp_path)
    shim.file.write_bytes(b"short")
    with pytest.raises(AssertionError, match="never logged: started"):
        Scene(tmp_path, shim=shim)
    assert "is no plan of this version" in (tmp_path / "log").read_text()
