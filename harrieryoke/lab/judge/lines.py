"""Kinds of lines that a loud client sends, and which of them are owed an answer."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

MAX_LINE_BYTES = 64 * 1024
WARM_FUNCTIONS = 16  # called by all; ever new functions have other names
SAFE, KEYED = "sample-read", "sample-write"
BUDGET_MS = 2000.0


REFUSED = -32050  # error code


class ErrorBody(msgspec.Struct):
    """The error of an answer."""

    code: int


@dataclass(frozen=True, slots=True)
class Line:
    """One line with its line feed; `id` is that of a call or probe that is owed an answer under it."""

    data: bytes
    id: int | None = None


def encode(message: object) -> bytes:
    return msgspec.json.encode(message) + b"\n"


def warm_function(rng: random.Random) -> str:
    """Return the name of one of the functions that are called all the time."""
    return f"{rng.randrange(WARM_FUNCTIONS):016x}"


def new_function(rng: random.Random) -> str:
    """Return a name that no other call has."""
    return f"{rng.getrandbits(63) | 1 << 63:016x}"


def call(
    id: int, rng: random.Random, function: str, size: int, budget: float = BUDGET_MS, keyed: bool = False
) -> Line:
    """Return a sound call with a body of `size` bytes."""
    params: dict[str, object] = {
        "rid": f"{rng.getrandbits(64):016x}",
        "budget": budget,
        "obj": function,
        "props": "memory_mb:400;lanes:8;load_ms:400",
        "blob": rng.randbytes(size),
    }
    if keyed:
        params["token"] = f"{rng.getrandbits(64):x}"
    method = KEYED if keyed else SAFE
    return Line(encode({"jsonrpc": "2.0", "id": id, "method": method, "params": params}), id)


def unsound(id: int, rng: random.Random, size: int) -> Line:
    return Line(b"{]\n")


def tiny(id: int, rng: random.Random, size: int) -> Line:
    return Line(b"%d\n" % rng.randrange(100_000))


def fuzz(id: int, rng: random.Random, size: int) -> Line:
    """A sound call with some of its bytes damaged, or plain noise."""
    data = bytearray(call(id, rng, warm_function(rng), min(size, 300)).data[:-1])
    for _ in range(rng.randrange(1, 8)):
        data[rng.randrange(len(data))] = rng.randrange(256)
    # without its method the line is no call, whatever the damage left of it
    return Line(bytes(data).replace(b"\n", b" ").replace(b'"method"', b'"m"') + b"\n")


def unknown_method(id: int, rng: random.Random, size: int) -> Line:
    message = {"jsonrpc": "2.0", "id": id, "method": f"m{rng.getrandbits(40):x}", "params": {}}
    return Line(encode(message), id)


def unknown_account(id: int, rng: random.Random, size: int) -> Line:
    """A call of an account that the settings don't name."""
    message = msgspec.json.decode(call(id, rng, warm_function(rng), size).data)
    message["params"]["acct"] = f"{rng.getrandbits(64):x}"
    return Line(encode(message), id)


def probe(id: int, rng: random.Random, size: int) -> Line:
    return Line(encode({"jsonrpc": "2.0", "id": id, "method": "probe", "params": {}}), id)


def give_up(id: int, rng: random.Random, size: int) -> Line:
    """A `giveUp` of a call that never was."""
    return Line(encode({"jsonrpc": "2.0", "method": "giveUp", "params": {"id": id}}))


def sound(id: int, rng: random.Random, size: int) -> Line:
    return call(id, rng, warm_function(rng), size)


def new_safe(id: int, rng: random.Random, size: int) -> Line:
    return call(id, rng, new_function(rng), size)


def new_keyed(id: int, rng: random.Random, size: int) -> Line:
    return call(id, rng, new_function(rng), size, keyed=True)


def id_last(id: int, rng: random.Random, size: int) -> Line:
    """A sound call whose id stands behind its parameters."""
    message = msgspec.json.decode(call(id, rng, warm_function(rng), size).data)
    del message["id"]
    return Line(encode(message | {"id": id}), id)


def many_props(id: int, rng: random.Random, size: int) -> Line:
    message = msgspec.json.decode(call(id, rng, warm_function(rng), 300).data)
    message["params"]["props"] = ";".join(f"{rng.getrandbits(32):x}:1" for _ in range(3000))
    return Line(encode(message), id)


def too_long(id: int, rng: random.Random, size: int) -> Line:
    """A call of more than the longest line; it is owed an answer like any other."""
    return call(id, rng, warm_function(rng), MAX_LINE_BYTES)


def empty(id: int, rng: random.Random, size: int) -> Line:
    return Line(b" \n")


LineKind = Callable[[int, random.Random, int], Line]
KINDS: dict[str, LineKind] = {
    kind.__name__: kind
    for kind in (
        unsound,
        tiny,
        fuzz,
        unknown_method,
        unknown_account,
        probe,
        give_up,
        sound,
        new_safe,
        new_keyed,
        id_last,
        many_props,
        too_long,
        empty,
    )
}
