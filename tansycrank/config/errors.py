"""The error that a faulty settings file gives."""

from __future__ import annotations

from tansycrank.errors import TansycrankError


class ConfigError(TansycrankError, ValueError):
    """A fault of a settings file: where it is, the value, and what is allowed."""

    def __init__(self, file: str, section: str, key: str, value: str | None, allowed: str):
        self.file, self.section, self.key = file, section, key
        self.value, self.allowed = value, allowed
        shown = "is missing" if value is None else f"= {value!r}"
        super().__init__(f"{file}: [{section}] {key} {shown}: {allowed}")
