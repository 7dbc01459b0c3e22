"""Entry point of the stand-in node."""

from __future__ import annotations

import sys

import msgspec

from tansycrank.testbed.node.control import Control
from tansycrank.testbed.node.node import Node
from tansycrank.testbed.node.session import NodeSession
from tansycrank.testbed.node.spec import Spec
from tansycrank.testbed.process import listen, serve


def main() -> None:
    """Start a node; it serves until its process is ended."""
    spec = msgspec.json.decode(sys.argv[1], type=Spec)
    node = Node(spec)
    port = listen(spec.port, lambda: NodeSession(node))
    serve(port=port, control=listen(spec.control, lambda: Control(node)))


if __name__ == "__main__":
    main()
