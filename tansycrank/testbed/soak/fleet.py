"""Starts the processes of a soak, carries out its faults, and hands over what was recorded."""

from __future__ import annotations

import json
import signal
import subprocess
import threading
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path

from tansycrank import clock
from tansycrank.testbed.ports import ReservedPort
from tansycrank.testbed.soak import records
from tansycrank.testbed.soak.clients import ClientsSpec
from tansycrank.testbed.soak.discovery import DiscoverySpec
from tansycrank.testbed.soak.node import FELL
from tansycrank.testbed.soak.oracle import Evidence
from tansycrank.testbed.soak.parties import (
    STARTS_WITHIN,
    ControlLine,
    NodeProcess,
    RouterProcess,
    start_module,
)
from tansycrank.testbed.soak.plan import (
    Fault,
    FaultKind,
    Plan,
    SignalSeries,
)
from tansycrank.testbed.soak.pressure import play_hostile_clients, watch_memory
from tansycrank.testbed.soak.records import ClientRecord, FaultRecord, HalfRequest, NodeEvent, Told

NO_NEW_CONNECTIONS = 0.3  # s after SIGTERM from which on clients make none to that router
KILL_AFTER = 0.7  # s, on top of the longest deadline, from SIGTERM to SIGKILL: no sooner
BETWEEN_SIGNALS = 0.05  # s in a series
RELOADS = 4  # in a series
TOLD_AFTER = 0.3  # s until discovery knows that a node died
SETTLE = 1.0  # s after the last request, for what nodes still have to note


