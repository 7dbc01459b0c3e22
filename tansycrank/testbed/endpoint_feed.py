"""A stand-in roster: `python -m tansycrank.testbed.endpoint_feed SPEC`. It tells what it was told,
late on purpose.

Feed: JSON a line, as `roster.view.FeedLine`. Control line: {"set": {node...}, "delay_ms": n}
(true or false), {"silent": bool}, {"restart": true} (a new epoch that knows the list again),
{"raw": text, "times": n} (text as it is, so often, to all that watch).
"""

from __future__ import annotations

import sys

import msgspec
from twisted.protocols.basic import LineOnlyReceiver

from tansycrank.discovery.endpoint_view import FeedLine, NodeLine
from tansycrank.testbed.process import listen, reactor, serve

BEAT = 1.0  # seconds
KEPT = 1000  # changes a watcher may catch up on


class Roster:
    """The list, its version, its watchers."""

    def __init__(self, nodes: list[NodeLine]) -> None:
        self.nodes = {n.id: n for n in nodes}
        self.version, self.epoch, self.silent = 1, 1, False
        self.changes: list[tuple[int, NodeLine]] = []
        self.watchers: set[Feed] = set()
        reactor.callLater(BEAT, self.beat)

    def beat(self) -> None:
        """Tell watchers that nothing changed."""
        reactor.callLater(BEAT, self.beat)
        self.tell(FeedLine("beat", self.version, self.epoch))

    def tell(self, line: FeedLine) -> None:
        """One line to all watchers."""
        if not self.silent:
            data = msgspec.json.encode(line)
            for feed in list(self.watchers):
                feed.sendLine(data)

    def change(self, node: NodeLine) -> None:
        """A change is known from now on."""
        if node.status == "gone":
            self.nodes.pop(node.id, None)
        else:
            self.nodes[node.id] = node
        self.version += 1
        self.changes = [*self.changes, (self.version, node)][-KEPT:]
        self.tell(FeedLine("changes", self.version, self.epoch, (node,)))

    def whole(self) -> FeedLine:
        """The whole list."""
        return FeedLine("full", self.version, self.epoch, tuple(self.nodes.values()))


class Feed(LineOnlyReceiver):
    """A router's connection."""

    delimiter = b"\n"

    def __init__(self, roster: Roster) -> None:
        self.roster = roster

    def lineReceived(self, line: bytes) -> None:
        """Handle one line from the peer."""
        order, roster = msgspec.json.decode(line), self.roster
        if roster.silent:
            return
        if order["op"] == "watch":
            roster.watchers.add(self)
            missed = [(v, n) for v, n in roster.changes if v > order["version"]]
            follows = (missed and missed[0][0] == order["version"] + 1) or order[
                "version"
            ] == roster.version
            if order["epoch"] == roster.epoch and follows:
                for version, node in missed:
                    self.sendLine(
                        msgspec.json.encode(FeedLine("changes", version, roster.epoch, (node,)))
                    )
                if not missed:
                    self.sendLine(
                        msgspec.json.encode(FeedLine("beat", roster.version, roster.epoch))
                    )
                return
        self.sendLine(msgspec.json.encode(roster.whole()))

    def connectionLost(self, reason=None) -> None:
        """Release what belongs to the connection."""
        self.roster.watchers.discard(self)


class Control(LineOnlyReceiver):
    """Orders of the laboratory."""

    delimiter = b"\n"

    def __init__(self, roster: Roster) -> None:
        self.roster = roster

    def lineReceived(self, line: bytes) -> None:
        """Handle one line from the peer."""
        order, roster = msgspec.json.decode(line), self.roster
        if "set" in order:
            node = msgspec.convert(order["set"], NodeLine)
            reactor.callLater(order.get("delay_ms", 0) / 1000, roster.change, node)
        elif "silent" in order:
            roster.silent = order["silent"]
        elif "restart" in order:
            roster.epoch, roster.version, roster.changes = roster.epoch + 1, 1, []
            for feed in list(roster.watchers):
                feed.transport.abortConnection()
        elif "raw" in order:
            for feed in roster.watchers:
                feed.transport.write(order["raw"].encode() * order["times"])
        self.sendLine(b'{"ok":true}')


def main() -> None:
    """Start the roster."""
    roster = Roster(msgspec.json.decode(sys.argv[1], type=list[NodeLine]))
    serve(port=listen(0, lambda: Feed(roster)), control=listen(0, lambda: Control(roster)))


if __name__ == "__main__":
    main()
