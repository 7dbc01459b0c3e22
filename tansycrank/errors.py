"""The base of all errors that this program raises on purpose."""

from __future__ import annotations


class TansycrankError(Exception):
    """Base class; a subclass says what went wrong and carries the figures as fields."""
