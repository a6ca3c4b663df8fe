"""Creation of listening sockets, with retries while the machine lacks resources."""

from __future__ import annotations

from gevent import socket

from ..core.local_errors import retry_local
from ..limits import Limits
from ..log import Log


def bind_address(address: tuple[str, int], shared: bool = False) -> socket.socket:
    """Return a socket at the address, which other processes may bind too if `shared`. Raises OSError."""
    # create_server would create a socket that blocks the whole process
    bound = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if shared:
            bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        bound.bind(address)
    except OSError:
        bound.close()
        raise
    return bound


def bind_listener(address: tuple[str, int], backlog: int, shared: bool = False) -> socket.socket:
    """Return a listening socket; otherwise as `bind_address`."""
    listening = bind_address(address, shared)
    try:
        listening.listen(backlog)
    except OSError:
        listening.close()
        raise
    return listening


def wait_for_listener(
    address: tuple[str, int], backlog: int, limits: Limits, log: Log, shared: bool = False
) -> socket.socket:
    """Call `bind_listener`, with retries while the machine temporarily lacks resources.

    Raises OSError for any other error, and once `limits.start_ms` have passed.
    """
    return retry_local("listen", lambda: bind_listener(address, backlog, shared=shared), limits.start_ms, log)
