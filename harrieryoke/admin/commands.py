"""The admin commands, their parser, and the text form of the metrics; no I/O."""

from __future__ import annotations

from dataclasses import fields

import msgspec

from ..core.metrics import ClassMetrics, Metrics
from ..errors import EmptyCall, NotText, UnknownCall, WrongArguments
from ..memory_budget import MemoryBudget


class Command(msgspec.Struct, frozen=True):
    """One admin command: its name, the names of its arguments, and a summary."""

    name: str
    arguments: tuple[str, ...]
    does: str

    def usage(self) -> str:
        """Return the syntax of the command's line."""
        return " ".join((self.name, *self.arguments))


COMMANDS = {
    c.name: c
    for c in (
        Command("help", (), "names the calls"),
        Command("ready", (), "says whether this process serves"),
        Command("show-stat", (), "tells the figures, then a line 'end'"),
        Command("show-memory", (), "tells the memory that others hold, by owner, then a line 'end'"),
        Command("disable-server", ("ID",), "leaves a model host out until it is put back"),
        Command("enable-server", ("ID",), "puts a model host back as the list has it"),
    )
}


def parse_command(line: bytes) -> tuple[Command, list[str]]:
    """Parse a line without its line feed into command and arguments. Raises OperatorError."""
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


def format_memory(memory: MemoryBudget, resident: int) -> list[str]:
    """Return a line for each figure of the memory budget; `resident` is that of the process, in bytes."""
    owners = [f'invoker_memory_bytes{{owner="{owner.value}"}} {size}' for owner, size in memory.used.items()]
    return [
        *owners,
        f"invoker_memory_budget_bytes {memory.total}",
        f"invoker_memory_pressure {int(memory.pressure)}",
        f"invoker_memory_resident_bytes {resident}",
        f"invoker_memory_kernel_bytes {memory.sizes.kernel}",
        f"invoker_memory_held_bytes {memory.held()}",
        f"invoker_connections {memory.sizes.connections}",
        f"invoker_descriptors {memory.sizes.descriptors}",
    ]


def format_ends(metrics: Metrics) -> list[str]:
    """Return a line for each figure of how client connections ended, and of calls without an answer then."""
    ends = metrics.connection_ends.items()
    owed = metrics.calls_owed.items()
    return [
        *(f'invoker_connection_ends{{reason="{reason}"}} {count}' for reason, count in ends),
        *(f'invoker_calls_owed{{reason="{reason}"}} {count}' for reason, count in owed),
        f"invoker_end_faults {metrics.end_faults}",
    ]


def format_metrics(metrics: Metrics) -> list[str]:
    """Return a line for each metric. Counters begin at the start of the process."""
    lines = []
    for name, counters in metrics.classes.items():
        label = msgspec.json.encode(name).decode()
        for field in fields(ClassMetrics):
            value = getattr(counters, field.name)
            lines.append(
                f"invoker_tries{{kind={label}}} {value}"
                if field.name == "tries"
                else f'invoker_responses{{kind={label},result="{field.name}"}} {value}'
            )
    return lines + [
        f"invoker_{name} {getattr(metrics, name)}"
        for name in ("active", "pool_size", "pool_ejected", "config_applied", "config_rejected")
    ]
