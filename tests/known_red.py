"""KNOWN-RED.txt: tests that fail for a fault that is told and not mended yet. CI passes over these alone.

One line each: `test | cause | issue`; the test as pytest names it, without the values of its parameters if
all of them are meant. Lines that are empty or begin with # say nothing.

`--known-red=FILE` turns it on, as one word: a second word that names a file counts as a path of tests
before the options are known, and the conftest that knows this one is then never loaded.
"""

from pathlib import Path

import pytest

MOST = 3


class Unusable(ValueError):
    """A list that cannot be used; says which line and why."""


def read(text):
    """The lines as {test: (cause, issue)}."""
    listed = {}
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        fields = [field.strip() for field in line.split(" | ")]
        if len(fields) != 3 or not all(fields):
            raise Unusable(f"line {number}: `test | cause | issue` is needed, got {line!r}")
        if fields[0] in listed:
            raise Unusable(f"line {number}: {fields[0]} stands twice")
        listed[fields[0]] = fields[1], fields[2]
    if len(listed) > MOST:
        raise Unusable(f"{len(listed)} lines: {MOST} at most")
    return listed


class KnownRed:
    """Runs the listed tests too; how they end decides nothing, and is told at the end."""

    def __init__(self, listed):
        self.listed = listed
        self.ends = {test: set() for test in listed}

    def named(self, nodeid):
        """The line that means this test."""
        return next(
            (test for test in (nodeid, nodeid.partition("[")[0]) if test in self.listed), None
        )

    def pytest_collection_modifyitems(self, items):
        found = {self.named(item.nodeid) for item in items}
        if lost := [test for test in self.listed if test not in found]:
            raise pytest.UsageError(f"KNOWN-RED.txt names no test: {', '.join(lost)}")
        for item in items:
            if test := self.named(item.nodeid):
                item.add_marker(
                    pytest.mark.xfail(reason=" | ".join(self.listed[test]), strict=False)
                )

    def pytest_runtest_logreport(self, report):
        red = report.failed or hasattr(report, "wasxfail") and report.skipped
        if (red or report.when == "call" and report.passed) and (test := self.named(report.nodeid)):
            self.ends[test].add("failed" if red else "passed")

    def pytest_terminal_summary(self, terminalreporter):
        for test, (cause, issue) in self.listed.items():
            ends = " and ".join(sorted(self.ends[test])) or "did not run"
            hint = ": take its line out" if self.ends[test] == {"passed"} else ""
            terminalreporter.write_line(f"KNOWN RED {test} ({ends}{hint}): {cause} (issue {issue})")


def register(config, path):
    """Turn it on; a file that is not there lists nothing."""
    try:
        text = Path(path).read_text()
    except FileNotFoundError:
        return
    try:
        listed = read(text)
    except Unusable as problem:
        raise pytest.UsageError(f"{path}: {problem}") from problem
    config.pluginmanager.register(KnownRed(listed), "known-red-tests")
