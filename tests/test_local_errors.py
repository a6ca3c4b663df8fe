"""Errors of this machine: which they are, and how long a start waits for them to pass."""

from __future__ import annotations

import errno
import os

import pytest

from harrieryoke.core.clock import now_ms
from harrieryoke.core.local_errors import is_local, retry_local
from harrieryoke.log import Log

PATIENCE_MS = 60.0


def failing(number: int) -> OSError:
    return OSError(number, os.strerror(number))


class Call:
    """Fails with these errors, one each time, and then succeeds."""

    def __init__(self, *numbers: int) -> None:
        self.numbers = list(numbers)

    def __call__(self) -> str:
        if self.numbers:
            raise failing(self.numbers.pop(0))
        return "made"


@pytest.mark.parametrize(
    "number", [errno.ECONNREFUSED, errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.EADDRINUSE]
)
def test_errors_that_may_tell_of_the_peer_or_of_the_settings_are_not_local(number: int) -> None:
    assert not is_local(failing(number))
    with pytest.raises(OSError, match=f"Errno {number}"):
        retry_local("listen", Call(number), PATIENCE_MS, Log())


def test_local_errors_are_waited_for_and_told(capsys: pytest.CaptureFixture[str]) -> None:
    assert retry_local("listen", Call(errno.ENFILE, errno.EINTR), PATIENCE_MS, Log()) == "made"
    assert capsys.readouterr().err.count("local-error listen: ") == 2


def test_a_local_error_that_stays_is_raised_in_the_end() -> None:
    began = now_ms()
    with pytest.raises(OSError, match="Too many open files"):
        retry_local("listen", Call(*[errno.EMFILE] * 1000), PATIENCE_MS, Log())
    assert PATIENCE_MS <= now_ms() - began < 20 * PATIENCE_MS
