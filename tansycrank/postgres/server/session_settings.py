"""Session settings, as changed by SET and the startup packet and returned by SHOW."""

from __future__ import annotations

import re
from collections.abc import Iterator, Mapping

from tansycrank.admission.identity import Caller
from tansycrank.postgres import messages as pg
from tansycrank.postgres.errors import (
    FEATURE_NOT_SUPPORTED,
    INVALID_PARAMETER,
    UNDEFINED_OBJECT,
    PgError,
)
from tansycrank.sql.local import SERVER_VERSION
from tansycrank.sql_router.service import Service

MAX_VALUE_LENGTH = 1024  # characters
ROUTER_SETTING_PREFIX = "tansycrank."
LIMITS_COMMAND = "tansycrank.limits"  # a command with the syntax of a setting; not stored
MS_BY_UNIT = {"ms": 1, "min": 60_000, "s": 1000, "h": 3_600_000}  # "ms" must match before "s"
DURATION = re.compile(r"[0-9]{1,15}")
PRESERVED_ON_RESET = ("session_authorization", "application_name")

DEFAULTS = {
    "server_version": SERVER_VERSION,
    "server_encoding": "UTF8",
    "client_encoding": "UTF8",
    "datestyle": "ISO, MDY",
    "timezone": "UTC",
    "integer_datetimes": "on",
    "standard_conforming_strings": "on",
    "intervalstyle": "postgres",
    "is_superuser": "off",
    "session_authorization": "",
    "application_name": "",
    "default_transaction_read_only": "off",
    "in_hot_standby": "off",
    "extra_float_digits": "1",
    "search_path": '"$user", public',
    "statement_timeout": "0",
    "transaction_isolation": "read committed",
    "transaction_read_only": "off",
    "max_identifier_length": "63",
    "default_transaction_isolation": "read committed",
    "lock_timeout": "0",
    "bytea_output": "hex",
    "idle_in_transaction_session_timeout": "0",
    "client_min_messages": "notice",
    "synchronous_commit": "on",
    "server_version_num": "150000",
    "lc_collate": "C",
    "lc_ctype": "C",
}
REPORTED_NAMES = {  # settings that are sent in ParameterStatus, by lower-case name
    "server_version": "server_version",
    "server_encoding": "server_encoding",
    "client_encoding": "client_encoding",
    "datestyle": "DateStyle",
    "timezone": "TimeZone",
    "integer_datetimes": "integer_datetimes",
    "standard_conforming_strings": "standard_conforming_strings",
    "intervalstyle": "IntervalStyle",
    "is_superuser": "is_superuser",
    "session_authorization": "session_authorization",
    "application_name": "application_name",
    "default_transaction_read_only": "default_transaction_read_only",
    "in_hot_standby": "in_hot_standby",
}
ACCEPTED_FIXED_VALUES = {  # read-only settings: values accepted besides the default
    "client_encoding": ("utf8", "utf-8", "unicode"),
    "timezone": ("utc", "gmt", "etc/utc", "z", "zulu", "uct"),
    "standard_conforming_strings": ("on", "true", "1"),
    "server_version": (),
    "server_encoding": (),
    "integer_datetimes": (),
    "is_superuser": (),
    "bytea_output": ("hex",),
    "server_version_num": (),
    "lc_collate": (),
    "lc_ctype": (),
    "session_authorization": (),
}
CHANGEABLE_SETTINGS = (
    "application_name",
    "extra_float_digits",
    "search_path",
    "client_min_messages",
    "lock_timeout",
    "idle_in_transaction_session_timeout",
    "synchronous_commit",
    "default_transaction_isolation",
    "transaction_isolation",
    "default_transaction_read_only",
    "transaction_read_only",
    "intervalstyle",
)


