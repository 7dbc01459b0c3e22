"""Runs a command under a wall clock that is stepped: `python -m
tansycrank.testbed.interposer.stepped SEED COMMAND`.

All processes of the command share one wall clock, which is wrong from the start and is stepped by
seconds or an hour, back or forward, once a second in the mean until the command ends. Its exit
status is the command's.
"""

from __future__ import annotations

import os
import random
import subprocess
import sys
import tempfile
from collections.abc import Sequence
from pathlib import Path

from tansycrank.testbed.interposer import WallClock
from tansycrank.testbed.soak.plan import STEPS

BETWEEN = (0.2, 2.0)  # s between two steps


def run(command: Sequence[str], seed: int) -> int:
    """Run the command to its end; its exit status. The steps follow from the seed."""
    rng = random.Random(seed)
    with tempfile.TemporaryDirectory(prefix="tansycrank-stepped-") as folder:
        clock = WallClock(Path(folder), offset=rng.choice(STEPS))
        process = subprocess.Popen(command, env=os.environ | clock.environment)
        steps = 0
        while True:
            try:
                code = process.wait(rng.uniform(*BETWEEN))
                break
            except subprocess.TimeoutExpired:
                clock.step(rng.choice(STEPS))
                steps += 1
        clock.close()
    print(f"wall clock stepped {steps} times, seed {seed}", file=sys.stderr)
    return code


if __name__ == "__main__":
    sys.exit(run(sys.argv[2:], int(sys.argv[1])))
