"""Memory of a process under test, from the system's accounting."""

from __future__ import annotations

import re
from pathlib import Path


def anonymous_memory_mb(pid: int) -> float:
    """Anonymous resident memory of a process, which counts against a router's limit."""
    found = re.search(r"RssAnon:\s+(\d+)", Path(f"/proc/{pid}/status").read_text())
    return int(found[1]) / 1024
