"""Case 9: one client sends a long sum."""

from __future__ import annotations

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common_2"))

from one_statement import play_statement
from runner import Case, run

TERMS = 130_000  # a statement may have 262,144 characters
USUAL_TERMS = 10


async def play(case: Case) -> None:
    """One client asks for a trip beside a sum of many ones."""
    terms = TERMS if case.has_trouble else USUAL_TERMS
    start, end = "SELECT id, note FROM trips WHERE id = ", "1"
    await play_statement(
        case, f"{start}{'1+' * (terms - 1)}{end}", f"{start}1+1+1... [{terms} terms]"
    )


run(Path(__file__).resolve().parent, play)
