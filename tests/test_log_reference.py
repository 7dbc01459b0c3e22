"""The log reference lists exactly the events that the program logs."""

import ast
import re
from pathlib import Path

ROOT = Path(__file__).parent.parent
LOG_REFERENCE = ROOT / "docs" / "operate" / "log-reference.md"
LEVELS = ("debug", "info", "warning", "error", "critical")
LOGGER_NAMES = ("log", "_log")


def is_log_call(function):
    """Whether the called function is `log`, `x.log`, or a level method such as `x.log.info`."""
    if isinstance(function, ast.Name):
        return function.id in LOGGER_NAMES
    if not isinstance(function, ast.Attribute):
        return False
    if function.attr in LEVELS:
        owner = function.value
        return getattr(owner, "attr", getattr(owner, "id", "")) in LOGGER_NAMES
    return function.attr in LOGGER_NAMES and getattr(function.value, "id", "") != "math"


def logged_events(path):
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Call) and is_log_call(node.func):
            event = node.args[0]
            assert isinstance(event, ast.Constant), (
                f"{path}:{node.lineno}: the event name has to be a string literal"
            )
            yield event.value


def product_files():
    return [path for path in (ROOT / "tansycrank").rglob("*.py") if "testbed" not in path.parts]


def test_the_log_reference_lists_exactly_the_logged_events():
    logged = {event for path in product_files() for event in logged_events(path)}
    documented = set(re.findall(r"(?m)^\| `([a-z_]+)` \|", LOG_REFERENCE.read_text()))
    assert logged == documented


def test_events_are_in_snake_case():
    logged = {event for path in product_files() for event in logged_events(path)}
    assert all(re.fullmatch(r"[a-z]+(_[a-z]+)*", event) for event in logged)
