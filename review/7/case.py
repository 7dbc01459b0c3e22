"""Case 7: one statement compares a shard key with a number of many digits."""

from __future__ import annotations

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common_2"))

from one_statement import play_statement
from runner import Case, run

USUAL_NUMBER, NUMBER_OUT_OF_RANGE = "7", "1e9999999"


async def play(case: Case) -> None:
    """One client asks for a trip whose number is out of range."""
    number = NUMBER_OUT_OF_RANGE if case.has_trouble else USUAL_NUMBER
    statement = f"SELECT id, note FROM trips WHERE id = {number}"
    await play_statement(case, statement, statement)


run(Path(__file__).resolve().with_name("record.txt"), play)
