"""Hostile clients at a router of a soak, its part of a core beside them, and its memory."""

from __future__ import annotations

import signal
import subprocess
import sys
import threading
import time
from collections.abc import Iterable

import msgspec

from tansycrank.testbed.neighbours.hostile import HostileSpec
from tansycrank.testbed.soak.parties import ROOT, STARTS_WITHIN, RouterProcess
from tansycrank.testbed.soak.plan import HOSTILE_KINDS, Fault, Plan

MEMORY_INTERVAL = 0.02  # s between readings of the routers' memory
THROTTLE_PERIOD = 0.1  # s in which a router with a part of a core is stopped once
STARTS_IN_A_SECOND = 10  # faults that may begin in a second, each with a seed of its own
SEEDS_OF_A_RUN = 1000


def play_hostile_clients(plan: Plan, fault: Fault, router: RouterProcess) -> None:
    """Play the kind that the fault names, while the router has its part of a core."""
    kind = HOSTILE_KINDS[int(fault.value)]
    seed = plan.seed * SEEDS_OF_A_RUN + int(fault.at * STARTS_IN_A_SECOND)
    spec = msgspec.json.encode(HostileSpec(kind, router.port, fault.duration, seed)).decode()
    command = [sys.executable, "-m", "tansycrank.testbed.neighbours.hostile", spec]
    process = subprocess.Popen(command, cwd=ROOT, stderr=subprocess.DEVNULL)
    stopped = THROTTLE_PERIOD * (1 - plan.limits.cores)
    try:
        while stopped and process.poll() is None:
            time.sleep(THROTTLE_PERIOD - stopped)
            router.signal(signal.SIGSTOP)
            time.sleep(stopped)
            router.signal(signal.SIGCONT)
        process.wait(fault.duration + STARTS_WITHIN)
    finally:
        process.kill()
        process.wait()


def watch_memory(
    plan: Plan, routers: Iterable[RouterProcess], problems: list[str], over: threading.Event
) -> None:
    """Note the routers that exceed their memory limit, once each, until the run is over."""
    exceeding: set[int] = set()
    while not over.wait(MEMORY_INTERVAL):
        for router in routers:
            if router.exceeds_memory() and router.number not in exceeding:
                exceeding.add(router.number)
                limit = plan.limits.memory_mb
                problems.append(
                    f"router {router.number} took {router.peak_memory:.0f} MB of {limit}"
                )
