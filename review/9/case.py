"""Case 9: one client prepares a statement whose parameter has a high number."""

from __future__ import annotations

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common_2"))

from one_statement import play_beside_usual
from runner import Case, run

USUAL_PARAMETER, HIGH_PARAMETER = "$1", "$70000"


async def play(case: Case) -> None:
    """One client prepares a statement."""
    parameter = HIGH_PARAMETER if case.has_trouble else USUAL_PARAMETER
    statement = f"SELECT id, note FROM trips WHERE note = {parameter}"
    await play_beside_usual(case, lambda client: client.prepare(statement))


run(Path(__file__).resolve().with_name("record.txt"), play)
