"""Errors of system calls caused by this machine: they are transient and say nothing about the peer."""

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
    """Exponentially growing delays between retries, in milliseconds."""

    def __init__(self) -> None:
        self.delay_ms = MIN_DELAY_MS

    def sleep(self) -> None:
        """Sleep for the current delay and double it for the next time."""
        delay = self.delay_ms
        self.delay_ms = min(2 * delay, MAX_DELAY_MS)
        gevent.sleep(delay / 1000)

    def reset(self) -> None:
        """Start again with the shortest delay, after a success."""
        self.delay_ms = MIN_DELAY_MS


def is_local(error: OSError) -> bool:
    """Return whether this machine alone caused the error."""
    return error.errno in LOCAL_ERRORS


def is_kernel_timeout(error: TimeoutError) -> bool:
    """Return whether the kernel has given up the connection (ETIMEDOUT).

    Python raises the same type for the socket's own timeout, after which the connection is still open.
    """
    return error.errno is not None


def retry_local(what: str, call: Callable[[], T], timeout_ms: float, log: Log) -> T:
    """Call until it succeeds.

    Raises OSError immediately for an error that is not local, and for a local one after `timeout_ms`.
    """
    give_up_at, delays = now_ms() + timeout_ms, RetryDelays()
    while True:
        try:
            return call()
        except OSError as error:
            if not is_local(error) or now_ms() >= give_up_at:
                raise
            log("local-error", f"{what}: {error}")
            delays.sleep()
