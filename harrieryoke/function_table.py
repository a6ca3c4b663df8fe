"""The bound on what is remembered of functions: which are forgotten for new ones."""

from __future__ import annotations

from .interface import Settings
from .state import RoutingState

FUNCTION_BYTES = 1500  # of the record of a function, without its placement order
PLACE_BYTES = 8  # of one worker in the placement order of a function
FORGOTTEN_SHARE = 1 / 8  # of the table; forgetting many at once keeps the cost of an arrival low


def max_functions(settings: Settings, worker_count: int) -> int:
    """Returns how many functions may be remembered within the memory that the settings give them."""
    return max(1, int(settings.function_bytes / (FUNCTION_BYTES + PLACE_BYTES * worker_count)))


def make_room(state: RoutingState, settings: Settings) -> None:
    """Forgets the functions that were unused longest, if the table is full.

    Those with a waiting request, an attempt or an order in progress stay; the bounds on open requests and on
    orders bound them.
    """
    limit = max_functions(settings, len(state.workers))
    if len(state.functions) < limit:
        return
    unused = [function for function in state.functions.values() if not function.in_use()]
    unused.sort(key=lambda function: function.last_used)
    for function in unused[: max(1, int(limit * FORGOTTEN_SHARE))]:
        state.forget_function(function)
