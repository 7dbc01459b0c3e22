"""Queue of client messages that wait for the preceding statement."""

from __future__ import annotations

from collections import deque

MESSAGE_OVERHEAD_BYTES = 200  # of a decoded message beside its fields; Sync has none


class MessageQueue:
    """FIFO queue of decoded messages; `size_bytes` is the memory that they take."""

    def __init__(self) -> None:
        self._messages: deque[tuple[object, int]] = deque()
        self.size_bytes = 0

    def __bool__(self) -> bool:
        return bool(self._messages)

    def append(self, message: object, size_bytes: int) -> None:
        """Add a message with the size of its frame."""
        size_bytes += MESSAGE_OVERHEAD_BYTES
        self._messages.append((message, size_bytes))
        self.size_bytes += size_bytes

    def peek(self) -> object:
        """Return the next message without removing it."""
        return self._messages[0][0]

    def pop(self) -> object:
        """Remove and return the next message."""
        message, size_bytes = self._messages.popleft()
        self.size_bytes -= size_bytes
        return message

    def clear(self) -> None:
        """Discard all messages."""
        self._messages.clear()
        self.size_bytes = 0
