"""Makes the package and the test helpers importable from a clean checkout."""

import sys
from pathlib import Path

sys.path[:0] = [str(Path(__file__).parent), str(Path(__file__).parent.parent)]

import known_red
from hypothesis import settings

settings.register_profile("same-every-time", derandomize=True, database=None, deadline=None)
settings.load_profile("same-every-time")


def pytest_addoption(parser):
    parser.addoption("--known-red", metavar="FILE", help="pass over the tests that this file lists")


def pytest_configure(config):
    if path := config.getoption("--known-red"):
        known_red.register(config, path)
