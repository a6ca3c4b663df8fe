"""Client of a running invoker's operators' HTTP interface, for the command line."""

from __future__ import annotations

import http.client
from typing import Any
from urllib.parse import urlencode

import msgspec

TIMEOUT_S = 10


class OpsError(ValueError):
    """The invoker can't be reached or answered with an error; the message names the address."""


def ask(ops: str, method: str, path: str, **query: object) -> Any:
    """Send one request and return the decoded body of the answer. `ops` is HOST:PORT. Raises OpsError."""
    connection = None
    try:
        connection = http.client.HTTPConnection(ops, timeout=TIMEOUT_S)
        connection.request(method, path + ("?" + urlencode(query) if query else ""))
        response = connection.getresponse()
        body = msgspec.json.decode(response.read())
    except (OSError, http.client.HTTPException, msgspec.MsgspecError) as error:
        raise OpsError(f"{ops}: {error}") from None
    finally:
        if connection is not None:
            connection.close()
    if response.status >= 400:
        raise OpsError(f"{ops}{path}: {body.get('error', response.status)}")
    return body
