"""One request to a running invoker's operators' HTTP, for the commands."""

from __future__ import annotations

import http.client
from typing import Any
from urllib.parse import urlencode

import msgspec


class OpsError(ValueError):
    """It can't be reached, or it says no; the message names the address."""


def ask(ops: str, method: str, path: str, **query: object) -> Any:
    """What it answers, decoded. `ops` is HOST:PORT. Raises OpsError."""
    connection = None
    try:
        connection = http.client.HTTPConnection(ops, timeout=10)
        connection.request(method, path + ("?" + urlencode(query) if query else ""))
        answer = connection.getresponse()
        told = msgspec.json.decode(answer.read())
    except (OSError, http.client.HTTPException, msgspec.MsgspecError) as error:
        raise OpsError(f"{ops}: {error}") from None
    finally:
        if connection is not None:
            connection.close()
    if answer.status >= 400:
        raise OpsError(f"{ops}{path}: {told.get('error', answer.status)}")
    return told
