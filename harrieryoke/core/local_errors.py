"""Errors of system calls that tell of this machine: they pass, and say nothing of the peer."""

from __future__ import annotations

import errno
from collections.abc import Callable
from typing import TypeVar

import gevent

from ..log import Log
from .clock import now_ms

T = TypeVar("T")
LOCAL_ERRORS = frozenset(
    {
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EAGAIN,
        errno.EINTR,
        errno.EADDRNOTAVAIL,
        errno.ENETDOWN,
        errno.ENETUNREACH,
    }
)
MIN_DELAY_MS, MAX_DELAY_MS = 1.0, 50.0


class RetryDelays:
    """Growing pauses between tries of a call that fails, in milliseconds."""

    def __init__(self) -> None:
        self.delay_ms = MIN_DELAY_MS

    def sleep(self) -> None:
        """Sleep for the next pause."""
        pause = self.delay_ms
        self.delay_ms = min(2 * pause, MAX_DELAY_MS)
        gevent.sleep(pause / 1000)

    def reset(self) -> None:
        """The call has succeeded: the next pause is short again."""
        self.delay_ms = MIN_DELAY_MS


def is_local(error: OSError) -> bool:
    """Return whether the error tells of this machine alone."""
    return error.errno in LOCAL_ERRORS


def is_kernel_timeout(error: TimeoutError) -> bool:
    """Return whether a read's error is the kernel's, which has given the connection up (ETIMEDOUT). Python
    has the same type for the end of the socket's own time-out, after which the connection still stands."""
    return error.errno is not None


def retry_local(what: str, call: Callable[[], T], patience_ms: float, log: Log) -> T:
    """Call until it succeeds. Raises OSError at once for an error of another kind, and for a local one after
    `patience_ms`."""
    give_up_at, pauses = now_ms() + patience_ms, RetryDelays()
    while True:
        try:
            return call()
        except OSError as error:
            if not is_local(error) or now_ms() >= give_up_at:
                raise
            log("local-error", f"{what}: {error}")
            pauses.sleep()
