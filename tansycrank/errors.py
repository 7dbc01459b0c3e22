"""The base class of all exceptions that this program defines."""

from __future__ import annotations


class TansycrankError(Exception):
    """Base class; a subclass describes the error and carries its details as attributes."""
