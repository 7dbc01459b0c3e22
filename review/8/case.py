"""Case 8: one client sends two statements in one message, with many spaces between them."""

from __future__ import annotations

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common_2"))

from one_statement import play_statement
from runner import Case, run

SPACES = 250_000  # a statement may have 262,144 characters
FIRST, SECOND = "SELECT id, note FROM trips WHERE id = 1", "SELECT id, note FROM trips WHERE id = 2"


async def play(case: Case) -> None:
    """One client asks for two trips in one message."""
    spaces = SPACES if case.has_trouble else 1
    await play_statement(
        case, f"{FIRST}{' ' * spaces};{SECOND}", f"{FIRST} [{spaces} spaces];{SECOND}"
    )


run(Path(__file__).resolve().with_name("record.txt"), play)