def parse_duration_ms(name: str, value: str) -> str:
    """Parse a PostgreSQL duration to milliseconds: a number, optional unit ms, s, min or h."""
    text = value.strip().lower()
    unit = next((unit for unit in MS_BY_UNIT if text.endswith(unit)), "")
    number = text[: len(text) - len(unit)].strip() if unit else text
    if not DURATION.fullmatch(number):
        raise PgError(
            INVALID_PARAMETER,
            f"invalid value for parameter {name!r}: {value!r}",
            hint="a number of milliseconds, or one with the unit ms, s, min or h",
        )
    return str(int(number) * MS_BY_UNIT.get(unit, 1))


class SessionSettings(Mapping[str, str]):
    """Current values of the settings by lower-case name."""

    def __init__(self, service: Service) -> None:
        self._service = service
        self._values = dict(DEFAULTS)

    def __getitem__(self, name: str) -> str:
        return self._values[name]

    def __iter__(self) -> Iterator[str]:
        return iter(self._values)

    def __len__(self) -> int:
        return len(self._values)

    def snapshot(self) -> dict[str, str]:
        """Return a copy for a statement, unaffected by later changes."""
        return dict(self._values)

    def set_user(self, user: str) -> None:
        """Set `session_authorization` to the user in the startup packet."""
        self._values["session_authorization"] = user

    def status_messages(self) -> list[bytes]:
        """Encode ParameterStatus for all reported settings."""
        return [
            pg.parameter_status(reported_name, self._values[name])
            for name, reported_name in REPORTED_NAMES.items()
        ]

    def reset(self) -> None:
        """Restore the defaults (RESET ALL), except for settings of the connection."""
        kept = {name: self._values[name] for name in PRESERVED_ON_RESET}
        self._values = dict(DEFAULTS) | kept

    def show_value(self, name: str) -> str:
        """Return the value for SHOW. Raises PgError."""
        key = name.lower()
        if key == "all":
            raise PgError(FEATURE_NOT_SUPPORTED, "SHOW ALL is not supported")
        if key.startswith(ROUTER_SETTING_PREFIX):
            return self._values.get(key, "")
        if key not in self._values:
            raise PgError(UNDEFINED_OBJECT, f"unrecognized configuration parameter {name!r}")
        return self._values[key]

    def assign(self, name: str, value: str | None, caller: Caller) -> list[bytes]:
        """Change a setting (None: to its default); return messages to send. Raises PgError."""
        key = name.lower()
        if value is None:
            value = DEFAULTS.get(key, "off" if key == "tansycrank.repeat" else "")
        if key == LIMITS_COMMAND:
            self._service.change_limits(caller, value)
        elif key.startswith(ROUTER_SETTING_PREFIX):
            self._values[key] = self._service.check_setting(key, value)
        elif key in ACCEPTED_FIXED_VALUES:
            _check_fixed_value(name, value)
        elif key == "datestyle":
            _check_date_style(value)
        elif key == "statement_timeout":
            self._values[key] = parse_duration_ms(key, value)
        else:
            return self._assign_changeable_setting(name, value)
        return []

    def _assign_changeable_setting(self, name: str, value: str) -> list[bytes]:
        key = name.lower()
        if key not in CHANGEABLE_SETTINGS:
            raise PgError(UNDEFINED_OBJECT, f"unrecognized configuration parameter {name!r}")
        if len(value) > MAX_VALUE_LENGTH:
            raise PgError(INVALID_PARAMETER, f"{name}: at most {MAX_VALUE_LENGTH} characters")
        self._values[key] = value
        if key not in REPORTED_NAMES:
            return []
        return [pg.parameter_status(REPORTED_NAMES[key], value)]


def _check_fixed_value(name: str, value: str) -> None:
    key = name.lower()
    accepted = ACCEPTED_FIXED_VALUES[key]
    if value.strip("' ").lower() not in accepted and value != DEFAULTS[key]:
        raise PgError(
            INVALID_PARAMETER,
            f"parameter {name!r} can't be {value!r} here",
            hint=f"allowed: {', '.join(accepted) or DEFAULTS[key]}",
        )


def _check_date_style(value: str) -> None:
    if not value.strip().lower().startswith("iso"):
        raise PgError(INVALID_PARAMETER, f"DateStyle can't be {value!r} here", hint="allowed: ISO")
