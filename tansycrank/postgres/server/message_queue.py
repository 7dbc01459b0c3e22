"""Messages of a client that wait for the statement before them."""

from __future__ import annotations

from collections import deque


class MessageQueue:
    """Decoded messages in order, with the size of their frames."""

    def __init__(self) -> None:
        self._messages: deque[tuple[object, int]] = deque()
        self.size_bytes = 0

    def __bool__(self) -> bool:
        return bool(self._messages)

    def append(self, message: object, size_bytes: int) -> None:
        """Add a message."""
        self._messages.append((message, size_bytes))
        self.size_bytes += size_bytes

    def peek(self) -> object:
        """The next message, which stays in the queue."""
        return self._messages[0][0]

    def pop(self) -> object:
        """Remove and return the next message."""
        message, size_bytes = self._messages.popleft()
        self.size_bytes -= size_bytes
        return message

    def clear(self) -> None:
        """Drop all messages."""
        self._messages.clear()
        self.size_bytes = 0
