"""Clients, nodes, discovery and signals at random on the driven clock: what each end still owes."""

import json
import re
from collections import defaultdict

from hypothesis import Phase
from hypothesis import settings as limits
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule
from live import OPERATOR_SETTINGS, RouterHarness, answer, config, entry, frame, post
from test_discovery import CHUNKED_RESPONSE_HEAD, endpoint_list_chunk

WINDOW, GRACE, NODES = 0.25, 0.1, 4  # s, s
AFTER_END = 0.1  # s after the end of its query in which a frame may still leave
CLASSES = {"look": "read_like", "book": "non_idempotent", "move": "idempotency_key"}
SERVICES = [
    {
        "aim": 1000.0,
        "effect": effect,
        "giveUp": 2000.0,
        "lateWorth": 0.5,
        "name": name,
        "points": 1.0,
        "window": WINDOW * 1000,
    }
    for name, effect in CLASSES.items()
]
FAMILY = OPERATOR_SETTINGS["familyInfo"] | {
    key: [value] * 3
    for key, value in (("followUp", 0), ("minShare", 1.0), ("shortWorth", 0.0), ("wholeAt", 1.0))
}
SETTINGS = OPERATOR_SETTINGS | {
    "services": SERVICES,
    "familyInfo": FAMILY,
    "caps": OPERATOR_SETTINGS["caps"] | {"openCap": 1000},
    "rules": OPERATOR_SETTINGS["rules"] | {"stopSendingWithin": GRACE * 1000},
}
ANSWER = re.compile(
    rb"HTTP/1\.1 (\d+) [^\r]*\r\n(?:[^\r]+\r\n)*?Content-Length: (\d+)\r\n(?:[^\r]+\r\n)*\r\n"
)


class Asked:
    """One request, what reached nodes of it, and how it was answered."""

    def __init__(self, id, cls, shards, sent, deadline):
        self.id, self.cls, self.shards, self.sent, self.deadline = id, cls, shards, sent, deadline
        self.left = self.answered = self.status = None  # times
        self.tries = defaultdict(list)  # by shard: [time, what is known of it]
        self.values = defaultdict(set)

    def ran(self, shard):
        return [one for one in self.tries[shard] if one[1] != "busy"]


