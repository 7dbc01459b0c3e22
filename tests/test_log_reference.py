"""The log reference names each event that the program logs, and no other."""

import ast
import re
from pathlib import Path

ROOT = Path(__file__).parent.parent
PAGE = ROOT / "docs" / "operate" / "log-reference.md"
LEVELS = ("debug", "info", "warning", "error", "critical")
LOGS = ("log", "_log")


def is_log_call(function):
    """Whether a call's function is `log`, `x.log`, or one of its levels, as `x.log.info`."""
    if isinstance(function, ast.Name):
        return function.id in LOGS
    if not isinstance(function, ast.Attribute):
        return False
    if function.attr in LEVELS:
        owner = function.value
        return getattr(owner, "attr", getattr(owner, "id", "")) in LOGS
    return function.attr in LOGS and getattr(function.value, "id", "") != "math"


def events_of(path):
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Call) and is_log_call(node.func):
            event = node.args[0]
            assert isinstance(event, ast.Constant), f"{path}:{node.lineno}: an event is a literal"
            yield event.value


def product_files():
    return [path for path in (ROOT / "tansycrank").rglob("*.py") if "testbed" not in path.parts]


def test_each_event_stands_in_the_log_reference():
    logged = {event for path in product_files() for event in events_of(path)}
    described = set(re.findall(r"(?m)^\| `([a-z_]+)` \|", PAGE.read_text()))
    assert logged == described


def test_events_are_in_snake_case():
    logged = {event for path in product_files() for event in events_of(path)}
    assert all(re.fullmatch(r"[a-z]+(_[a-z]+)*", event) for event in logged)
