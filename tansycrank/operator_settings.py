"""Parser of the operators' settings object, which the simulator and the platform share.

It maps the operators' names of settings to the fields of `routing.Settings`.
"""

from __future__ import annotations

import json
import math
from collections.abc import Container, Mapping

from tansycrank import routing

IDEMPOTENCY_BY_EFFECT = {
    "read_like": routing.Idempotency.IDEMPOTENT,
    "idempotency_key": routing.Idempotency.WITH_KEY,
    "non_idempotent": routing.Idempotency.NOT_IDEMPOTENT,
}

# For each field of `routing.Settings`: the group in the settings object, the key in the group, and
# the `_JsonObject` method that reads the value.
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
# Required only if one of these keys is present.
_BUDGET_FIELDS = (
    ("budget_floor", "rules", "extraFloor", "number"),
    ("budget_share", "rules", "repeatRatio", "number"),
    ("budget_window", "rules", "countedOver", "number"),
)
# Keys of one entry of `services`.
_CLASS_FIELDS = (
    ("latency_objective", "aim"),
    ("deadline", "giveUp"),
    ("priority_weight", "points"),
    ("late_weight", "lateWorth"),
    ("dedup_window", "window"),
)
# Keys of `familyInfo` whose values are arrays with one entry per class.
_CLASS_ARRAY_FIELDS = (
    ("minimum_coverage", "minShare"),
    ("complete_coverage", "wholeAt"),
    ("partial_weight", "shortWorth"),
    ("follow_up", "followUp"),
)


def parse_settings(settings_json: str) -> routing.Settings:
    """Parse the settings object from its JSON text.

    Raise ValueError with the path of a key that is missing or whose value is invalid.
    """
    try:
        raw = json.loads(settings_json)
    except (ValueError, RecursionError) as error:
        raise ValueError(f"settings: not JSON: {error}") from error
    root = _JsonObject(raw, "settings")
    groups = {
        name: root.object_at(name) for name in ("familyInfo", "caps", "clients", "rules", "prices")
    }
    groups[""] = root
    # One budget key requires the others: an incomplete budget must not be read as no budget.
    has_budget = any(key in groups["rules"].raw for _, _, key, _ in _BUDGET_FIELDS)
    fields = _FIELDS + (_BUDGET_FIELDS if has_budget else ())
    arguments = {name: getattr(groups[group], kind)(key) for name, group, key, kind in fields}
    paths = {name: f"{groups[group].path}.{key}" for name, group, key, _ in fields}
    classes = tuple(
        _parse_class(groups["familyInfo"], service, index)
        for index, service in enumerate(root.objects("services"))
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


def _parse_class(family_info: _JsonObject, service: _JsonObject, index: int) -> routing.QueryClass:
    arguments: dict[str, object] = {name: service.number(key) for name, key in _CLASS_FIELDS}
    paths = {name: f"{service.path}.{key}" for name, key in _CLASS_FIELDS}
    for name, key in _CLASS_ARRAY_FIELDS:
        values, paths[name] = family_info.array(key), f"{family_info.path}.{key}[{index}]"
        if index >= len(values):
            raise ValueError(f"{paths[name]}: no value for class {index}")
        arguments[name] = _number(values[index], paths[name])
    _count(arguments["follow_up"], paths["follow_up"])
    return _construct(
        routing.QueryClass,
        paths,
        idempotency=IDEMPOTENCY_BY_EFFECT[service.choice("effect", IDEMPOTENCY_BY_EFFECT)],
        **arguments,
    )


def _construct(kind: type, paths: Mapping[str, str], **arguments: object):
    """Construct a `kind`; replace the name of a rejected argument in the error by its path."""
    try:
        return kind(**arguments)
    except ValueError as error:
        name, colon, rest = str(error).partition(":")
        raise ValueError(f"{paths.get(name, name)}{colon}{rest}") from error


def _number(value: object, path: str) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"{path}: a number is needed, got {value!r:.40}")
    try:
        is_finite = math.isfinite(value)
    except OverflowError:  # an integer above the largest float
        is_finite = False
    if not is_finite:
        raise ValueError(f"{path}: a finite number is needed, got {value!r:.40}")
    return value


def _count(value: object, path: str) -> int:
    number = _number(value, path)
    if number != int(number):
        raise ValueError(f"{path}: an integer is needed, got {number}")
    return int(number)


class _JsonObject:
    """A JSON object with its path, which error messages report."""

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
        """Return the object at a key."""
        return _JsonObject(self[key], f"{self.path}.{key}")

    def number(self, key: str) -> float:
        """Return the finite number at a key."""
        return _number(self[key], f"{self.path}.{key}")

    def count(self, key: str) -> int:
        """Return the integer at a key."""
        return _count(self[key], f"{self.path}.{key}")

    def flag(self, key: str) -> bool:
        """Return the boolean at a key; 1 and 0 are accepted too."""
        if self[key] not in (True, False):
            raise ValueError(f"{self.path}.{key}: true or false is needed, got {self[key]!r:.40}")
        return bool(self[key])

    def choice(self, key: str, allowed: Container[str]) -> str:
        """Return the string at a key, which has to be one of the allowed values."""
        if not isinstance(self[key], str) or self[key] not in allowed:
            raise ValueError(f"{self.path}.{key}: unknown value {self[key]!r:.40}")
        return self[key]

    def array(self, key: str) -> list:
        """Return the list at a key."""
        if not isinstance(self[key], list):
            raise ValueError(f"{self.path}.{key}: a list is needed, got {self[key]!r:.40}")
        return self[key]

    def objects(self, key: str) -> list[_JsonObject]:
        """Return the objects of the list at a key."""
        return [
            _JsonObject(value, f"{self.path}.{key}[{index}]")
            for index, value in enumerate(self.array(key))
        ]
