"""Makes the package and the test helpers importable, and sets the options of all tests."""

import sys
from pathlib import Path

sys.path[:0] = [str(Path(__file__).parent), str(Path(__file__).parent.parent)]

import known_red
from hypothesis import settings

settings.register_profile("deterministic", derandomize=True, database=None, deadline=None)
settings.load_profile("deterministic")


def pytest_addoption(parser):
    parser.addoption(
        "--known-red", metavar="FILE", help="ignore failures of the tests listed in this file"
    )


def pytest_configure(config):
    if path := config.getoption("--known-red"):
        known_red.register(config, path)
