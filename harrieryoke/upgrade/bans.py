"""The file of banned hosts: the ids that operators drained, kept over a restart."""

from __future__ import annotations

import os
import zlib
from pathlib import Path

import msgspec


class BansError(ValueError):
    """The file of bans is damaged; the message says how."""


class BanFile:
    """The ids in a checksummed file, replaced atomically by a rename."""

    def __init__(self, path: Path) -> None:
        self.path = path

    def read(self) -> list[str]:
        """Return the banned ids, none without a file. Raises BansError for a file that can't be read."""
        try:
            checksum, _, body = self.path.read_bytes().partition(b"\n")
        except FileNotFoundError:
            return []
        except OSError as error:
            raise BansError(str(error)) from None
        try:
            if int(checksum) != zlib.crc32(body):
                raise BansError("its checksum is wrong")
            return msgspec.json.decode(body, type=list[str])
        except ValueError as error:
            raise BansError(str(error)) from None

    def write(self, ids: list[str]) -> None:
        """Replace the file. Raises OSError if it can't be written; the old file stays."""
        body = msgspec.json.encode(sorted(ids))
        temporary = self.path.with_name(f"{self.path.name}.{os.getpid()}")
        try:
            temporary.write_bytes(b"%d\n" % zlib.crc32(body) + body)
            os.replace(temporary, self.path)
        except OSError:
            temporary.unlink(missing_ok=True)
            raise
