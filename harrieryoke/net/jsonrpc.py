"""JSON-RPC 2.0 as clients use it: messages, their parameters and error codes."""

from __future__ import annotations

import msgspec

# error codes: of this service, and of JSON-RPC
REFUSED, FAILED = -32050, -32000
PARSE, INVALID, NO_METHOD, BAD_PARAMS = -32700, -32600, -32601, -32602
PROP_SEPARATOR = ";"


class Message(msgspec.Struct):
    """One line of a client."""

    method: str
    id: int | None = None
    jsonrpc: str = ""
    params: msgspec.Raw = msgspec.Raw(b"{}")


class CallParams(msgspec.Struct):
    """Parameters of a call."""

    rid: str
    budget: float
    obj: str
    acct: str | None = None
    token: str | None = None
    props: str = ""
    blob: bytes = b""


class GiveUpParams(msgspec.Struct):
    """Parameters of `giveUp`, which names a call by its id or its rid."""

    id: int | None = None
    rid: str | None = None


class BadRequestError(ValueError):
    """An invalid request of a client; `code` is JSON-RPC's."""

    def __init__(self, code: int, text: str) -> None:
        super().__init__(text)
        self.code = code


def parse_props(text: str) -> dict[str, float]:
    """Parse `name:number;name:number`; the caller ignores unknown names."""
    props = {}
    for pair in text.split(PROP_SEPARATOR) if text else []:
        name, _, value = pair.partition(":")
        props[name] = float(value)
    return props


def decode_message(data: bytes) -> Message:
    """Decode one line. Raises BadRequestError."""
    try:
        message: Message = msgspec.json.decode(data, type=Message)
    except msgspec.ValidationError as error:
        raise BadRequestError(INVALID, str(error)) from None
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise BadRequestError(PARSE, str(error)) from None
    return message
