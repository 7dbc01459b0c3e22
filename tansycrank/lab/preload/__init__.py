"""Fault injection below a real process: shared libraries that are loaded into it before all others."""

from __future__ import annotations

import mmap
import struct
import subprocess
from collections.abc import Mapping
from pathlib import Path

_SOURCES = Path(__file__).parent
_OFFSET = struct.Struct("=q")
_NANOSECONDS = 1_000_000_000


class BuildError(RuntimeError):
    """The C compiler is missing or refused the library."""


def build(name: str, folder: Path) -> Path:
    """Compile `name`.c to a shared library in `folder`, once; returns its path. Raises BuildError."""
    library = folder / f"{name}.so"
    if library.exists():
        return library
    source = _SOURCES / f"{name}.c"
    command = ["cc", "-O2", "-shared", "-fPIC", "-o", str(library), str(source), "-ldl"]
    try:
        subprocess.run(command, check=True, capture_output=True, text=True)
    except OSError as problem:
        raise BuildError(f"no C compiler `cc` for {source.name}: {problem}") from problem
    except subprocess.CalledProcessError as problem:
        raise BuildError(f"{source.name}: {problem.stderr.strip()}") from problem
    return library


class WallClock:
    """The wall clock of the processes that are started with `environment`; their monotonic clock is real."""

    def __init__(self, folder: Path, name: str = "wall-clock", offset: float = 0.0) -> None:
        """`offset` is the seconds by which the clock is wrong from the start of the processes on."""
        self._library = build("wall_clock", folder)
        self._path = folder / f"{name}.offset"
        self._path.write_bytes(_OFFSET.pack(0))
        with self._path.open("r+b") as file:
            self._shared = mmap.mmap(file.fileno(), _OFFSET.size)
        self.offset = 0.0
        self.step(offset)

    @property
    def environment(self) -> Mapping[str, str]:
        """Variables to start a process with."""
        return {"LD_PRELOAD": str(self._library), "WALL_CLOCK_FILE": str(self._path)}

    def step(self, seconds: float) -> None:
        """Set the clock forward, or back where `seconds` is negative, from this moment on."""
        self.offset += seconds
        self._shared[:] = _OFFSET.pack(round(self.offset * _NANOSECONDS))

    def close(self) -> None:
        """Let go of the shared offset; processes keep the last one."""
        self._shared.close()
