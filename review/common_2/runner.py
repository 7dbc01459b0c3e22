"""Runs a case: its record, its processes, its limit of time and its exit status."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import sys
import tempfile
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from record import Record

ROOT = Path(__file__).resolve().parents[2]
PYTHON = str(ROOT / ".venv" / "bin" / "python")
RUN_SECONDS = 110.0  # a case may run for 120 s
START_SECONDS = 30.0
END_SECONDS = 1.0  # for the end of a killed process
EXIT_HELD, EXIT_BROKEN, EXIT_COULD_NOT_RUN = 0, 1, 2


class Case:
    """One run of a case; `has_trouble` is false with TROUBLE=0 in the environment."""

    def __init__(self, record: Path, work: Path) -> None:
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.work = work  # a temporary folder
        self.record = Record(record)
        self.breaks: list[str] = []
        self._processes: list[asyncio.subprocess.Process] = []
        self._tasks: list[asyncio.Task] = []

    def broken(self, text: str) -> None:
        """Note a break of the rule."""
        self.breaks.append(text)
        self.record.note(f"BROKEN {text}")

    def background(self, work: Awaitable[None]) -> asyncio.Task:
        """Run something beside the case until the case ends."""
        task = asyncio.ensure_future(work)
        self._tasks.append(task)
        return task

    async def start(
        self, name: str, *command: str, environ: dict[str, str] | None = None
    ) -> asyncio.subprocess.Process:
        """Start a program from the root of the checkout; its log goes to the temporary folder."""
        with (self.work / f"{name}.log").open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                *command,
                cwd=ROOT,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=asyncio.subprocess.PIPE,
                stderr=log,
                env={**os.environ, **(environ or {})},
            )
        self._processes.append(process)
        self.record.note(f"started {name}, process {process.pid}")
        return process

    def log_of(self, name: str) -> str:
        """The end of the log of a program."""
        return (self.work / f"{name}.log").read_text(encoding="utf-8", errors="replace")[-3000:]

    async def close(self) -> None:
        """End all tasks and processes of the case."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for process in self._processes:
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes:  # a pipe that nobody reads must not hold the case up
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(process.wait(), END_SECONDS)
        await asyncio.sleep(0)  # connections that were closed are let go


async def _play(record: Path, play: Callable[[Case], Awaitable[None]]) -> int:
    with tempfile.TemporaryDirectory(prefix="tansycrank-review-") as work:
        case = Case(record, Path(work))
        try:
            await asyncio.wait_for(play(case), RUN_SECONDS)
            status = EXIT_BROKEN if case.breaks else EXIT_HELD
        except Exception:
            case.record.note(f"could not run: {traceback.format_exc()}")
            traceback.print_exc()
            status = EXIT_COULD_NOT_RUN
        finally:
            await case.close()
        words = {EXIT_HELD: "held", EXIT_BROKEN: "broken", EXIT_COULD_NOT_RUN: "could not run"}
        case.record.note(f"the rule: {words[status]}")
        case.record.close()
        print(f"{record.parent.name}: {words[status]}", *case.breaks, sep="\n  ")
        return status


def run(record: Path, play: Callable[[Case], Awaitable[None]]) -> None:
    """Run a case with its record in this file, and exit with its status."""
    sys.exit(asyncio.run(_play(record, play)))
