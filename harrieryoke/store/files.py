"""File system access of the store, behind protocols so that tests can inject faults."""

from __future__ import annotations

import fcntl
import os
from typing import Protocol


class WritableFile(Protocol):
    """A file being written. Every method may raise OSError."""

    def write(self, data: bytes) -> int:
        """Returns how many bytes were written, which may be fewer than given."""
        ...

    def sync(self) -> None: ...

    def close(self) -> None: ...


class Directory(Protocol):
    """The directory of one store."""

    def lock(self) -> None:
        """Raises BlockingIOError if another process holds the lock."""
        ...

    def unlock(self) -> None: ...

    def names(self) -> list[str]: ...

    def size(self, name: str) -> int: ...

    def read(self, name: str, offset: int = 0, size: int = -1) -> bytes: ...

    def create(self, name: str) -> WritableFile:
        """Creates a file. Raises FileExistsError."""
        ...

    def truncate(self, name: str, size: int) -> None:
        """Truncates a file to `size` bytes and syncs it."""
        ...

    def rename(self, old: str, new: str) -> None: ...

    def remove(self, name: str) -> None: ...

    def sync_names(self) -> None:
        """Syncs the directory itself: files created, renamed and removed."""
        ...


class DiskFile:
    """A WritableFile on the local file system."""

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


class DiskDirectory:
    """A Directory on the local file system; created if missing."""

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

    def read(self, name: str, offset: int = 0, size: int = -1) -> bytes:
        with open(self.path(name), "rb", buffering=0) as file:
            file.seek(offset)
            return file.read(size)

    def create(self, name: str) -> DiskFile:
        return DiskFile(self.path(name))

    def truncate(self, name: str, size: int) -> None:
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

    def sync_names(self) -> None:
        fd = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)
