"""Fault injection for files: an in-memory disk that knows what was synced, and can crash, tear, lose and
refuse writes."""

from __future__ import annotations

import errno
import random


class Crash(Exception):
    """The machine crashed in the middle of an operation."""


class Killed(Exception):
    """The process was killed; the machine and its page cache live on."""


class Disk:
    """A directory on a disk and its contents in the page cache. `fail` maps the number of an operation to its
    fault: "crash", "kill", "short", or an errno."""

    def __init__(self, seed: int = 0) -> None:
        self.rng = random.Random(seed)
        self.durable: dict[str, bytes] = {}  # by name, as of the last sync of file and directory
        self.volatile: dict[str, bytearray] = {}
        self.synced: dict[str, bytes] = {}  # contents that a sync has written, by name
        self.fail: dict[int, str | int] = {}
        self.operations, self.locked = 0, False
        self.failing_sync = False  # all syncs and writes fail with ENOSPC
        self.full_from: int | None = None  # from this operation on all fail with ENOSPC, until this is None

    def operation(self) -> str | None:
        self.operations += 1
        if self.full_from is not None and self.operations >= self.full_from:
            raise OSError(errno.ENOSPC, "ENOSPC")
        fault = self.fail.pop(self.operations, None)
        if fault == "crash":
            raise Crash
        if fault == "kill":
            raise Killed
        if isinstance(fault, int):
            raise OSError(fault, errno.errorcode[fault])
        return fault

    def crash(self) -> None:
        """Loses what was not synced, or keeps any part of it, torn and out of order."""
        self.locked = False
        names: dict[str, bytes] = {}
        for name in self.durable.keys() | self.volatile.keys():
            # A name created or removed since the last sync of the directory may exist or not.
            exists = name in self.volatile if self.rng.random() < 0.5 else name in self.durable
            if exists:
                names[name] = self.torn(name)
        self.volatile = {name: bytearray(data) for name, data in names.items()}
        self.durable, self.synced = dict(names), dict(names)

    def torn(self, name: str) -> bytes:
        synced = self.synced.get(name, b"")
        current = bytes(self.volatile.get(name, synced))
        outcome = self.rng.randrange(4)
        if outcome == 0 or len(current) <= len(synced):
            return synced
        rest = bytearray(
            current[len(synced) : len(synced) + self.rng.randrange(len(current) - len(synced) + 1)]
        )
        if outcome == 2 and rest:  # a later block was written, an earlier one was not
            begin = self.rng.randrange(len(rest))
            for position in range(begin, min(len(rest), begin + 40)):
                rest[position] = 0
        if outcome == 3:  # the length was written, the data was not
            rest = bytearray(len(rest))
        return synced + bytes(rest)

    # --- the store's Directory protocol ---

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
        fault = self.disk.operation()
        taken = len(data) if fault != "short" else self.disk.rng.randrange(1, len(data) + 1)
        self.disk.volatile[self.name] += data[:taken]
        return taken

    def sync(self) -> None:
        if self.disk.failing_sync:
            raise OSError(errno.ENOSPC, "ENOSPC")
        try:
            self.disk.operation()
        except OSError:
            # After a failed sync the contents are undefined, and a second sync would succeed without writing.
            self.disk.volatile[self.name][:] = self.disk.torn(self.name)
            self.disk.synced[self.name] = bytes(self.disk.volatile[self.name])
            raise
        self.disk.synced[self.name] = bytes(self.disk.volatile[self.name])

    def close(self) -> None:
        pass
