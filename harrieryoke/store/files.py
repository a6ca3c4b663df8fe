"""The one way to the disk. A faulty one stands in for it in the tests."""

from __future__ import annotations

import fcntl
import os
from typing import Protocol


class Handle(Protocol):
    """A file that is being written. Each call may raise OSError."""

    def write(self, data: bytes) -> int:
        """How many bytes were taken, which may be fewer than all."""
        ...

    def sync(self) -> None: ...

    def close(self) -> None: ...


class Files(Protocol):
    """One folder."""

    def lock(self) -> None:
        """Raises BlockingIOError where another process has it."""
        ...

    def unlock(self) -> None: ...

    def names(self) -> list[str]: ...

    def size(self, name: str) -> int: ...

    def read(self, name: str, begin: int = 0, size: int = -1) -> bytes: ...

    def create(self, name: str) -> Handle:
        """A new file. Raises FileExistsError."""
        ...

    def cut(self, name: str, size: int) -> None:
        """Shortens a file and brings all that is left of it to the disk."""
        ...

    def rename(self, old: str, new: str) -> None: ...

    def remove(self, name: str) -> None: ...

    def sync_folder(self) -> None:
        """Brings the names to the disk: files made, renamed and removed."""
        ...


class RealHandle:
    def __init__(self, path: str) -> None:
        self.fd = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, 0o640)

    def write(self, data: bytes) -> int:
        return os.write(self.fd, data)

    def sync(self) -> None:
        os.fdatasync(self.fd)

    def close(self) -> None:
        if self.fd >= 0:
            fd, self.fd = self.fd, -1
            os.close(fd)


class RealFiles:
    def __init__(self, folder: str) -> None:
        self.folder, self.lock_fd = folder, -1
        os.makedirs(folder, mode=0o750, exist_ok=True)

    def path(self, name: str) -> str:
        return os.path.join(self.folder, name)

    def lock(self) -> None:
        fd = os.open(self.path("lock"), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o640)
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(fd)
            raise
        self.lock_fd = fd

    def unlock(self) -> None:
        if self.lock_fd >= 0:
            fd, self.lock_fd = self.lock_fd, -1
            os.close(fd)

    def names(self) -> list[str]:
        return os.listdir(self.folder)

    def size(self, name: str) -> int:
        return os.stat(self.path(name)).st_size

    def read(self, name: str, begin: int = 0, size: int = -1) -> bytes:
        with open(self.path(name), "rb", buffering=0) as file:
            file.seek(begin)
            return file.read(size)

    def create(self, name: str) -> RealHandle:
        return RealHandle(self.path(name))

    def cut(self, name: str, size: int) -> None:
        fd = os.open(self.path(name), os.O_WRONLY | os.O_CLOEXEC)
        try:
            if os.fstat(fd).st_size != size:
                os.ftruncate(fd, size)
            os.fsync(fd)
        finally:
            os.close(fd)

    def rename(self, old: str, new: str) -> None:
        os.rename(self.path(old), self.path(new))

    def remove(self, name: str) -> None:
        os.remove(self.path(name))

    def sync_folder(self) -> None:
        fd = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)
