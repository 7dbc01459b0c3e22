"""Host of many router instances on the simulator's wire: `python -m tansycrank.simulator_adapter`.

It reads frames on standard input and writes one reply a frame. It decides nothing.
"""

from __future__ import annotations

import sys
from typing import BinaryIO

from tansycrank import operator_settings, simulator_protocol
from tansycrank.routing.policy import RoutingPolicy


class Host:
    """The instances of this process. They share nothing but the numbered lists of the wire."""

    def __init__(self) -> None:
        self._decoder = simulator_protocol.Decoder()
        self._routers: dict[int, RoutingPolicy] = {}
        self._broken: set[int] = set()

    def reply(self, frame: bytes) -> bytes:
        """Play one frame and return its reply."""
        clock, records = self._decoder.decode(frame)
        batches: dict[int, list] = {}
        actions: list[tuple[int, object]] = []
        for instance, record in records:
            if isinstance(record, simulator_protocol.InstanceKilled):
                self._routers.pop(instance, None)
                self._broken.discard(instance)
                batches.pop(instance, None)
            elif isinstance(record, simulator_protocol.InstanceStarted):
                self._attach(instance, record, actions)
                batches[instance] = []
            elif instance not in self._broken:
                batches.setdefault(instance, []).append(record)
        for instance, events in batches.items():
            router = self._routers.get(instance)
            if router is None:
                if instance not in self._broken:
                    self._break(instance, "events for an instance that was never attached", actions)
                continue
            try:
                actions.extend((instance, action) for action in router.step(clock, events))
            except Exception as error:  # told to the operators as BROKEN, whatever it is
                self._break(instance, f"{type(error).__name__}: {error}{_place(error)}", actions)
        return simulator_protocol.encode(actions)

    def _attach(
        self, instance: int, record: simulator_protocol.InstanceStarted, actions: list
    ) -> None:
        self._broken.discard(instance)
        self._routers.pop(instance, None)
        try:
            self._routers[instance] = RoutingPolicy(
                operator_settings.parse_settings(record.info), record.seed
            )
        except (ValueError, TypeError) as error:
            self._break(instance, str(error), actions)

    def _break(self, instance: int, text: str, actions: list) -> None:
        self._broken.add(instance)
        self._routers.pop(instance, None)
        actions.append((instance, simulator_protocol.InstanceFailed(text)))


def _place(error: BaseException) -> str:
    trace = error.__traceback__
    while trace is not None and trace.tb_next is not None:
        trace = trace.tb_next
    return "" if trace is None else f" (line {trace.tb_lineno} of {trace.tb_frame.f_code.co_name})"


def _read(source: BinaryIO, size: int) -> bytes:
    data = b""
    while len(data) < size:
        more = source.read(size - len(data))
        if not more:
            break
        data += more
    return data


def serve(source: BinaryIO, target: BinaryIO) -> None:
    """Answer frames until the input ends; a frame cut short raises FrameError."""
    host = Host()
    while head := _read(source, 4):
        size = int.from_bytes(head, "little")
        if (
            len(head) < 4
            or not simulator_protocol.HEADER.size <= size <= simulator_protocol.MAX_FRAME
        ):
            raise simulator_protocol.FrameError(f"byte 0: {head.hex()} is no size of a frame")
        target.write(host.reply(head + _read(source, size - 4)))
        target.flush()


def main() -> int:
    """Serve standard input; 0 at its end, 2 for a frame that can't be read."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except simulator_protocol.FrameError as error:
        print(f"simhost: unreadable frame: {error}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
