"""Tests which errors count as local, and how long a call is retried after one."""

from __future__ import annotations

import errno
import os

import pytest

from harrieryoke.core.clock import now_ms
from harrieryoke.core.local_errors import is_local, retry_local
from harrieryoke.log import Log

TIMEOUT_MS = 60.0


def os_error(number: int) -> OSError:
    return OSError(number, os.strerror(number))


class FailingCall:
    """Fails once with each of the given errors, then succeeds."""

    def __init__(self, *numbers: int) -> None:
        self.numbers = list(numbers)

    def __call__(self) -> str:
        if self.numbers:
            raise os_error(self.numbers.pop(0))
        return "made"


@pytest.mark.parametrize(
    "number", [errno.ECONNREFUSED, errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.EADDRINUSE]
)
def test_errors_caused_by_the_peer_or_the_settings_are_not_local(number: int) -> None:
    assert not is_local(os_error(number))
    with pytest.raises(OSError, match=f"Errno {number}"):
        retry_local("listen", FailingCall(number), TIMEOUT_MS, Log())


def test_local_errors_are_retried_and_logged(capsys: pytest.CaptureFixture[str]) -> None:
    assert retry_local("listen", FailingCall(errno.ENFILE, errno.EINTR), TIMEOUT_MS, Log()) == "made"
    assert capsys.readouterr().err.count("local-error listen: ") == 2


def test_persistent_local_error_is_raised_after_the_timeout() -> None:
    began = now_ms()
    with pytest.raises(OSError, match="Too many open files"):
        retry_local("listen", FailingCall(*[errno.EMFILE] * 1000), TIMEOUT_MS, Log())
    assert TIMEOUT_MS <= now_ms() - began < 20 * TIMEOUT_MS
