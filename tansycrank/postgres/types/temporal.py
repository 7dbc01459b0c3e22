"""Converts dates and timestamps between text and numbers."""

from __future__ import annotations

import datetime as dt
import math
import re

EPOCH = dt.date(2000, 1, 1)
MICROSECONDS_PER_DAY = 86_400_000_000
TIMESTAMP_PATTERN = re.compile(
    r"(\d{4,5})-(\d\d)-(\d\d)(?:[ T](\d\d):(\d\d):(\d\d)(\.\d{1,6})?)?"
    r"(?:([+-])(\d\d)(?::?(\d\d))?(?::?(\d\d))?|Z)?$"
)


def parse_timestamp(text: str, with_zone: bool) -> float | int:
    """Parses a timestamp to microseconds since 2000-01-01 UTC or an infinity. Raises ValueError."""
    if text in ("infinity", "-infinity"):
        return math.inf if text == "infinity" else -math.inf
    match = TIMESTAMP_PATTERN.match(text)
    if not match:
        raise ValueError(text)
    year, month, day = int(match[1]), int(match[2]), int(match[3])
    days = (dt.date(year, month, day) - EPOCH).days
    hours, minutes, seconds = int(match[4] or 0), int(match[5] or 0), int(match[6] or 0)
    microseconds = int((match[7] or ".0")[1:].ljust(6, "0"))
    total = (
        days * MICROSECONDS_PER_DAY
        + ((hours * 60 + minutes) * 60 + seconds) * 1_000_000
        + microseconds
    )
    if with_zone and match[8]:
        utc_offset = (int(match[9]) * 60 + int(match[10] or 0)) * 60 + int(match[11] or 0)
        total -= (utc_offset if match[8] == "+" else -utc_offset) * 1_000_000
    return total


def format_timestamp(value: float | int, with_zone: bool) -> str:
    """Formats microseconds since 2000-01-01 UTC as a timestamp."""
    if value in (math.inf, -math.inf):
        return "infinity" if value > 0 else "-infinity"
    days, remainder = divmod(int(value), MICROSECONDS_PER_DAY)
    day = EPOCH + dt.timedelta(days=days)
    seconds, microseconds = divmod(remainder, 1_000_000)
    text = f"{day.isoformat()} {seconds // 3600:02}:{seconds // 60 % 60:02}:{seconds % 60:02}"
    return (
        text
        + (f".{microseconds:06}".rstrip("0") if microseconds else "")
        + ("+00" if with_zone else "")
    )


def parse_date(text: str) -> float | int:
    """Parses a date to days since 2000-01-01 or an infinity. Raises ValueError."""
    microseconds = parse_timestamp(text, False)
    if microseconds in (math.inf, -math.inf):
        return microseconds
    return microseconds // MICROSECONDS_PER_DAY


def format_date(days: float | int) -> str:
    """Formats days since 2000-01-01 as a date."""
    return format_timestamp(days * MICROSECONDS_PER_DAY, False).split(" ")[0]