class Endings(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.live = RouterHarness(
            config(
                settings=SETTINGS,
                servers=range(1, NODES + 1),
                limits={"sockets": 256, "memory_mb": 64},
            )
        )
        self.live.discovery[0].accept().send(CHUNKED_RESPONSE_HEAD + endpoint_list_chunk(5))
        self.spoke = [self.live.discovery[0]]
        self.asked, self.clients, self.peers = {}, [], []
        self.told = {}  # by node: when it was told to go
        self.version, self.numbers, self.gone, self.stopping = 5, 0, set(), False
        self.look()

    @property
    def now(self):
        return self.live.reactor.seconds()

    # --- what is seen --------------------------------------------------------------

    def look(self):
        """Sort what was written, and check it against what had ended by now."""
        self.live.run(0)
        for peer in self.live.nodes:
            peer.held, peer.over = [], False  # what its system has not taken; whether it refused
            self.peers.append(peer)
        self.live.nodes = []
        for peer in self.peers:
            if peer.transport is not None:
                for id, shard, wait, _ in peer.take_shard_requests():
                    self.begun(peer, id.rpartition(".")[0], shard, wait)
                if not peer.transport.stuck:
                    self.gone_out(peer)
                elif peer.transport.over:
                    peer.held = []  # what the system had not taken when this side closed
        for client in self.clients:
            self.read(client)

    def begun(self, peer, id, shard, wait):
        query = self.asked[id]
        host = int(peer.host.rpartition(".")[2])
        assert query.left is None, f"{id} was sent on after its client had left"
        assert query.answered is None, f"{id} was sent on after its answer"
        assert wait >= 1 and self.now <= query.sent + query.deadline + 0.01
        if host in self.told:
            assert self.now <= self.told[host] + GRACE, f"node {host} was told to go"
        peer.held.append((query, shard))

    def gone_out(self, peer):
        """The frames of this peer have left: what they carry may have run."""
        host = int(peer.host.rpartition(".")[2])
        for query, shard in peer.held:
            assert self.now <= self.told.get(host, self.now) + GRACE, f"node {host} had drained"
            assert self.now <= (query.left or self.now) + AFTER_END, f"{query.id}: client had left"
            assert self.now <= (query.answered or self.now) + AFTER_END, f"{query.id}: answered"
            ran = query.ran(shard)
            if CLASSES[query.cls] == "non_idempotent":
                assert not ran, f"{query.id} may take effect twice"
            if CLASSES[query.cls] == "idempotency_key" and ran:
                assert self.now <= ran[0][0] + WINDOW, f"{query.id} was repeated after its window"
            attempt = [self.now, "out", peer, shard]
            query.tries[shard].append(attempt)
            peer.out.append((query, attempt))
        peer.held = []

    def read(self, client):
        _protocol, transport, requests = client
        written = transport.take()
        while written:
            found = ANSWER.match(written)
            status, length = int(found[1]), int(found[2])
            body, written = (
                written[found.end() : found.end() + length],
                written[found.end() + length :],
            )
            query = next((query for query in requests if query.answered is None), None)
            assert query is not None, "an answer that nothing asked for"
            query.answered, query.status = self.now, status
            assert self.now <= query.sent + query.deadline + 0.5
            ran = any(query.ran(shard) for shard in query.shards)
            if status == 200:
                hits = json.loads(body)
                assert hits["complete"] and {hit["shard"] for hit in hits["hits"]} == set(
                    query.shards
                )
                assert all(hit["doc"] in query.values[hit["shard"]] for hit in hits["hits"])
            elif CLASSES[query.cls] != "read_like":
                assert status == 504 or not ran, f"{query.id} was refused, and may have run"
        if transport.over:
            lost = [query.id for query in requests if query.answered is None and query.left is None]
            assert not lost, f"{lost}: their connection ended without an answer"

    # --- clients -------------------------------------------------------------------

    @rule(
        cls=st.sampled_from(sorted(CLASSES)),
        shards=st.sets(st.integers(0, 8), min_size=1, max_size=3),
        deadline=st.sampled_from([60, 300, 900, 1900]),
        new=st.booleans(),
        left=st.booleans(),
        cut=st.integers(0, 400),
    )
    def ask(self, cls, shards, deadline, new, left, cut):
        usable = [
            one
            for one in self.clients
            if not one[1].over and not any(query.answered is None for query in one[2])
        ]
        if self.stopping and not usable:
            return
        client = usable[-1] if (usable and not new) or self.stopping else (*self.live.client(), [])
        self.clients += [client] if client not in self.clients else []
        self.numbers += 1
        query = Asked(f"q{self.numbers}", cls, sorted(shards), self.now, deadline / 1000)
        self.asked[query.id] = query
        more = "Idempotency-Key: 69df97975326601f\r\n" if cls == "move" else ""
        data = post(
            query.id, f"/{cls}", [(s, 1 / len(shards)) for s in query.shards], deadline, None, more
        )
        client[0].dataReceived(data[:cut])
        if cut < len(data):
            client[0].dataReceived(data[cut:])
        client[2].append(query)
        if left:
            self.end_client(client)
        self.look()

    def end_client(self, client):
        for query in client[2]:
            if query.answered is None:
                query.left = self.now
        client[1].end()

    @precondition(lambda self: any(not one[1].over for one in self.clients))
    @rule(at=st.integers(0, 99))
    def leave(self, at):
        standing = [one for one in self.clients if not one[1].over]
        self.end_client(standing[at % len(standing)])
        self.look()

    # --- nodes ---------------------------------------------------------------------

    def pick(self, at, fit):
        found = [peer for peer in self.peers if fit(peer)]
        return found[at % len(found)] if found else None

    @rule(at=st.integers(0, 99), up=st.booleans())
    def connect(self, at, up):
        if peer := self.pick(at, lambda peer: peer.transport is None and not peer.over):
            peer.out = []
            if not up:
                peer.over = True
                peer.refuse()
            else:
                peer.accept()
            self.look()

    @rule()
    def connect_all(self):
        for _ in range(NODES):
            self.connect(0, True)

    @rule(
        at=st.integers(0, 99),
        end=st.sampled_from(["ok", "ok", "ok", "err", "busy", "spoilt", "half"]),
    )
    def reply(self, at, end):
        peer = self.pick(at, lambda peer: peer.transport and not peer.transport.over and peer.out)
        if peer is None:
            return
        query, attempt = peer.out.pop(at % len(peer.out))
        shard, value = attempt[3], f"{query.id}/{attempt[3]}"
        complete = answer(f"{query.id}.{shard}", end if end in ("err", "busy") else "ok", value)
        if end == "busy":
            attempt[1] = "busy"
        if end in ("ok", "half"):
            query.values[shard].add(value)
        sent = {"half": complete[:-3], "spoilt": frame(b"A", b"\x91\x07\xfe")}.get(end, complete)
        # A node that left a frame half goes on with the rest of it before it says anything else.
        rest, peer.rest = getattr(peer, "rest", b""), complete[-3:] if end == "half" else b""
        peer.send(rest + sent)
        self.look()

    @rule()
    def serve_all(self):
        self.connect_all()
        for _ in range(20):
            self.reply(0, "ok")

    @rule(at=st.integers(0, 99))
    def reset(self, at):
        if peer := self.pick(at, lambda peer: peer.transport and not peer.transport.over):
            peer.held = []  # what had not left never will
            peer.transport.end()
            self.look()

    @rule(at=st.integers(0, 99))
    def hang_or_wake(self, at):
        if peer := self.pick(at, lambda peer: peer.transport and not peer.transport.over):
            peer.transport.stuck = not peer.transport.stuck
            if not peer.transport.stuck:
                self.let_leave(peer)
            self.look()

    def let_leave(self, peer):
        """The system takes what this peer's socket holds, unless the router takes it back."""
        if peer.protocol.may_write():
            peer.protocol.on_bytes_written()
            self.gone_out(peer)
        else:
            peer.held = []
        peer.protocol.resumeProducing()

    @rule(at=st.integers(0, 99))
    def half_leaves(self, at):
        """The system takes a part of the frame that a full socket holds."""
        if peer := self.pick(at, lambda peer: peer.transport and self.is_held(peer)):
            if peer.protocol.may_write():
                peer.protocol.on_bytes_written()
            else:
                peer.held = []
                peer.protocol.resumeProducing()
            self.look()

    @rule(at=st.integers(0, 99), by_node=st.booleans())
    def leaves_and_ends(self, at, by_node):
        """A frame leaves in the instant before its connection ends, by a reset or by the router."""
        if peer := self.pick(at, lambda peer: peer.transport and self.is_held(peer)):
            self.let_leave(peer)
            if by_node:
                peer.transport.end()
            else:
                peer.protocol.close()
            self.look()

    @staticmethod
    def is_held(peer):
        return peer.transport.stuck and not peer.transport.over and peer.held

    @rule(steps=st.sampled_from([1, 10]))
    def fill_sockets(self, steps):
        """All sockets are full for a while: what is sent then waits in them."""
        for peer in self.peers:
            if peer.transport is not None and not peer.transport.over:
                peer.transport.stuck = True
        self.wait(steps)

    # --- discovery, signals, time --------------------------------------------------

    @rule(
        node=st.integers(1, NODES),
        state=st.sampled_from(["terminating", "terminated", "in_service"]),
    )
    def told_by_discovery(self, node, state):
        watch = self.live.discovery[-1]
        if watch.factory.protocol.ended:  # the router has closed it: what is written is not heard
            return
        if watch.transport is None:
            watch.accept()
        if watch.transport.over:
            return
        self.version += 1
        if watch not in self.spoke:
            watch.send(CHUNKED_RESPONSE_HEAD)
            self.spoke.append(watch)
        watch.send(endpoint_list_chunk(self.version, entry(node, state)))
        if state == "in_service":
            self.told.pop(node, None)
        else:
            self.told.setdefault(node, self.now)
        self.look()

    @rule(
        at=st.integers(0, 99),
        state=st.sampled_from(["terminating", "terminated"]),
        up=st.booleans(),
        shard=st.integers(0, 8),
    )
    def drain_under_a_send(self, at, state, up, shard):
        """A node is told to go while its connection comes up, or a frame waits in its socket."""
        if up:
            self.fill_sockets(1)
        self.ask("look", {shard}, 1900, True, False, 0)
        for peer in self.peers:
            if up and peer.transport is None and not peer.over:
                peer.out = []
                peer.accept(stuck=True)
        self.look()

        def waits(peer):
            return peer.held if up else peer.transport is None and not peer.over

        if peer := self.pick(at, waits):
            self.told_by_discovery(int(peer.host.rpartition(".")[2]), state)
            self.wait(round(GRACE / 0.005) + 5)
            if up and not peer.transport.over:
                peer.transport.stuck = False
                self.let_leave(peer)
            elif not up:
                peer.out = []
                peer.accept()
            self.look()

    @rule(at=st.integers(0, 99))
    def repeat_late(self, at):
        """A connection breaks under what it has, and the next one comes up after a while."""
        if peer := self.pick(
            at, lambda peer: peer.transport and not peer.transport.over and peer.out
        ):
            self.wait(10)
            peer.held = []
            peer.transport.end()
            self.look()
            self.wait(10)
            self.connect_all()

    @rule(at=st.integers(0, 99), shard=st.integers(0, 8), cls=st.sampled_from(sorted(CLASSES)))
    def repeat_behind_full_sockets(self, at, shard, cls):
        """A connection breaks under a request, and repeats wait in sockets past their window."""
        self.ask(cls, {shard}, 1900, True, False, 0)
        self.connect_all()
        if peer := self.pick(
            at, lambda peer: peer.transport and not peer.transport.over and peer.out
        ):
            others = [one for one in self.peers if one is not peer and self.is_up(one)]
            for one in others:
                one.transport.stuck = True
            peer.held = []
            peer.transport.end()
            self.look()
            for one in self.peers:
                if one.transport is None and not one.over:
                    one.out = []
                    one.accept(stuck=True)
                    others.append(one)
            self.look()
            self.wait(round(WINDOW / 0.005) + 10)
            for one in filter(self.is_up, others):
                one.transport.stuck = False
                self.let_leave(one)
                self.look()

    @staticmethod
    def is_up(peer):
        return peer.transport is not None and not peer.transport.over

    @rule()
    def watch_is_reset(self):
        watch = self.live.discovery[-1]
        if watch.transport is not None:
            watch.transport.end()
        self.look()

    @rule(steps=st.sampled_from([1, 3, 10, 30]))
    def wait(self, steps):
        for _ in range(steps):
            self.live.run(0.005)
            self.look()

    @precondition(lambda self: not self.stopping)
    @rule(yes=st.integers(0, 5))
    def sigterm(self, yes):
        if not yes:
            self.stopping = True
            self.live.daemon.terminate()
            self.look()

    def teardown(self):
        for peer in self.peers:
            if peer.transport and peer.transport.stuck and not peer.transport.over:
                peer.transport.stuck = False
                self.let_leave(peer)
        for _ in range(200):
            self.live.run(0.005)
            self.look()
        owed = [
            query.id
            for query in self.asked.values()
            if query.answered is None and query.left is None
        ]
        assert not owed, f"{owed} were never answered"
        daemon = self.live.daemon
        coordinator, router = daemon.coordinator, daemon.coordinator.loop.policy
        assert (
            not coordinator.queries
            and not coordinator._shard_requests
            and not coordinator._queries_by_id
        )
        assert coordinator.in_flight == 0 and not daemon.server.delayed_admission
        assert not coordinator.lifecycle.violated and not coordinator.lifecycle._open
        if not daemon.stopped:
            assert sum(coordinator.outcomes.values()) == coordinator.counts["sends"]
            assert (
                not router.queries.by_id
                and not router.queries.shard_requests
                and not router.queries.attempts_in_flight
            )
            assert not any(
                link.sent_calls or link.calls_in_transmission or link.unsent_cancels
                for link in daemon.pool.connections
                if link.is_established
            )
        assert len(daemon.pool.connections) <= daemon.settings.max_node_connections
        left = {
            getattr(call.func, "__qualname__", "") for call in self.live.reactor.getDelayedCalls()
        }
        ours = "ConnectionPool.", "OutgoingCall.", "NodeConnection.", "ClientConnection."
        assert not {name for name in left if name.startswith(ours)}


limits.register_profile(
    "endings",
    parent=limits.get_profile("deterministic"),
    max_examples=300,
    stateful_step_count=50,
    phases=(Phase.generate,),
)
TestEndings = Endings.TestCase
TestEndings.settings = limits.get_profile("endings")
