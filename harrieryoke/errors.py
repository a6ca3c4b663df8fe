"""Errors that are reported to operators, with one type for each reason."""

from __future__ import annotations


class OperatorError(Exception):
    """`code` is one word for scripts; `action` says what the operator can do; `detail` names the case."""

    code = "failed"
    action = "look at the log"

    def __init__(self, detail: str = "") -> None:
        super().__init__(f"{self.code} {detail + ': ' if detail else ''}{self.action}")


class EmptyCall(OperatorError):
    code, action = "empty", "send one line that begins with a call; 'help' names them"


class UnfinishedCall(OperatorError):
    code, action = "unfinished", "end the line with a line feed; nothing was done"


class CallTooLong(OperatorError):
    code, action = "too-long", "send a shorter line; nothing was done"


class NotText(OperatorError):
    code, action = "not-text", "send the line in UTF-8; nothing was done"


class UnknownCall(OperatorError):
    code, action = "unknown-call", "send 'help' for the calls there are"


class WrongArguments(OperatorError):
    code, action = "wrong-arguments", "nothing was done"


class UnknownServer(OperatorError):
    code, action = "unknown-server", "no model host was ever listed under this id; look at the event bus"


class Busy(OperatorError):
    code, action = "busy", "send the call again; sending it twice is harmless"


class NotReady(OperatorError):
    code, action = "not-ready", "the process does not serve; ask again, and look at its log if it stays so"
