"""Reader of the operators' settings object, which the simulator and the platform have in common.

This is where the operators' names of settings are mapped to the fields of `routing.Settings`.
"""

from __future__ import annotations

import json
import math
from collections.abc import Container, Mapping

from tansycrank import routing

EFFECTS = {
    "read_like": routing.Idempotency.IDEMPOTENT,
    "idempotency_key": routing.Idempotency.WITH_KEY,
    "non_idempotent": routing.Idempotency.NOT_IDEMPOTENT,
}

# A field of `routing.Settings`, the group of the settings object, its key there, and its kind.
_FIELDS = (
    ("router_index", "", "me", "count"),
    ("routers", "", "replicasOfMe", "count"),
    ("zone", "", "zone", "count"),
    ("tick", "", "step", "number"),
    ("shards", "familyInfo", "slabs", "count"),
    ("cells", "familyInfo", "positions", "count"),
    ("replica_span", "familyInfo", "inARow", "count"),
    ("call_batch_size", "familyInfo", "bundleMax", "count"),
    ("call_work", "familyInfo", "perCallWork", "number"),
    ("max_attempts", "caps", "attemptsCap", "count"),
    ("allows_hedging", "caps", "secondCopies", "flag"),
    ("can_cancel", "caps", "cancel", "flag"),
    ("can_check_health", "caps", "mayProbe", "flag"),
    ("can_gossip", "caps", "peers", "flag"),
    ("can_retry_after", "caps", "retryAfter", "flag"),
    ("max_retry_after", "caps", "maxRetryAfter", "number"),
    ("max_in_flight", "caps", "openCap", "count"),
    ("marks_retries", "clients", "marksRetry", "flag"),
    ("poll_interval", "rules", "askEvery", "number"),
    ("answer_grace", "rules", "graceToAnswer", "number"),
    ("drain_grace", "rules", "stopSendingWithin", "number"),
    ("slow_start_overload_factor", "rules", "overloadFactor", "number"),
    ("slow_start_window", "rules", "fall", "number"),
    ("slow_start_initial_share", "rules", "coldFrom", "number"),
    ("slow_start_duration", "rules", "cold", "number"),
    ("price_crossing", "prices", "crossZone", "number"),
    ("price_waste", "prices", "waste", "number"),
    ("price_probe", "prices", "probe", "number"),
    ("price_late_fail", "prices", "lateFail", "number"),
)
_BUDGET = (
    ("budget_floor", "rules", "extraFloor", "number"),
    ("budget_share", "rules", "repeatRatio", "number"),
    ("budget_window", "rules", "countedOver", "number"),
)
_CLASS_FIELDS = (
    ("latency_objective", "aim"),
    ("deadline", "giveUp"),
    ("priority_weight", "points"),
    ("late_weight", "lateWorth"),
    ("dedup_window", "window"),
)
_CLASS_SHARES = (
    ("minimum_coverage", "minShare"),
    ("complete_coverage", "wholeAt"),
    ("partial_weight", "shortWorth"),
    ("follow_up", "followUp"),
)


def parse_settings(info: str) -> routing.Settings:
    """Read the settings object from its JSON text.

    Raises ValueError, which names the path of what is missing or out of range.
    """
    try:
        raw = json.loads(info)
    except json.JSONDecodeError as error:
        raise ValueError(f"settings: not JSON: {error}") from error
    root = _JsonObject(raw, "settings")
    groups = {
        name: root.object_at(name) for name in ("familyInfo", "caps", "clients", "rules", "prices")
    }
    groups[""] = root
    # One key of a budget is enough to require the others: half a budget must not pass for none.
    budget = any(key in groups["rules"].raw for _, _, key, _ in _BUDGET)
    fields = _FIELDS + (_BUDGET if budget else ())
    arguments = {name: getattr(groups[group], kind)(key) for name, group, key, kind in fields}
    paths = {name: f"{groups[group].path}.{key}" for name, group, key, _ in fields}
    classes = tuple(
        _class(groups["familyInfo"], node, index)
        for index, node in enumerate(root.objects("services"))
    )
    paths |= {"classes": "settings.services", "zones": "settings.localities"}
    polls_discovery = root.choice("discovery", ("ask", "push")) == "ask"
    zones = len(root.array("localities"))
    return _construct(
        routing.Settings,
        paths,
        classes=classes,
        zones=zones,
        polls_discovery=polls_discovery,
        **arguments,
    )


def _class(family: _JsonObject, node: _JsonObject, index: int) -> routing.QueryClass:
    arguments: dict[str, object] = {name: node.number(key) for name, key in _CLASS_FIELDS}
    paths = {name: f"{node.path}.{key}" for name, key in _CLASS_FIELDS}
    for name, key in _CLASS_SHARES:
        values, paths[name] = family.array(key), f"{family.path}.{key}[{index}]"
        if index >= len(values):
            raise ValueError(f"{paths[name]}: no figure for class {index}")
        arguments[name] = _number(values[index], paths[name])
    _count(arguments["follow_up"], paths["follow_up"])
    return _construct(
        routing.QueryClass, paths, idempotency=EFFECTS[node.choice("effect", EFFECTS)], **arguments
    )


def _construct(kind: type, paths: Mapping[str, str], **arguments: object):
    """Construct a record; a value that it does not accept is reported with its path."""
    try:
        return kind(**arguments)
    except ValueError as problem:
        name, colon, rest = str(problem).partition(":")
        raise ValueError(f"{paths.get(name, name)}{colon}{rest}") from problem


def _number(value: object, path: str) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        raise ValueError(f"{path}: a number is needed, got {value!r:.40}")
    return value


def _count(value: object, path: str) -> int:
    number = _number(value, path)
    if number != int(number):
        raise ValueError(f"{path}: a whole number is needed, got {number}")
    return int(number)


class _JsonObject:
    """A JSON object that knows its own path, for error messages."""

    def __init__(self, raw: object, path: str) -> None:
        if not isinstance(raw, dict):
            raise ValueError(f"{path}: an object is needed, got {type(raw).__name__}")
        self.raw = raw
        self.path = path

    def __getitem__(self, key: str) -> object:
        if key not in self.raw:
            raise ValueError(f"{self.path}.{key}: required key is missing")
        return self.raw[key]

    def object_at(self, key: str) -> _JsonObject:
        """The object under this key."""
        return _JsonObject(self[key], f"{self.path}.{key}")

    def number(self, key: str) -> float:
        """A finite number."""
        return _number(self[key], f"{self.path}.{key}")

    def count(self, key: str) -> int:
        """A whole number."""
        return _count(self[key], f"{self.path}.{key}")

    def flag(self, key: str) -> bool:
        """True or false, or 1 or 0."""
        if self[key] not in (True, False):
            raise ValueError(f"{self.path}.{key}: true or false is needed, got {self[key]!r:.40}")
        return bool(self[key])

    def choice(self, key: str, known: Container[str]) -> str:
        """One of the words that are known."""
        if not isinstance(self[key], str) or self[key] not in known:
            raise ValueError(f"{self.path}.{key}: unknown word {self[key]!r:.40}")
        return self[key]

    def array(self, key: str) -> list:
        """A list."""
        if not isinstance(self[key], list):
            raise ValueError(f"{self.path}.{key}: a list is needed, got {self[key]!r:.40}")
        return self[key]

    def objects(self, key: str) -> list[_JsonObject]:
        """The objects of a list."""
        return [
            _JsonObject(value, f"{self.path}.{key}[{index}]")
            for index, value in enumerate(self.array(key))
        ]
