"""The calls that operators can make, how one is read, and how the figures are told; no I/O."""

from __future__ import annotations

from dataclasses import fields

import msgspec

from ..core.metrics import ClassMetrics, Metrics
from ..errors import EmptyCall, NotText, UnknownCall, WrongArguments


class Command(msgspec.Struct, frozen=True):
    """One call: its name, the names of its arguments, and what it does."""

    name: str
    arguments: tuple[str, ...]
    does: str

    def usage(self) -> str:
        return " ".join((self.name, *self.arguments))


COMMANDS = {
    c.name: c
    for c in (
        Command("help", (), "names the calls"),
        Command("ready", (), "says whether this process serves"),
        Command("show-stat", (), "tells the figures, then a line 'end'"),
        Command("disable-server", ("ID",), "leaves a model host out until it is put back"),
        Command("enable-server", ("ID",), "puts a model host back as the list has it"),
    )
}


def read_call(line: bytes) -> tuple[Command, list[str]]:
    """The call in a line without its line feed, and its arguments. Errors are OperatorErrors."""
    try:
        words = line.decode().split()
    except UnicodeDecodeError as error:
        raise NotText(f"byte {error.start}") from None
    if not words:
        raise EmptyCall
    name, *arguments = words
    if name not in COMMANDS:
        raise UnknownCall(repr(name[:64]))
    command = COMMANDS[name]
    if len(arguments) != len(command.arguments):
        raise WrongArguments(f"'{command.usage()}' is wanted, got {len(arguments)} arguments")
    return command, arguments


def tell_figures(figures: Metrics) -> list[str]:
    """A line for each figure; counts are since the start of the process."""
    lines = []
    for name, counted in figures.classes.items():
        kind = msgspec.json.encode(name).decode()
        for figure in (f.name for f in fields(ClassMetrics)):
            value = getattr(counted, figure)
            lines.append(
                f"invoker_tries{{kind={kind}}} {value}"
                if figure == "tries"
                else f'invoker_responses{{kind={kind},result="{figure}"}} {value}'
            )
    return lines + [
        f"invoker_{name} {getattr(figures, name)}"
        for name in ("active", "pool_size", "pool_ejected", "config_applied", "config_rejected")
    ]
