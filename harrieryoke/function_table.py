"""The bound on what is remembered of functions: which are forgotten for new ones."""

from __future__ import annotations

from itertools import islice, takewhile

from .interface import Settings
from .state import Function, RoutingState

FUNCTION_BYTES = 2000  # of the record of a function, without its placement order
MAX_FUNCTIONS = 20_000  # at any size of the memory: garbage collections of more records delay calls
PLACE_BYTES = 8  # of one worker in the placement order of a function
FORGOTTEN_AT_ONCE = 2  # for one new function, so that a table that has become too large shrinks
LOOKED_AT = 8  # further functions that are looked at in search of unused ones
USED_ONCE_SHARE = 1 / 4  # of the table, which functions of a single request may take before others go
SHORT_MEMORY_SHARE = 1 / 2  # of the table that is kept while the memory is short
FORGOTTEN_IN_ROUND = 64  # while the table is larger than that
FORGET_KEEP_ALIVES = 8.0  # keep-alives without use until a function is forgotten


def max_functions(settings: Settings, worker_count: int) -> int:
    """Returns how many functions may be remembered within the memory that the settings give them."""
    fitting = int(settings.function_bytes / function_bytes(worker_count))
    return min(max(1, fitting), MAX_FUNCTIONS)


def function_bytes(worker_count: int) -> int:
    """Returns what the record of one function takes."""
    return FUNCTION_BYTES + PLACE_BYTES * worker_count


def table_bytes(state: RoutingState) -> int:
    """Returns what the functions take, with forgotten ones that a scheduled task still holds."""
    return (len(state.functions) + state.stale_tasks) * function_bytes(len(state.workers))


def make_room(state: RoutingState, settings: Settings, source: str) -> None:
    """Forgets functions if the table is full, for one more that a request of `source` names.

    A source with more than its share of the table displaces its own. Otherwise those go that one request has
    named, then those unused longest. Functions with a waiting request, an attempt or an order in progress
    stay; the bounds on open requests and on orders bound them.
    """
    limit = allowed_functions(state, settings)
    if len(state.functions) >= limit:
        forget_cheapest(state, limit, FORGOTTEN_AT_ONCE, source)


def shrink(state: RoutingState, settings: Settings) -> None:
    """Forgets a part of the functions beyond the limit, as `make_room` does; for each round of events."""
    limit = allowed_functions(state, settings)
    if (excess := len(state.functions) - limit) > 0:
        largest = max(state.by_source, key=lambda source: len(state.by_source[source]))
        forget_cheapest(state, limit, min(excess, FORGOTTEN_IN_ROUND), largest)


def allowed_functions(state: RoutingState, settings: Settings) -> int:
    """Returns how many functions may be remembered now."""
    limit = max_functions(settings, len(state.workers))
    return max(1, int(limit * SHORT_MEMORY_SHARE)) if state.memory_is_short else limit


def forget_cheapest(state: RoutingState, limit: int, count: int, source: str) -> None:
    """Forgets so many functions at most: first of `source`, if it has more than its share.

    Then those of a single request, while these have more than theirs.
    """
    of_source, sources = state.by_source.get(source, {}), len(state.by_source)
    if sources > 1 and len(of_source) > limit / sources and forget_oldest(state, of_source, count):
        return
    many_used_once = len(state.used_once) >= limit * USED_ONCE_SHARE
    if not (many_used_once and forget_oldest(state, state.used_once, count)):
        forget_oldest(state, state.functions, count)


def forget_oldest(state: RoutingState, table: dict[str, Function], count: int) -> int:
    """Forgets so many of the first functions of `table` that are not in use, and returns how many it were.

    Those in use that are met first are put at the end: the next call looks at others.
    """
    forgotten = 0
    for name in list(islice(table, count + LOOKED_AT)):
        if forgotten == count:
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
