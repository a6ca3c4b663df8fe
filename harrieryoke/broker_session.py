"""What one process of an upgrade hands to the other of its session at the MQTT broker; no I/O.

The structs are part of the wire format between the two processes, of which either may be of an older version.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import msgspec

BODY_NOT_KEPT = "answered before; that answer is no longer kept"
ENTRY_BYTES = 256  # estimate of an entry's encoded size without its key, reason and body


class KeptAnswer(msgspec.Struct):
    """The final answer of an idempotency key; `age_ms` has passed since it was given."""

    key: str
    outcome: str
    body: bytes
    reason: str
    retry_after: float | None
    age_ms: float

    def encoded_bytes(self) -> int:
        """Estimate the size of the encoded entry, in which the body is base64."""
        return ENTRY_BYTES + len(self.key) + len(self.reason) + 4 * len(self.body) // 3

    def without_body(self) -> KeptAnswer:
        """Return the entry without its body: the key stays known as answered."""
        return KeptAnswer(self.key, "failed", b"", BODY_NOT_KEPT, None, self.age_ms)


class AnsweredMessage(msgspec.Struct):
    """An answered message whose acknowledgement the broker may not have.

    `identity` is a digest of all that a redelivery repeats.
    """

    message_id: int
    identity: str


class BrokerSession(msgspec.Struct):
    """A session that its owner has left. All that the owner took has its final answer.

    If `complete`, every other message that the broker delivers again has never been taken.
    """

    answers: list[KeptAnswer] = []
    unconfirmed: list[AnsweredMessage] = []
    complete: bool = False


def split_answers(answers: Iterable[KeptAnswer], max_bytes: int) -> Iterator[list[KeptAnswer]]:
    """Yield the answers in order, in lists of at most about `max_bytes`; a body beyond that is left out."""
    part, size = list[KeptAnswer](), 0
    for given in answers:
        answer = given if given.encoded_bytes() <= max_bytes else given.without_body()
        if part and size + answer.encoded_bytes() > max_bytes:
            yield part
            part, size = [], 0
        part.append(answer)
        size += answer.encoded_bytes()
    if part:
        yield part
