"""Random clients, nodes, discovery updates and signals on the simulated clock.

Checks which answers and frames the router still owes or may no longer send after each event.
"""

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
AFTER_END = 0.1  # s after the end of its query within which a frame may still be sent
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


class SentQuery:
    """A query, the shard requests of it that reached nodes, and its answer."""

    def __init__(self, id, cls, shards, sent, deadline):
        self.id, self.cls, self.shards, self.sent, self.deadline = id, cls, shards, sent, deadline
        self.left_at = self.answered_at = self.status = None  # times
        self.attempts = defaultdict(list)  # by shard: [time, state, peer, shard]
        self.values = defaultdict(set)

    def executed_attempts(self, shard):
        return [one for one in self.attempts[shard] if one[1] != "busy"]


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
        self.answered_watches = [self.live.discovery[0]]
        self.queries, self.clients, self.peers = {}, [], []
        self.draining_since = {}  # by node: time at which discovery said that it drains
        self.version, self.query_count, self.gone, self.stopping = 5, 0, set(), False
        self.check_output()

    @property
    def now(self):
        return self.live.reactor.seconds()

    # --- checks ---------------------------------------------------------------------

    def check_output(self):
        """Check all bytes written since the last call against what has ended by now."""
        self.live.run(0)
        for peer in self.live.nodes:
            # Frames that the kernel has not taken; whether the node refused the connection.
            peer.unsent_frames, peer.refused = [], False
            self.peers.append(peer)
        self.live.nodes = []
        for peer in self.peers:
            if peer.transport is not None:
                for id, shard, wait, _ in peer.take_shard_requests():
                    self.check_frame_started(peer, id.rpartition(".")[0], shard, wait)
                if not peer.transport.stuck:
                    self.record_frames_sent(peer)
                elif peer.transport.over:
                    peer.unsent_frames = []  # what the kernel had not taken when the router closed
        for client in self.clients:
            self.check_answers(client)

    def check_frame_started(self, peer, id, shard, wait):
        query = self.queries[id]
        host = int(peer.host.rpartition(".")[2])
        assert query.left_at is None, f"{id} was sent after its client had left"
        assert query.answered_at is None, f"{id} was sent after its answer"
        assert wait >= 1 and self.now <= query.sent + query.deadline + 0.01
        if host in self.draining_since:
            assert self.now <= self.draining_since[host] + GRACE, f"node {host} is draining"
        peer.unsent_frames.append((query, shard))

    def record_frames_sent(self, peer):
        """Record that the frames to this peer were sent: their shard requests may have run."""
        host = int(peer.host.rpartition(".")[2])
        for query, shard in peer.unsent_frames:
            assert self.now <= self.draining_since.get(host, self.now) + GRACE, (
                f"node {host} had drained"
            )
            assert self.now <= (query.left_at or self.now) + AFTER_END, (
                f"{query.id}: client had left"
            )
            assert self.now <= (query.answered_at or self.now) + AFTER_END, f"{query.id}: answered"
            ran = query.executed_attempts(shard)
            if CLASSES[query.cls] == "non_idempotent":
                assert not ran, f"{query.id} may take effect twice"
            if CLASSES[query.cls] == "idempotency_key" and ran:
                assert self.now <= ran[0][0] + WINDOW, f"{query.id} was retried after its window"
            attempt = [self.now, "out", peer, shard]
            query.attempts[shard].append(attempt)
            peer.awaiting_reply.append((query, attempt))
        peer.unsent_frames = []

    def check_answers(self, client):
        _protocol, transport, requests = client
        written = transport.take()
        while written:
            found = ANSWER.match(written)
            status, length = int(found[1]), int(found[2])
            body, written = (
                written[found.end() : found.end() + length],
                written[found.end() + length :],
            )
            query = next((query for query in requests if query.answered_at is None), None)
            assert query is not None, "an answer without a request"
            query.answered_at, query.status = self.now, status
            assert self.now <= query.sent + query.deadline + 0.5
            ran = any(query.executed_attempts(shard) for shard in query.shards)
            if status == 200:
                hits = json.loads(body)
                assert hits["complete"] and {hit["shard"] for hit in hits["hits"]} == set(
                    query.shards
                )
                assert all(hit["doc"] in query.values[hit["shard"]] for hit in hits["hits"])
            elif CLASSES[query.cls] != "read_like":
                assert status == 504 or not ran, f"{query.id} was rejected but may have run"
        if transport.over:
            lost = [
                query.id
                for query in requests
                if query.answered_at is None and query.left_at is None
            ]
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
    def send_query(self, cls, shards, deadline, new, left, cut):
        usable = [
            one
            for one in self.clients
            if not one[1].over and not any(query.answered_at is None for query in one[2])
        ]
        if self.stopping and not usable:
            return
        client = usable[-1] if (usable and not new) or self.stopping else (*self.live.client(), [])
        self.clients += [client] if client not in self.clients else []
        self.query_count += 1
        query = SentQuery(f"q{self.query_count}", cls, sorted(shards), self.now, deadline / 1000)
        self.queries[query.id] = query
        more = "Idempotency-Key: 69df97975326601f\r\n" if cls == "move" else ""
        data = post(
            query.id, f"/{cls}", [(s, 1 / len(shards)) for s in query.shards], deadline, None, more
        )
        client[0].dataReceived(data[:cut])
        if cut < len(data):
            client[0].dataReceived(data[cut:])
        client[2].append(query)
        if left:
            self.disconnect(client)
        self.check_output()

    def disconnect(self, client):
        for query in client[2]:
            if query.answered_at is None:
                query.left_at = self.now
        client[1].end()

    @precondition(lambda self: any(not one[1].over for one in self.clients))
    @rule(index=st.integers(0, 99))
    def disconnect_client(self, index):
        standing = [one for one in self.clients if not one[1].over]
        self.disconnect(standing[index % len(standing)])
        self.check_output()

    # --- nodes ---------------------------------------------------------------------

    def pick_peer(self, index, fit):
        found = [peer for peer in self.peers if fit(peer)]
        return found[index % len(found)] if found else None

    @rule(index=st.integers(0, 99), up=st.booleans())
    def connect(self, index, up):
        if peer := self.pick_peer(index, lambda peer: peer.transport is None and not peer.refused):
            peer.awaiting_reply = []
            if not up:
                peer.refused = True
                peer.refuse()
            else:
                peer.accept()
            self.check_output()

    @rule()
    def connect_all(self):
        for _ in range(NODES):
            self.connect(0, True)

    @rule(
        index=st.integers(0, 99),
        end=st.sampled_from(["ok", "ok", "ok", "err", "busy", "spoilt", "half"]),
    )
    def reply(self, index, end):
        peer = self.pick_peer(
            index, lambda peer: peer.transport and not peer.transport.over and peer.awaiting_reply
        )
        if peer is None:
            return
        query, attempt = peer.awaiting_reply.pop(index % len(peer.awaiting_reply))
        shard, value = attempt[3], f"{query.id}/{attempt[3]}"
        complete = answer(f"{query.id}.{shard}", end if end in ("err", "busy") else "ok", value)
        if end == "busy":
            attempt[1] = "busy"
        if end in ("ok", "half"):
            query.values[shard].add(value)
        sent = {"half": complete[:-3], "spoilt": frame(b"A", b"\x91\x07\xfe")}.get(end, complete)
        # A node that sent part of a frame sends the rest of it before anything else.
        rest, peer.rest = getattr(peer, "rest", b""), complete[-3:] if end == "half" else b""
        peer.send(rest + sent)
        self.check_output()

    @rule()
    def answer_all(self):
        self.connect_all()
        for _ in range(20):
            self.reply(0, "ok")

    @rule(index=st.integers(0, 99))
    def reset(self, index):
        if peer := self.pick_peer(index, lambda peer: peer.transport and not peer.transport.over):
            peer.unsent_frames = []  # what was not sent is lost
            peer.transport.end()
            self.check_output()

    @rule(index=st.integers(0, 99))
    def toggle_stuck_socket(self, index):
        if peer := self.pick_peer(index, lambda peer: peer.transport and not peer.transport.over):
            peer.transport.stuck = not peer.transport.stuck
            if not peer.transport.stuck:
                self.flush(peer)
            self.check_output()

    def flush(self, peer):
        """The kernel takes what this peer's socket holds, unless the router revokes it."""
        if peer.protocol.may_write():
            peer.protocol.on_bytes_written()
            self.record_frames_sent(peer)
        else:
            peer.unsent_frames = []
        peer.protocol.resumeProducing()

    @rule(index=st.integers(0, 99))
    def flush_part_of_frame(self, index):
        """The kernel takes a part of the frame that a full socket holds."""
        if peer := self.pick_peer(
            index, lambda peer: peer.transport and self.has_unsent_frames(peer)
        ):
            if peer.protocol.may_write():
                peer.protocol.on_bytes_written()
            else:
                peer.unsent_frames = []
                peer.protocol.resumeProducing()
            self.check_output()

    @rule(index=st.integers(0, 99), by_node=st.booleans())
    def flush_and_end_connection(self, index, by_node):
        """A frame is sent just before its connection ends, by a reset or by the router."""
        if peer := self.pick_peer(
            index, lambda peer: peer.transport and self.has_unsent_frames(peer)
        ):
            self.flush(peer)
            if by_node:
                peer.transport.end()
            else:
                peer.protocol.close()
            self.check_output()

    @staticmethod
    def has_unsent_frames(peer):
        return peer.transport.stuck and not peer.transport.over and peer.unsent_frames

    @rule(steps=st.sampled_from([1, 10]))
    def fill_sockets(self, steps):
        """All sockets are full for a while: frames written then wait in them."""
        for peer in self.peers:
            if peer.transport is not None and not peer.transport.over:
                peer.transport.stuck = True
        self.wait(steps)

    # --- discovery, signals, time --------------------------------------------------

    @rule(
        node=st.integers(1, NODES),
        state=st.sampled_from(["terminating", "terminated", "in_service"]),
    )
    def update_by_discovery(self, node, state):
        watch = self.live.discovery[-1]
        if watch.factory.protocol.ended:  # the router has closed it and reads nothing from it
            return
        if watch.transport is None:
            watch.accept()
        if watch.transport.over:
            return
        self.version += 1
        if watch not in self.answered_watches:
            watch.send(CHUNKED_RESPONSE_HEAD)
            self.answered_watches.append(watch)
        watch.send(endpoint_list_chunk(self.version, entry(node, state)))
        if state == "in_service":
            self.draining_since.pop(node, None)
        else:
            self.draining_since.setdefault(node, self.now)
        self.check_output()

    @rule(
        index=st.integers(0, 99),
        state=st.sampled_from(["terminating", "terminated"]),
        up=st.booleans(),
        shard=st.integers(0, 8),
    )
    def drain_under_a_send(self, index, state, up, shard):
        """A node drains while its connection is being set up or a frame waits in its socket."""
        if up:
            self.fill_sockets(1)
        self.send_query("look", {shard}, 1900, True, False, 0)
        for peer in self.peers:
            if up and peer.transport is None and not peer.refused:
                peer.awaiting_reply = []
                peer.accept(stuck=True)
        self.check_output()

        def waits(peer):
            return peer.unsent_frames if up else peer.transport is None and not peer.refused

        if peer := self.pick_peer(index, waits):
            self.update_by_discovery(int(peer.host.rpartition(".")[2]), state)
            self.wait(round(GRACE / 0.005) + 5)
            if up and not peer.transport.over:
                peer.transport.stuck = False
                self.flush(peer)
            elif not up:
                peer.awaiting_reply = []
                peer.accept()
            self.check_output()

    @rule(index=st.integers(0, 99))
    def retry_late(self, index):
        """A connection with requests in flight is lost; the next one is established later."""
        if peer := self.pick_peer(
            index, lambda peer: peer.transport and not peer.transport.over and peer.awaiting_reply
        ):
            self.wait(10)
            peer.unsent_frames = []
            peer.transport.end()
            self.check_output()
            self.wait(10)
            self.connect_all()

    @rule(index=st.integers(0, 99), shard=st.integers(0, 8), cls=st.sampled_from(sorted(CLASSES)))
    def retry_behind_full_sockets(self, index, shard, cls):
        """A connection is lost during a request; retries wait in sockets past their window."""
        self.send_query(cls, {shard}, 1900, True, False, 0)
        self.connect_all()
        if peer := self.pick_peer(
            index, lambda peer: peer.transport and not peer.transport.over and peer.awaiting_reply
        ):
            others = [one for one in self.peers if one is not peer and self.is_up(one)]
            for one in others:
                one.transport.stuck = True
            peer.unsent_frames = []
            peer.transport.end()
            self.check_output()
            for one in self.peers:
                if one.transport is None and not one.refused:
                    one.awaiting_reply = []
                    one.accept(stuck=True)
                    others.append(one)
            self.check_output()
            self.wait(round(WINDOW / 0.005) + 10)
            for one in filter(self.is_up, others):
                one.transport.stuck = False
                self.flush(one)
                self.check_output()

    @staticmethod
    def is_up(peer):
        return peer.transport is not None and not peer.transport.over

    @rule()
    def watch_is_reset(self):
        watch = self.live.discovery[-1]
        if watch.transport is not None:
            watch.transport.end()
        self.check_output()

    @rule(steps=st.sampled_from([1, 3, 10, 30]))
    def wait(self, steps):
        for _ in range(steps):
            self.live.run(0.005)
            self.check_output()

    @precondition(lambda self: not self.stopping)
    @rule(skip=st.integers(0, 5))
    def sigterm(self, skip):
        if not skip:
            self.stopping = True
            self.live.daemon.terminate()
            self.check_output()

    def teardown(self):
        for peer in self.peers:
            if peer.transport and peer.transport.stuck and not peer.transport.over:
                peer.transport.stuck = False
                self.flush(peer)
        for _ in range(200):
            self.live.run(0.005)
            self.check_output()
        owed = [
            query.id
            for query in self.queries.values()
            if query.answered_at is None and query.left_at is None
        ]
        assert not owed, f"{owed} were not answered"
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
        router_prefixes = "ConnectionPool.", "OutgoingCall.", "NodeConnection.", "ClientConnection."
        assert not {name for name in left if name.startswith(router_prefixes)}


limits.register_profile(
    "endings",
    parent=limits.get_profile("deterministic"),
    max_examples=300,
    stateful_step_count=50,
    phases=(Phase.generate,),
)
TestEndings = Endings.TestCase
TestEndings.settings = limits.get_profile("endings")
