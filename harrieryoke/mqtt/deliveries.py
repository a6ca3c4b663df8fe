"""Which deliveries of the broker are redeliveries of messages that were taken before; no I/O.

A broker uses a packet identifier again as soon as it has the acknowledgement of a message. It delivers a
message again, marked as a duplicate, if the connection ended before that. So a redelivered identifier may
belong to an answered message whose acknowledgement was lost, or to a new one that was lost on its way. An
answered message is therefore kept only until the broker is known to have its acknowledgement: until it has
answered a ping that was sent later on the same connection.

A session may be older than the process. What an earlier process took comes again at the first connection, or
at a later one if that is lost early. All of it has come once the broker has answered a ping.
"""

from __future__ import annotations

from dataclasses import dataclass

from ..broker_session import AnsweredMessage
from .triggers import Message

PREDECESSOR_CONNECTION = 0  # number of no connection of this process; they count from 1


@dataclass(slots=True, eq=False)
class ReceivedTrigger:
    """A message that was taken: it is owed one outcome and one acknowledgement."""

    message: Message
    identity: str
    connection: int  # number of the connection that delivered it last
    key: str | None = None


@dataclass(slots=True)
class AnsweredDelivery:
    """An answered message whose acknowledgement the broker may not have."""

    identity: str
    connection: int  # number of the connection that delivered it last
    acknowledgement: int | None = None  # its number, once it was written on that connection


class DeliveryLog:
    """The messages that were taken and that the broker may deliver again, by packet identifier."""

    def __init__(self) -> None:
        self.open: dict[int, ReceivedTrigger] = {}
        self.answered: dict[int, AnsweredDelivery] = {}
        self.acknowledgements = 0  # written so far
        # the connection by which all that an earlier process may have taken has come again; None: not yet
        self.complete_by: int | None = None
        self.has_left_predating = (
            False  # a message that an earlier process may have taken was left to a successor
        )

    def begin_session(self) -> None:
        """The session at the broker is a new one, which numbers its messages from the start."""
        self.open.clear()
        self.answered.clear()
        self.complete_by, self.has_left_predating = PREDECESSOR_CONNECTION, False

    def leave_session(self) -> None:
        """Another process has the session from now on."""
        self.begin_session()
        self.complete_by = None

    def adopt_session(self, messages: list[AnsweredMessage], complete: bool) -> None:
        """The session was a predecessor's, which answered these messages, and all it took if `complete`."""
        for each in messages:
            self.answered[each.message_id] = AnsweredDelivery(each.identity, PREDECESSOR_CONNECTION)
        self.complete_by = PREDECESSOR_CONNECTION if complete else None

    def may_predate(self, message: Message, connection: int) -> bool:
        """Return whether an earlier process may have taken a message that this one does not know."""
        return message.dup and (self.complete_by is None or connection <= self.complete_by)

    def leave(self, message: Message, connection: int) -> None:
        """Leave a message that this process does not know to its successor."""
        self.has_left_predating = self.has_left_predating or self.may_predate(message, connection)

    def resume(self) -> None:
        """There is no successor any more: what was left to it comes again at the next connection."""
        if self.has_left_predating:
            self.complete_by, self.has_left_predating = None, False

    def is_complete(self) -> bool:
        """Return whether a successor may take all that it is not told of for new."""
        return self.complete_by is not None and not self.has_left_predating

    def needs_ping(self) -> bool:
        """Return whether the answer to a ping would tell something."""
        return bool(self.answered) or self.complete_by is None

    def take(self, trigger: ReceivedTrigger) -> None:
        """Record a new message. Its identifier belongs to no earlier message any more."""
        if trigger.message.qos:
            self.open[trigger.message.message_id] = trigger
            self.answered.pop(trigger.message.message_id, None)

    def find_redelivered(
        self, message: Message, identity: str, connection: int
    ) -> ReceivedTrigger | AnsweredDelivery | None:
        """Return the message that this delivery repeats, now on this connection; None if it is new."""
        earlier = self.open.get(message.message_id) or self.answered.get(message.message_id)
        if not (message.qos and message.dup) or earlier is None or earlier.identity != identity:
            return None
        earlier.connection = connection
        if isinstance(earlier, AnsweredDelivery):
            earlier.acknowledgement = None
        return earlier

    def record_answer(self, trigger: ReceivedTrigger) -> None:
        """Record the final answer of a message."""
        message_id = trigger.message.message_id
        if self.open.get(message_id) is trigger:
            del self.open[message_id]
            self.answered[message_id] = AnsweredDelivery(trigger.identity, trigger.connection)

    def record_acknowledgement(self, message_id: int) -> None:
        """Record that an acknowledgement was written on the connection that delivered the message."""
        self.acknowledgements += 1
        if (answered := self.answered.get(message_id)) is not None:
            answered.acknowledgement = self.acknowledgements

    def confirm(self, connection: int, acknowledgements: int) -> None:
        """The broker answered a ping that was sent on this connection after so many acknowledgements.

        Messages that it did not deliver again on this connection have been acknowledged before.
        """
        if self.complete_by is None:
            self.complete_by = connection
        for message_id, answered in list(self.answered.items()):
            number = answered.acknowledgement
            written_before = number is not None and number <= acknowledgements
            if answered.connection < connection or (answered.connection == connection and written_before):
                del self.answered[message_id]

    def export_unconfirmed(self) -> list[AnsweredMessage]:
        """Return the answered messages that the broker may deliver again to a successor."""
        return [AnsweredMessage(message_id, a.identity) for message_id, a in self.answered.items()]
