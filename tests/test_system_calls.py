"""System calls of a real invoker fail for a moment, as Linux documents. What they tell of this machine is not
held against a model host, and no request is lost by it."""

from __future__ import annotations

import time
from pathlib import Path

import pytest

from .faults.shim import BadPlanError, FaultShim
from .scenario import Scene, invoker

MOMENT_S = 0.15  # how long calls fail, well under the time of a request
SHORT_WINDOW_MS = 5  # of a keyed class: nothing that may have run goes out again


def served(number: int, client: str = "c1") -> str:
    """A request that goes to a host at once: one without a copy, or out, would get another frame first."""
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
def test_no_host_is_taken_for_dead_by_an_error_of_this_machine(failing: str, tmp_path: Path) -> None:
    with invoker(tmp_path) as scene:
        scene.play(
            f"""
            expect bus "from 1"
            send calls fail {failing}
            send c1 call 1 weight-read budget=3000 body=question
            wait dial-failed
            """
        )
        time.sleep(MOMENT_S)
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
def test_a_host_that_can_be_reached_again_at_once_is_not_dead(failing: str, tmp_path: Path) -> None:
    with invoker(tmp_path) as scene:
        scene.play(f'expect bus "from 1"\nsend calls fail {failing} times=1\n{served(1)}')
        assert scene.shim is not None and scene.shim.struck(failing.split()[0]) == 1
        assert "hosts-out" not in scene.log()


@pytest.mark.parametrize(
    "failing", ["socket ENFILE times=3", "socket ENOMEM times=3", "duplicate EMFILE times=3"]
)
def test_the_start_waits_for_sockets_that_it_can_not_have_at_once(failing: str, tmp_path: Path) -> None:
    with invoker(tmp_path, failing) as scene:
        scene.play(served(1))


@pytest.mark.parametrize("error", ["ECONNABORTED", "EMFILE", "ENFILE", "ENOBUFS", "ENOMEM"])
def test_clients_that_knock_while_accept_fails_are_served_after_it(error: str, tmp_path: Path) -> None:
    with invoker(tmp_path) as scene:
        scene.play(served(1) + f"send calls fail accept {error}\nsend c2 call 2 weight-read body=late")
        scene.wait("accept-failed")
        time.sleep(MOMENT_S)
        scene.play(served(3))
        assert scene.shim is not None and scene.shim.struck("accept") < 20, "it tries without a pause"
        scene.play(
            "send calls clear\nexpect h1 request body=late\nsend h1 ok n=w body=x\nexpect c2 2 result x"
        )


def test_clients_that_knock_while_accept_fails_are_served_by_a_process_that_stops(tmp_path: Path) -> None:
    with invoker(tmp_path) as scene:
        scene.play(
            f"""
            {served(1)}
            send calls fail accept EMFILE
            send c2 call 2 weight-read body=late
            wait accept-failed
            send node TERM
            wait stopping
            """
        )
        time.sleep(0.75)  # past the time for which a process that stops accepts as before
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
def test_what_comes_in_parts_or_is_interrupted_is_whole(failing: str, tmp_path: Path) -> None:
    with invoker(tmp_path) as scene:
        scene.play(
            f"send calls fail {failing}\n{served(1)}\n{served(2)}\nsend c2 probe 1\nexpect c2 1 healthy"
        )


LINK_BREAKS = {
    "before its first byte: it has never run and goes out again": """
        send calls fail send ERROR peer=dialled times=1
        send c1 call 2 harvest-log token=t body=once
        expect h1 end
        expect h1 request body=once
        send h1 ok n=w body=x
        expect c1 2 result x
    """,
    "after it went out: it may have run and ends as failed": """
        send c1 call 2 harvest-log token=t body=once
        expect h1 request body=once
        send calls fail recv ERROR peer=dialled times=1
        send h1 ok n=w body=x
        expect c1 2 error -32000
    """,
}


@pytest.mark.parametrize("error", ["ETIMEDOUT", "EHOSTUNREACH"])
@pytest.mark.parametrize("case", LINK_BREAKS)
def test_a_request_that_may_not_be_repeated_and_whose_link_breaks(
    case: str, error: str, tmp_path: Path
) -> None:
    with invoker(tmp_path, window=SHORT_WINDOW_MS) as scene:
        scene.play(served(1) + LINK_BREAKS[case].replace("ERROR", error))


def test_a_client_whose_connection_the_kernel_gave_up_has_gone(tmp_path: Path) -> None:
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
    ("told", "why"),
    [
        ("fail dial EMFILE", "no call 'dial': one of accept, socket"),
        ("fail socket EWHAT", "no error 'EWHAT'"),
        ("fail socket", "'fail CALL FAILURE' or 'clear' is wanted"),
    ],
)
def test_the_shim_refuses_a_plan_that_it_does_not_know(told: str, why: str, tmp_path: Path) -> None:
    with pytest.raises(BadPlanError, match=why):
        FaultShim(tmp_path).tell(told.split())


def test_a_process_names_a_plan_that_it_can_not_read(tmp_path: Path) -> None:
    shim = FaultShim(tmp_path)
    shim.file.write_bytes(b"short")
    with pytest.raises(AssertionError, match="never logged: started"):
        Scene(tmp_path, shim=shim)
    assert "is no plan of this version" in (tmp_path / "log").read_text()
