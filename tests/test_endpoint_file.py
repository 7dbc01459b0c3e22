"""An endpoint list in a file that is rewritten while the router polls it."""

import pytest
from twisted.internet.task import Clock

from tansycrank import config
from tansycrank.discovery.endpoint_file import SETTLE_SECONDS, EndpointFile
from tansycrank.routing import EndpointStatus

SETTINGS = """
[roster]
file = %s
[store]
shards = 3
cells = 3
[class lookup]
aim_ms = 100
give_up_ms = 1000
"""
NODES = "".join(
    f"[node {n}]\nhost = 127.0.0.1\ncell = {n}\nzone = a\nport = 500{n}\n\n" for n in range(3)
)


class Addresses:
    """The part of a connection pool that an endpoint source uses."""

    def __init__(self):
        self.ports = {}

    def set_address(self, endpoint, host, port):
        self.ports[endpoint] = port

    def remove_endpoint(self, endpoint):
        del self.ports[endpoint]


class FileHarness:
    def __init__(self, path):
        self.path, self.clock, self.addresses, self.updates = path, Clock(), Addresses(), []
        parsed = config.parse(SETTINGS % path)
        self.source = EndpointFile(self.clock, parsed, self.addresses, self.updates.append)
        self.write(NODES)
        self.source.watch(True)
        self.run(0.5)

    def write(self, text):
        self.path.write_text(text)

    def run(self, seconds):
        for _ in range(round(seconds / 0.05)):
            self.clock.advance(0.05)


@pytest.fixture
def harness(tmp_path):
    return FileHarness(tmp_path / "nodes.ini")


def test_a_file_that_is_complete_is_read(harness):
    assert harness.addresses.ports == {0: 5000, 1: 5001, 2: 5002}
    harness.write(NODES.replace("zone = a", "zone = a\nstatus = draining", 1))
    harness.run(1.5)
    assert EndpointStatus.DRAINING in [entry.status for entry in harness.updates[-1].entries]


@pytest.mark.parametrize(
    "cut", [NODES.index("[node 2]"), NODES.index("5002") + 2], ids=["a node", "a number"]
)
def test_a_file_that_is_being_written_removes_no_node_and_cuts_no_number(harness, cut):
    """Guards against a half-written file, which is a valid one with fewer nodes."""
    for _ in range(40):  # the writer goes on, a little at a time
        harness.write(NODES[:cut] + "\n" * (len(harness.path.read_text()) % 7 + 1))
        harness.run(SETTLE_SECONDS / 2)
        assert harness.addresses.ports == {0: 5000, 1: 5001, 2: 5002}
    harness.write(NODES.replace("5002", "5009"))
    harness.run(1.5)
    assert harness.addresses.ports == {0: 5000, 1: 5001, 2: 5009}
