"""The memory that others can make the process hold: counted by owner, within one limit.

The budget is what the configured memory leaves beyond the bare process. No charge passes it: a holder that
can't charge waits or refuses; nobody is closed for memory. As it fills, these give way in this order
(`Pressure`): clients that hold more than their share are no longer read; the calls of stalled partial lines
are refused; new calls are refused. A part is kept for answers to calls that were taken, and a part for
ordinary requests, whatever else is held. No I/O and no clock.

What is remembered of functions is bounded by a table of its own, which the router shrinks while the memory is
short; its bytes are shown among the others.

The charges are constants, so what the process really takes is measured beside them (`measure_with`): resident
memory and socket buffers beyond the bare process count like charges, whichever is more.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, IntEnum

RESERVE_SHARE = 0.15  # of the budget, for answers and what model hosts and discovery send
FAIR_SHARE = 1 / 8  # of what is free, for one client: many greedy ones leave room for those that hold little
SHARED_SHARE = 0.8  # of the budget without the reserve, for shares; the rest is for those that hold little
MIN_REQUESTS_BYTES = 16 * 1024  # that the open requests of a client may hold under any pressure
MIN_INPUT_BYTES = 6 * 1024  # that a client may have unhandled under any pressure: an ordinary request
LINES_SHARE = 0.65  # of the budget without the reserve, up to which the rest of a long line may be reserved
MIN_FRAME_BYTES = 72 * 1024  # of an ordinary answer of a model host, which is read under any pressure
FRAMES_SHARE = 0.25  # of the budget, above which model hosts are not read
ORDINARY_SHARE = 0.1  # of the budget, for ordinary requests of one owner under any pressure
MIN_LINE_OF_LIST_BYTES = 64 * 1024  # of discovery, that may be read under any pressure
CONNECTIONS_SHARE = 0.6  # of the budget without the reserve
CONNECTION_BYTES = 24 * 1024  # of a client's connection: actor, two greenlets, socket
REFUSED_CONNECTION_BYTES = 12 * 1024  # of one whose calls are refused: greenlet, socket
REQUEST_BYTES = 4 * 1024  # of an open request, without its body
MAX_PLACE_WAIT_MS = 2500.0  # of a new connection for its place, after which its calls are refused
MEASURE_EACH_BYTES = 16 * 1024  # charged, after which the resident memory is read again


class Owner(Enum):
    """What holds memory."""

    CONNECTIONS = "connections"
    INPUT = "input"  # read from clients and not handled
    REQUESTS = "requests"  # open, with their bodies
    FRAMES = "frames"  # read from model hosts and not yet given to a client
    ANSWERS = "answers"  # given to a client's socket and not accepted by it
    LISTS = "lists"  # partial lines of the event bus
    FUNCTIONS = "functions"  # what the router remembers of them; has memory of its own beside the budget


MAY_USE_RESERVE = frozenset({Owner.FRAMES, Owner.ANSWERS, Owner.LISTS})


class Pressure(IntEnum):
    """What gives way; each level includes those before."""

    NONE = 0
    READING = 1
    RELIEVING = 2
    REFUSING = 3


# share of the budget without its reserve from which a level holds, and below which it ends
LEVELS = {Pressure.READING: (0.5, 0.45), Pressure.RELIEVING: (0.7, 0.65), Pressure.REFUSING: (0.9, 0.85)}


@dataclass(slots=True)
class MemorySizes:
    """What was measured last, in bytes, and how much is open."""

    resident: int = 0
    kernel: int = 0  # in the buffers of the sockets
    connections: int = 0
    descriptors: int = 0


def ignore_change(previous: Pressure) -> None:
    """Stands in for the callback where nobody is to be told."""


class MemoryBudget:
    """The account of one process. `total` is in bytes."""

    def __init__(self, total: int) -> None:
        self.used = dict.fromkeys(Owner, 0)
        self.used_total = 0
        self.pressure = Pressure.NONE
        self.on_change: Callable[[Pressure], None] = ignore_change  # gets the level before
        self.sizes = MemorySizes()
        self.read_resident: Callable[[], int] | None = None
        self.base = 0  # bytes of the bare process, which are no use of the budget
        self.charged_since_reading = 0
        self.functions_peak = 0  # bytes; memory that functions took once stays with the process
        self.resize(total)

    def resize(self, total: int) -> None:
        """Change the size of the budget; what is charged already stays."""
        self.total = max(total, 1)
        self.common = int(self.total * (1 - RESERVE_SHARE))

    def measure_with(self, read_resident: Callable[[], int], base: int) -> None:
        """Read the resident memory from now on; `base` bytes of it are the bare process."""
        self.read_resident, self.base = read_resident, base
        self.measure()

    def measure(self) -> None:
        """Read the resident memory, and follow it with the level."""
        self.charged_since_reading = 0
        if self.read_resident is not None:
            self.sizes.resident = self.read_resident()
            self.update_pressure()

    def record_functions(self, size: int, limit: int) -> None:
        """Record what is remembered of functions; up to `limit` bytes that is no use of the budget."""
        self.used[Owner.FUNCTIONS] = size
        self.functions_peak = min(max(self.functions_peak, size), limit)

    def held(self) -> int:
        """Return how much of the budget is in use: what is charged or what is measured, whichever is more."""
        if self.read_resident is None:
            return self.used_total
        measured = self.sizes.resident + self.sizes.kernel - self.base + self.charged_since_reading
        measured -= self.functions_peak
        return max(self.used_total, measured)

    def limit(self, owner: Owner) -> int:
        """Return up to which total the owner may charge."""
        return self.total if owner in MAY_USE_RESERVE else self.common

    def free(self, owner: Owner) -> int:
        """Return how many bytes the owner may charge now."""
        return self.limit(owner) - self.held()

    def free_for_ordinary(self, owner: Owner) -> int:
        """Return how many bytes of ordinary requests the owner may charge now.

        Neither connections nor large requests take all the memory that those need.
        """
        return max(self.free(owner), int(self.total * ORDINARY_SHARE) - self.used[owner])

    def try_charge(self, owner: Owner, size: int) -> bool:
        """Charge so many bytes; return False, and charge nothing, if the budget does not allow it."""
        if size > self.free(owner):
            return False
        self.charge(owner, size)
        return True

    def charge(self, owner: Owner, size: int) -> None:
        """Charge bytes in any case: they are held already, or what was charged before bounds them."""
        self.used[owner] += size
        self.used_total += size
        self.charged_since_reading += size
        if self.charged_since_reading >= MEASURE_EACH_BYTES:
            self.measure()
        self.update_pressure()

    def release(self, owner: Owner, size: int) -> None:
        """Give charged bytes back."""
        assert 0 <= size <= self.used[owner], f"{owner}: {size} of {self.used[owner]} bytes released"
        self.used[owner] -= size
        self.used_total -= size
        self.update_pressure()

    def reserve(self, owner: Owner, size: int) -> Reservation | None:
        """Charge so many bytes for as long as the returned object lives; None if that is not allowed."""
        return Reservation(self, owner, size) if self.try_charge(owner, size) else None

    def reserve_request(self, size: int) -> Reservation | None:
        """Charge an open request of this size; None if that is not allowed."""
        is_ordinary = size <= MIN_REQUESTS_BYTES
        free = self.free_for_ordinary(Owner.REQUESTS) if is_ordinary else self.free(Owner.REQUESTS)
        if size > free:
            return None
        self.charge(Owner.REQUESTS, size)
        return Reservation(self, Owner.REQUESTS, size)

    def reserve_line_of_list(self, size: int) -> Reservation | None:
        """Charge a partial line of discovery; None if it is a long one and there is no memory for it.

        The news of hosts that drain must come through whatever clients do.
        """
        if size > MIN_LINE_OF_LIST_BYTES:
            return self.reserve(Owner.LISTS, size)
        self.charge(Owner.LISTS, size)
        return Reservation(self, Owner.LISTS, size)

    def update_pressure(self) -> None:
        """Follow the use with the level; a level ends a little below where it began."""
        level, share = Pressure.NONE, self.held() / self.common
        for each, (begin, end) in LEVELS.items():
            if share >= (end if self.pressure >= each else begin):
                level = each
        if level is not self.pressure:
            previous, self.pressure = self.pressure, level
            self.on_change(previous)

    def fair_share(self) -> int:
        """Return how much one client may hold; as long as there is no pressure, that is not limited here."""
        if self.pressure is Pressure.NONE:
            return self.total
        return max(0, int((self.common * SHARED_SHARE - self.held()) * FAIR_SHARE))

    def may_hold(self, held: int, size: int) -> bool:
        """Return whether a client whose open requests hold so much may have another one of that size."""
        return held + size <= max(MIN_REQUESTS_BYTES, self.fair_share())

    def may_reserve_line(self, size: int) -> bool:
        """Return whether so much may be reserved for the rest of a line, without having others refused."""
        return self.held() + size <= self.common * LINES_SHARE

    def may_read_frame(self, size: int) -> bool:
        """Return whether an answer that takes so much may be read: one always may, more within a share.

        One of ordinary size may be read without memory: answers of others wait behind it.
        """
        used = self.used[Owner.FRAMES]
        if not used:
            return size <= max(MIN_FRAME_BYTES, self.free(Owner.FRAMES))
        return size <= self.free(Owner.FRAMES) and used + size <= self.total * FRAMES_SHARE

    def max_connections(self) -> int:
        """Return how many client connections the budget allows."""
        return max(1, int(self.common * CONNECTIONS_SHARE) // CONNECTION_BYTES)

    def describe(self) -> str:
        """Return the account in one line, in kB."""
        owners = ", ".join(f"{owner.value} {size // 1024}" for owner, size in self.used.items() if size)
        account = f"{self.used_total // 1024} of {self.total // 1024} kB: {owners or 'nothing'}"
        return f"{account}; {self.describe_sizes()}" if self.read_resident is not None else account

    def describe_sizes(self) -> str:
        """Return what was measured last in one line, in kB."""
        sizes = self.sizes
        return (
            f"resident {sizes.resident // 1024} kB, kernel {sizes.kernel // 1024} kB, "
            f"{sizes.connections} connections, {sizes.descriptors} descriptors"
        )


class Reservation:
    """Charged bytes that are given back with the object that holds them, whichever way that ends."""

    __slots__ = ("budget", "owner", "size")

    def __init__(self, budget: MemoryBudget, owner: Owner, size: int) -> None:
        self.budget, self.owner, self.size = budget, owner, size

    def __del__(self) -> None:
        self.budget.release(self.owner, self.size)


def request_size(body_bytes: int) -> int:
    """Return what an open request takes: its body is held as it came and, while it is written, as a frame."""
    return REQUEST_BYTES + 2 * body_bytes


def answer_size(body_bytes: int) -> int:
    """Return what an answer takes on its way: its body, the body in base64, and the line with it."""
    return 4 * body_bytes
