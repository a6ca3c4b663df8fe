"""The wall clock of a process of the program, which a test steps while the process runs."""

from __future__ import annotations

import shutil
import struct
import subprocess
import tempfile
from functools import cache
from pathlib import Path

SOURCE = Path(__file__).with_name("clock_shim.c")
NANOS_PER_MS = 1_000_000


class NoCompilerError(RuntimeError):
    """The machine has no C compiler to build the shim with."""


@cache
def build_shim(compiler: str = "cc") -> Path:
    """Compile the shim once for this run of the tests. Raises NoCompilerError, and CalledProcessError where
    the compiler fails."""
    if shutil.which(compiler) is None:
        raise NoCompilerError(f"no C compiler {compiler!r} on PATH: install one (Debian: gcc and libc6-dev)")
    library = Path(tempfile.mkdtemp(prefix="clock-shim-")) / "clock_shim.so"
    command = [compiler, "-O2", "-Wall", "-Werror", "-shared", "-fPIC", "-o", str(library), str(SOURCE)]
    subprocess.run(command, check=True)
    return library


class WallClockShim:
    """The wall clock of the processes that are started with `environment`."""

    def __init__(self, folder: Path) -> None:
        self.file = folder / "wall-clock-step"
        self.ahead_ms = 0.0
        self.step(0.0)

    def environment(self) -> dict[str, str]:
        """Variables for the process, beside its own. Raises NoCompilerError."""
        return {"LD_PRELOAD": str(build_shim()), "FAULTS_CLOCK": str(self.file)}

    def step(self, ms: float) -> None:
        """Set the wall clock by this many milliseconds, ahead or, where negative, back."""
        self.ahead_ms += ms
        data = struct.pack("=q", round(self.ahead_ms * NANOS_PER_MS))
        # written in place: the process has the file mapped
        with open(self.file, "r+b" if self.file.exists() else "wb") as file:
            file.write(data)
