"""Fault injection below a real process: shared libraries that are loaded into it before all
others.
"""

from __future__ import annotations

import mmap
import struct
import subprocess
from collections.abc import Mapping
from enum import IntEnum
from pathlib import Path

_SOURCES = Path(__file__).parent
_OFFSET = struct.Struct("=q")
_NANOSECONDS = 1_000_000_000
_MILLION = 1_000_000
_PRELOAD = "LD_PRELOAD"


class BuildError(RuntimeError):
    """The C compiler is missing or refused the library."""


def build(name: str, folder: Path) -> Path:
    """Compile `name`.c to a shared library in `folder`, once; returns its path. Raises
    BuildError.
    """
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


def environment(*faults: WallClock | FailingCalls) -> dict[str, str]:
    """Variables to start a process with, so that all of these faults can be made in it."""
    found: dict[str, str] = {}
    for fault in faults:
        libraries = filter(None, (found.get(_PRELOAD), fault.environment[_PRELOAD]))
        found |= fault.environment
        found[_PRELOAD] = ":".join(libraries)
    return found


class WallClock:
    """The wall clock of the processes that are started with `environment`; their monotonic clock is
    real.
    """

    def __init__(self, folder: Path, name: str = "wall-clock", offset: float = 0.0) -> None:
        """`offset` is the seconds by which the clock is wrong from the start of the processes
        on.
        """
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
        return {_PRELOAD: str(self._library), "WALL_CLOCK_FILE": str(self._path)}

    def step(self, seconds: float) -> None:
        """Set the clock forward, or back where `seconds` is negative, from this moment on."""
        self.offset += seconds
        self._shared[:] = _OFFSET.pack(round(self.offset * _NANOSECONDS))

    def close(self) -> None:
        """Let go of the shared offset; processes keep the last one."""
        self._shared.close()


class CallFailure(IntEnum):
    """Kinds of failing system calls, in the order of `failing_calls.c`."""

    ACCEPT = 0  # ECONNABORTED, EMFILE, ENFILE, ENOBUFS, ENOMEM, EINTR
    SOCKET = 1  # EMFILE, ENFILE, ENOBUFS, ENOMEM
    CONNECT = 2  # EADDRNOTAVAIL, ENETUNREACH, EHOSTUNREACH, EINTR, EAGAIN
    INTERRUPT = 3  # EINTR of recv, send and epoll_wait
    SHORT_READ = 4
    SHORT_WRITE = 5
    NO_BUFFERS = 6  # ENOBUFS of send
    DEAD = 7  # ETIMEDOUT, EHOSTUNREACH on a connection that the process opened
    LOG = 8  # ENOSPC, EIO of writes to standard error


class FailingCalls:
    """System calls that fail in the process that is started with `environment`."""

    _SEED = struct.Struct("=Q")
    _COUNTS = struct.Struct(
        f"={len(CallFailure)}I"
    )  # rates in a million calls, then what was injected

    def __init__(self, folder: Path, name: str = "failing-calls", seed: int = 0) -> None:
        self._library = build("failing_calls", folder)
        self._path = folder / f"{name}.control"
        self._path.write_bytes(self._SEED.pack(seed) + bytes(2 * self._COUNTS.size))
        with self._path.open("r+b") as file:
            self._shared = mmap.mmap(file.fileno(), self._SEED.size + 2 * self._COUNTS.size)

    @property
    def environment(self) -> Mapping[str, str]:
        """Variables to start a process with."""
        return {_PRELOAD: str(self._library), "FAILING_CALLS_FILE": str(self._path)}

    def set(self, rates: Mapping[CallFailure, float]) -> None:
        """From now on so large a share of the calls of each kind fails; of kinds not named,
        none.
        """
        wanted = (round(rates.get(kind, 0.0) * _MILLION) for kind in CallFailure)
        self._COUNTS.pack_into(self._shared, self._SEED.size, *wanted)

    @property
    def injected(self) -> dict[CallFailure, int]:
        """How often each kind has failed since the file was made."""
        found = self._COUNTS.unpack_from(self._shared, self._SEED.size + self._COUNTS.size)
        return dict(zip(CallFailure, found, strict=True))

    def close(self) -> None:
        """Let go of the control; processes keep the last rates."""
        self._shared.close()
