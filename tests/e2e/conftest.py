"""One site of stand-ins for the end-to-end tests, started once."""

import pytest

from tansycrank import config
from tansycrank.testbed.engine import Engine
from tansycrank.testbed.local_cluster import Layout, LocalCluster, settings_text

LAYOUT = Layout(nodes=6, shards=6, scale=0.25, nature={"work_ms": 1.0})


@pytest.fixture(scope="session")
def site():
    with LocalCluster(LAYOUT) as running:
        running.wait_ready()
        yield running


@pytest.fixture(scope="session")
def reference():
    """The same rows in one unsharded database."""
    return Engine(
        config.parse(settings_text(LAYOUT, "127.0.0.1:1")), LAYOUT.seed, None, LAYOUT.scale
    )
