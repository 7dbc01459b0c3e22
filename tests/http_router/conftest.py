"""The fixture that starts a router process of the platform."""

import pytest
from real import Program


@pytest.fixture
def start(tmp_path):
    """Start a router with these nodes; its process ends with the test."""
    started = []

    def make(*nodes, **more):
        started.append(Program(tmp_path, nodes, **more))
        return started[0]

    yield make
    for program in started:
        program.kill()
