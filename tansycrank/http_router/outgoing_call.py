"""One attempt on its way to a data node, from the policy's word to its one outcome."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from tansycrank.lifecycle import Attempt
from tansycrank.routing import Outcome

if TYPE_CHECKING:
    from tansycrank.http_router.node_connection import NodeConnection

Done = Callable[[Outcome, str, tuple[float, ...]], None]


@dataclass(slots=True, eq=False)
class OutgoingCall:
    """One send, from the module's word to its outcome. Times are s of the reactor."""

    id: bytes
    shard: int
    text: bytes
    until: float
    done: Done | None
    attempt: Attempt | None  # which says whether it may begin; None for one that was never made
    once: bytes = b""  # the key by which the node knows a repeat
    link: NodeConnection | None = None  # the link that carries it or will
    out: bool = False  # its bytes were handed to the socket
    written: float = 0.0  # when
    ended: bool = False
    timer: object = None
    connect_within: float = 0.0  # s that it waits for a connection; 0: as long as that is tried
    connecting: object = None  # the timer of that
    leave_within: float = (
        0.0  # s until which its last byte may leave; 0: as long as it is waited for
    )
    leaving: object = None  # the timer of that

    @classmethod
    def never(cls, id: bytes, shard: int) -> OutgoingCall:
        """One that was not allowed; it has ended."""
        return cls(id, shard, b"", 0.0, None, None, ended=True)

    def begin(self, now: float) -> bool:
        """Whether its bytes leave now; `now` is in s. One that may not begin ends here."""
        if self.ended:
            return False
        if self.attempt.start(now * 1000) is not None:
            self.finish(Outcome.NOT_SENT)
            return False
        self.out, self.written = True, now
        return True

    def finish(self, outcome: Outcome, value: str = "", load: tuple[float, ...] = ()) -> None:
        """Report, once."""
        if self.ended:
            return
        self.ended = True
        for timer in (self.timer, self.connecting, self.leaving):
            if timer is not None and timer.active():
                timer.cancel()
        done, self.done, self.link = self.done, None, None  # nothing may keep it alive
        self.timer = self.connecting = self.leaving = None
        done(outcome, value, load)