class Fleet:
    """All processes of one run; `close` ends them."""

    def __init__(self, plan: Plan, folder: Path, bug: str = "") -> None:
        """`bug` names one of `seeded_bugs`, which the routers shall have."""
        self.plan, self.folder = plan, folder
        self.program = (
            ("tansycrank.testbed.soak.seeded_bugs", bug) if bug else ("tansycrank", "run")
        )
        self.began = 0.0
        self.version = 1
        self.entries: dict[str, dict] = {}
        self.changes: list[tuple[float, str, str]] = []
        self.lives: list[Told] = []
        self.faults: list[FaultRecord] = []
        self.problems: list[str] = []  # what no oracle sees: a router that died, or did not end
        self.changing = threading.Lock()
        self.discovery_busy = threading.Lock()
        self.discovery: subprocess.Popen | None = None
        self.discovery_line: ControlLine | None = None
        self._reserved = [ReservedPort() for _ in range(2 * plan.routers + 1)]
        numbers = [port.number for port in self._reserved]
        self.discovery_ports = [numbers[2 * n : 2 * n + 2] for n in range(plan.routers)]
        self.discovery_control = numbers[-1]
        self.nodes = [NodeProcess(self, number) for number in range(plan.nodes)]
        self.routers: list[RouterProcess] = []
        self.clients: list[subprocess.Popen] = []
        self.client_lines: list[ControlLine] = []

    # --- start and end ----------------------------------------------------------------

    def start(self) -> None:
        """Start everything; clients last."""
        self._together([lambda node=node: node.start(cold=False) for node in self.nodes])
        self.entries = {node.name: node.entry("in_service") for node in self.nodes}
        self.start_discovery()
        self.routers = [RouterProcess(self, number) for number in range(self.plan.routers)]
        self._together([router.start for router in self.routers])
        for number in range(self.plan.client_processes):
            spec = ClientsSpec(
                f"c{number}",
                str(self.folder),
                self.plan.seed * 10 + number,
                self.plan.clients,
                [router.port for router in self.routers],
                self.plan.give_up,
            )
            process, told = start_module("clients", spec)
            self.clients.append(process)
            self.client_lines.append(ControlLine(told["control"]))
        self.began = time.monotonic()

    def start_discovery(self) -> None:
        """Start discovery, or start it again on its ports, with the list as it is."""
        spec = DiscoverySpec(
            str(self.folder / "discovery.jsonl"),
            self.version,
            list(self.entries.values()),
            self.discovery_ports,
            self.discovery_control,
        )
        self.discovery, told = start_module("discovery", spec)
        self.discovery_ports, self.discovery_control = told["ports"], told["control"]
        self.discovery_line = ControlLine(self.discovery_control)

    @staticmethod
    def _together(actions: list[Callable[[], None]]) -> None:
        failed: list[Exception] = []

        def run(action: Callable[[], None]) -> None:
            try:
                action()
            except Exception as problem:
                failed.append(problem)

        threads = [threading.Thread(target=run, args=(action,)) for action in actions]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        if failed:
            raise failed[0]

    def play(self) -> Evidence:
        """Carry out the plan's faults, each in a thread of its own; then all that was recorded."""
        over = threading.Event()
        memory = self.plan, self.routers, self.problems, over
        threads = [threading.Thread(target=watch_memory, args=memory)]
        threads[0].start()
        for fault in self.plan.faults:
            time.sleep(max(self.began + fault.at - time.monotonic(), 0.0))
            thread = threading.Thread(target=self._carry_out, args=(fault,))
            thread.start()
            threads.append(thread)
        time.sleep(max(self.began + self.plan.seconds - time.monotonic(), 0.0))
        over.set()
        for thread in threads:
            thread.join()
        for line in self.client_lines:
            line.order(stop=True)
        for number, process in enumerate(self.clients):
            if code := process.wait(timeout=STARTS_WITHIN):
                self.problems.append(f"the clients of process {number} died with code {code}")
        time.sleep(SETTLE)
        self._find_the_dead()
        evidence = self.evidence()
        if not evidence.asked:
            self.problems.append("no request was recorded: nothing was judged")
        return evidence

    def _find_the_dead(self) -> None:
        """A party that ended by itself: a router's fault, or a witness that is missing."""
        parties = {f"router {router.number}": router.process for router in self.routers}
        parties |= {f"data node {node.name}": node.process for node in self.nodes}
        parties["discovery"] = self.discovery
        for name, process in parties.items():
            if (code := process.poll()) not in (None, FELL):  # a node that fell has noted it
                self.problems.append(f"{name} died with code {code}")

    def evidence(self) -> Evidence:
        """All records."""
        asked, halves, events = [], [], []
        for number in range(self.plan.client_processes):
            asked += records.read(self.folder / f"c{number}.jsonl", ClientRecord)
            halves += records.read(self.folder / f"c{number}-halves.jsonl", HalfRequest)
        for node in self.nodes:
            events += records.read(node.journal, NodeEvent)
        told = records.read(self.folder / "discovery.jsonl", Told)
        return Evidence(
            self.plan, asked, halves, events, told, self.changes, self.lives, self.faults
        )

    def router_logs(self) -> list[dict]:
        """The events of all routers' logs."""
        found = []
        for router in self.routers:
            for line in router.log.read_text().splitlines():
                _, brace, rest = line.partition("{")
                if brace:
                    found.append({"router": router.number, **json.loads(brace + rest)})
        return found

    def failed_calls(self) -> Counter[str]:
        """How many system calls of the routers were made to fail, by kind."""
        total: Counter[str] = Counter()
        for router in self.routers:
            total.update(
                {kind.name.lower(): n for kind, n in router.failing_calls.injected.items()}
            )
        return total

    def close(self) -> None:
        """End all processes that this fleet started."""
        processes = [node.process for node in self.nodes] + [
            router.process for router in self.routers
        ]
        for process in filter(None, [*processes, *self.clients, self.discovery]):
            if process.poll() is None:
                process.kill()
            process.wait()
            if process.stdout is not None:
                process.stdout.close()
        lines = [node.line for node in self.nodes] + self.client_lines + [self.discovery_line]
        for line in filter(None, lines):
            line.close()
        for reserved in (*self._reserved, *(node.reserved for node in self.nodes)):
            reserved.release()
        for router in self.routers:
            router.wall_clock.close()
            router.failing_calls.close()
            router.reserved.release()

    # --- faults -----------------------------------------------------------------------

    def _carry_out(self, fault: Fault) -> None:
        at = clock.monotonic_ms()
        target = str(fault.target)
        try:
            if fault.kind.name.startswith("NODE_"):
                target = self.nodes[fault.target].name
                done = self._node_fault(fault, self.nodes[fault.target])
            elif fault.kind.name.startswith("ROUTER_"):
                done = self._router_fault(fault, self.routers[fault.target])
            else:
                done = self._other_fault(fault)
        except Exception as problem:
            self.problems.append(f"{fault.kind.value}, {target}: {problem!r}")
            return
        if done:
            until = clock.monotonic_ms()
            self.faults.append(FaultRecord(at, fault.kind.name, target, until, fault.value))

    def tell(self, node: NodeProcess, state: str) -> None:
        """Discovery learns this of a node."""
        with self.changing:
            self.version += 1
            entry = node.entry(state)
            if state == "terminated":
                self.entries.pop(node.name, None)
            else:
                self.entries[node.name] = entry
            self.changes.append((clock.monotonic_ms(), node.name, state))
            self.discovery_line.order(version=self.version, entry=entry)

    def _node_fault(self, fault: Fault, node: NodeProcess) -> bool:
        """Carry out a fault of a node; False where another one has its process just now."""
        if not node.busy.acquire(blocking=False):
            return False
        try:
            match fault.kind:
                case FaultKind.NODE_HANG:
                    node.process.send_signal(signal.SIGSTOP)
                    time.sleep(fault.duration)
                    node.process.send_signal(signal.SIGCONT)
                case FaultKind.NODE_CRASH:
                    self._replace(node, fault.duration)
                case FaultKind.NODE_DRAIN:
                    self.tell(node, "terminating")
                    time.sleep(fault.duration)
                    self._replace(node, fault.duration)
                case FaultKind.NODE_RESET:
                    node.line.order(reset=True)
                case _:
                    self._trouble(fault, node)
        finally:
            node.busy.release()
        return True

    def _replace(self, node: NodeProcess, away: float) -> None:
        """A node dies, discovery learns of it, and it is back cold."""
        node.process.kill()
        node.process.wait()
        node.process.stdout.close()
        node.line.close()
        time.sleep(TOLD_AFTER)
        self.tell(node, "terminated")
        time.sleep(away)
        node.start(cold=True)
        self.tell(node, "in_service")

    def _trouble(self, fault: Fault, node: NodeProcess) -> None:
        name = fault.kind.name.removeprefix("NODE_").lower()
        usual = 1.0 if name == "slow" else 0.0
        node.line.order(**{name: fault.value})
        time.sleep(fault.duration)
        node.line.order(**{name: usual})

    def _router_fault(self, fault: Fault, router: RouterProcess) -> bool:
        """Carry out a fault of a router; False where another one has its process just now."""
        if fault.kind is FaultKind.ROUTER_CALLS:
            return self._calls_fail(fault, router)
        if not router.busy.acquire(blocking=False):
            return False
        try:
            if fault.kind in (FaultKind.ROUTER_PAUSE, FaultKind.ROUTER_STOP):
                router.signal(signal.SIGSTOP)
                time.sleep(fault.duration)
                router.signal(signal.SIGCONT)
            elif fault.kind is FaultKind.ROUTER_RESTART:
                self._restart(router)
            elif fault.kind is FaultKind.ROUTER_SIGNALS:
                self._signals(fault, router)
            else:
                router.process.kill()
                router.process.wait()
                router.start()
        finally:
            router.busy.release()
        return True

    @staticmethod
    def _calls_fail(fault: Fault, router: RouterProcess) -> bool:
        """Some kinds of a router's system calls fail for a while, whatever else happens to it
        meanwhile.
        """
        if not router.calls_busy.acquire(blocking=False):
            return False
        try:
            router.failing_calls.set(dict.fromkeys(fault.calls, fault.value))
            time.sleep(fault.duration)
            router.failing_calls.set({})
        finally:
            router.calls_busy.release()
        return True

    def _signals(self, fault: Fault, router: RouterProcess) -> None:
        match SignalSeries(int(fault.value)):
            case SignalSeries.TERMINATE_WHILE_RELOADING:
                self._reload(router)
                self._restart(router)
            case SignalSeries.RELOAD_WHILE_LEAVING:
                self._restart(router, signal.SIGHUP)
            case SignalSeries.TERMINATE_TWICE:
                self._restart(router, signal.SIGTERM)
            case SignalSeries.RELOAD_OFTEN:
                for _ in range(RELOADS):
                    self._reload(router)
                    time.sleep(BETWEEN_SIGNALS)
            case SignalSeries.TERMINATE_BEFORE_READY:
                self._restart(router, early=fault.duration)

    @staticmethod
    def _reload(router: RouterProcess) -> None:
        router.discovery_at = 1 - router.discovery_at
        router.write_config()
        router.signal(signal.SIGHUP)

    def _restart(self, router: RouterProcess, *further: int, early: float | None = None) -> None:
        """End a router with SIGTERM and these signals behind it, and start it again.

        `early`: s after which the new process gets SIGTERM too, perhaps before it is ready.
        """
        kill_within = self.plan.give_up / 1000 + KILL_AFTER
        self._order_clients(leaving=router.number, leaves=True, kill_within=kill_within)
        self._terminate(router, *further)
        if early is not None:
            router.launch()
            time.sleep(early)
            self._terminate(router)
        router.start()
        self._order_clients(leaving=router.number, leaves=False)
        self._accepts(router, True)

    def _terminate(self, router: RouterProcess, *further: int) -> None:
        """SIGTERM, these signals behind it, and SIGKILL when it is due."""
        kill_at = time.monotonic() + self.plan.give_up / 1000 + KILL_AFTER
        router.signal(signal.SIGTERM)
        for number in further:
            time.sleep(BETWEEN_SIGNALS)
            router.signal(number)
        time.sleep(NO_NEW_CONNECTIONS - BETWEEN_SIGNALS * len(further))
        self._accepts(router, False)
        try:
            router.process.wait(kill_at - time.monotonic())
        except subprocess.TimeoutExpired:
            if not router.has_completed_shutdown():
                self.problems.append(f"router {router.number} was not done when SIGKILL was due")
            router.process.kill()
            router.process.wait()

    def _accepts(self, router: RouterProcess, accepts: bool) -> None:
        self._order_clients(router=router.number, accepts=accepts)

    def _order_clients(self, **order: object) -> None:
        for line in self.client_lines:
            line.order(**order)

    def _other_fault(self, fault: Fault) -> bool:
        match fault.kind:
            case FaultKind.WALL_CLOCK:
                self.routers[fault.target].wall_clock.step(fault.value)
            case FaultKind.RECONFIGURE:
                self._reconfigure(int(fault.value))
            case FaultKind.WATCH_RESET:
                self.discovery_line.order(reset=True)
            case FaultKind.BURST:
                self._burst(fault)
            case FaultKind.HOSTILE:
                play_hostile_clients(self.plan, fault, self.routers[fault.target])
            case FaultKind.CROWD:
                self._order_clients(crowd=fault.target, stays=True)
                time.sleep(fault.duration)
                self._order_clients(crowd=fault.target, stays=False)
            case FaultKind.DISCOVERY_CROWDED:
                self.discovery_line.order(crowded=True)
                time.sleep(fault.duration)
                self.discovery_line.order(crowded=False)
            case _:
                return self._discovery_fault(fault)
        return True

    def _burst(self, fault: Fault) -> None:
        for line in self.client_lines:
            line.order(burst=True)
        time.sleep(fault.duration)
        for line in self.client_lines:
            line.order(burst=False)

    def _reconfigure(self, times: int) -> None:
        """New configurations in quick succession, for all routers; each moves discovery."""
        for _ in range(times):
            for router in self.routers:
                if router.busy.acquire(blocking=False):
                    router.discovery_at = 1 - router.discovery_at
                    router.write_config()
                    router.signal(signal.SIGHUP)
                    router.busy.release()
            time.sleep(0.2)

    def _discovery_fault(self, fault: Fault) -> bool:
        if not self.discovery_busy.acquire(blocking=False):
            return False
        try:
            if fault.kind is FaultKind.DISCOVERY_HANG:
                self.discovery.send_signal(signal.SIGSTOP)
                time.sleep(fault.duration)
                self.discovery.send_signal(signal.SIGCONT)
                return True
            self.discovery.kill()
            self.discovery.wait()
            self.discovery.stdout.close()
            time.sleep(fault.duration)
            with self.changing:  # what changes meanwhile is in the list that it begins with
                self.discovery_line.close()
                self.start_discovery()
        finally:
            self.discovery_busy.release()
        return True
