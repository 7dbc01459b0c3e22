"""The record of a case: what was sent, answered and run, one line an event."""

from __future__ import annotations

import time
from pathlib import Path


class Record:
    """Writes the record to a file; each line begins with the seconds so far."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began = time.monotonic()

    @property
    def seconds(self) -> float:
        """Seconds since the record was opened."""
        return time.monotonic() - self._began

    def note(self, text: str) -> None:
        """Add a line."""
        self._file.write(f"{self.seconds:8.3f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()
