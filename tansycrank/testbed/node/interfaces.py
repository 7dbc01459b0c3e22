"""What the parts of a stand-in node need of a session."""

from __future__ import annotations

from typing import Protocol


class JournaledSession(Protocol):
    """A session as the node and its journal see it."""

    pid: int
    application_name: str
