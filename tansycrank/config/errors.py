"""The error for an invalid settings file."""

from __future__ import annotations

from tansycrank.errors import TansycrankError


class ConfigError(TansycrankError, ValueError):
    """An invalid value in a settings file; `value` is None if it is missing."""

    def __init__(self, file: str, section: str, key: str, value: str | None, allowed: str):
        self.file, self.section, self.key = file, section, key
        self.value, self.allowed = value, allowed
        shown = "is missing" if value is None else f"= {value!r}"
        super().__init__(f"{file}: [{section}] {key} {shown}: {allowed}")
