"""The bound on what is remembered of functions: which are forgotten for new ones."""

from __future__ import annotations

from itertools import islice, takewhile

from .interface import Settings
from .state import Function, RoutingState

FUNCTION_BYTES = 2000  # of the record of a function, without its placement order
PLACE_BYTES = 8  # of one worker in the placement order of a function
FORGOTTEN_AT_ONCE = 2  # for one new function, so that a table that has become too large shrinks
LOOKED_AT = 8  # functions that one arrival looks at in search of unused ones
USED_ONCE_SHARE = (
    1 / 4
)  # of the table that functions of a single request may take before others are forgotten
FORGET_KEEP_ALIVES = 8.0  # keep-alives without use until a function is forgotten


def max_functions(settings: Settings, worker_count: int) -> int:
    """Returns how many functions may be remembered within the memory that the settings give them."""
    return max(1, int(settings.function_bytes / function_bytes(worker_count)))


def function_bytes(worker_count: int) -> int:
    """Returns what the record of one function takes."""
    return FUNCTION_BYTES + PLACE_BYTES * worker_count


def table_bytes(state: RoutingState) -> int:
    """Returns what the functions take, with forgotten ones that a scheduled task still holds."""
    return (len(state.functions) + state.stale_tasks) * function_bytes(len(state.workers))


def make_room(state: RoutingState, settings: Settings) -> None:
    """Forgets functions if the table is full: those that one request has named, then those unused longest.

    So a client that calls ever new names displaces its own. Functions with a waiting request, an attempt or
    an order in progress stay; the bounds on open requests and on orders bound them.
    """
    limit = max_functions(settings, len(state.workers))
    if len(state.functions) < limit:
        return
    first = state.used_once if len(state.used_once) >= limit * USED_ONCE_SHARE else state.functions
    forgotten = forget_oldest(state, first)
    if not forgotten:
        forget_oldest(state, state.functions)


def forget_oldest(state: RoutingState, table: dict[str, Function]) -> int:
    """Forgets the first functions of `table` that are not in use, and returns how many.

    Those in use that are met first are put at the end: the next arrival looks at others.
    """
    forgotten = 0
    for name in list(islice(table, LOOKED_AT)):
        if forgotten == FORGOTTEN_AT_ONCE:
            break
        function = table[name]
        if function.in_use():
            table[name] = table.pop(name)
        else:
            state.forget_function(function)
            forgotten += 1
    return forgotten


def forget_unused(state: RoutingState, settings: Settings) -> bool:
    """Forgets the functions long unused with nothing in progress, and returns whether others are left.

    Bounds the memory after calls that are not repeated.
    """
    used_before = state.now - state.total_idle_time - FORGET_KEEP_ALIVES * settings.keep_alive
    for function in list(takewhile(lambda each: each.last_used <= used_before, state.functions.values())):
        if not (function.copies or function.in_use()):
            state.forget_function(function)
    return len(state.functions) > 1
