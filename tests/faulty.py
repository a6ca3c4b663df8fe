"""Files that fail: a disk in memory that knows what was synced, and can crash, tear, lose and refuse."""

from __future__ import annotations

import errno
import random


class Crash(Exception):
    """The machine ended in the middle of an operation."""


class Killed(Exception):
    """The process ended; the machine, and what it holds in memory, goes on."""


class Disk:
    """What is on the disk and what is only in the system's memory. `fail` maps the number of an operation to
    what happens there: "crash", "kill", "short", or the number of an error."""

    def __init__(self, seed: int = 0) -> None:
        self.rng = random.Random(seed)
        self.durable: dict[str, bytes] = {}  # by name, as of the last sync of file and folder
        self.volatile: dict[str, bytearray] = {}
        self.synced: dict[str, bytes] = {}  # contents that a sync has brought to the disk, by name
        self.fail: dict[int, str | int] = {}
        self.operations, self.locked = 0, False
        self.failing_sync = False  # all syncs and writes say ENOSPC
        self.full_from: int | None = None  # from that operation on all of them say ENOSPC, until this is None

    def operation(self) -> str | None:
        self.operations += 1
        if self.full_from is not None and self.operations >= self.full_from:
            raise OSError(errno.ENOSPC, "ENOSPC")
        told = self.fail.pop(self.operations, None)
        if told == "crash":
            raise Crash
        if told == "kill":
            raise Killed
        if isinstance(told, int):
            raise OSError(told, errno.errorcode[told])
        return told

    def crash(self) -> None:
        """The machine loses what was not synced, or keeps any part of it, torn and out of order."""
        self.locked = False
        names: dict[str, bytes] = {}
        for name in self.durable.keys() | self.volatile.keys():
            # a name that was made or removed and whose folder was not synced since may be there or not
            here = name in self.volatile if self.rng.random() < 0.5 else name in self.durable
            if here:
                names[name] = self.torn(name)
        self.volatile = {name: bytearray(data) for name, data in names.items()}
        self.durable, self.synced = dict(names), dict(names)

    def torn(self, name: str) -> bytes:
        safe = self.synced.get(name, b"")
        now = bytes(self.volatile.get(name, safe))
        how = self.rng.randrange(4)
        if how == 0 or len(now) <= len(safe):
            return safe
        rest = bytearray(now[len(safe) : len(safe) + self.rng.randrange(len(now) - len(safe) + 1)])
        if how == 2 and rest:  # a later block came to the disk, an earlier one did not
            begin = self.rng.randrange(len(rest))
            for at in range(begin, min(len(rest), begin + 40)):
                rest[at] = 0
        if how == 3:  # the length came to the disk, the data did not
            rest = bytearray(len(rest))
        return safe + bytes(rest)

    # --- the interface of one folder ---

    def lock(self) -> None:
        if self.locked:
            raise BlockingIOError
        self.locked = True

    def unlock(self) -> None:
        self.locked = False

    def names(self) -> list[str]:
        return list(self.volatile)

    def size(self, name: str) -> int:
        return len(self.volatile[name])

    def read(self, name: str, begin: int = 0, size: int = -1) -> bytes:
        data = self.volatile[name]
        return bytes(data[begin:] if size < 0 else data[begin : begin + size])

    def create(self, name: str) -> File:
        self.operation()
        if name in self.volatile:
            raise FileExistsError(name)
        self.volatile[name] = bytearray()
        self.synced.pop(name, None)
        return File(self, name)

    def truncate(self, name: str, size: int) -> None:
        self.operation()
        del self.volatile[name][size:]
        self.synced[name] = bytes(self.volatile[name])

    def rename(self, old: str, new: str) -> None:
        self.operation()
        self.volatile[new] = self.volatile.pop(old)
        self.synced[new] = self.synced.get(old, b"")

    def remove(self, name: str) -> None:
        self.operation()
        del self.volatile[name]

    def sync_names(self) -> None:
        self.operation()
        self.durable = {name: b"" for name in self.volatile}


class File:
    def __init__(self, disk: Disk, name: str) -> None:
        self.disk, self.name = disk, name

    def write(self, data: bytes) -> int:
        if self.disk.failing_sync:
            raise OSError(errno.ENOSPC, "ENOSPC")
        told = self.disk.operation()
        take = len(data) if told != "short" else self.disk.rng.randrange(1, len(data) + 1)
        self.disk.volatile[self.name] += data[:take]
        return take

    def sync(self) -> None:
        if self.disk.failing_sync:
            raise OSError(errno.ENOSPC, "ENOSPC")
        try:
            self.disk.operation()
        except OSError:
            # what a failed sync leaves is anybody's guess; a second one would say yes to nothing
            self.disk.volatile[self.name][:] = self.disk.torn(self.name)
            self.disk.synced[self.name] = bytes(self.disk.volatile[self.name])
            raise
        self.disk.synced[self.name] = bytes(self.disk.volatile[self.name])

    def close(self) -> None:
        pass
