"""Runs router instances for the simulator: `python -m tansycrank.simulator_adapter`.

It reads frames of the simulator's protocol from standard input and writes one reply per frame to
standard output. All decisions are made by the routing policies of the instances.
"""

from __future__ import annotations

import sys
from typing import BinaryIO

from tansycrank import operator_settings, simulator_protocol
from tansycrank.routing.policy import RoutingPolicy


class RouterHost:
    """The router instances of this process.

    They share nothing but the numbered endpoint lists of the protocol.
    """

    def __init__(self) -> None:
        self._decoder = simulator_protocol.Decoder()
        self._routers: dict[int, RoutingPolicy] = {}
        self._failed: set[int] = set()  # instances that failed and were not started again

    def handle_frame(self, frame: bytes) -> bytes:
        """Carry out one frame and return the reply to it."""
        clock, records = self._decoder.decode(frame)
        batches: dict[int, list] = {}
        actions: list[tuple[int, object]] = []
        for instance, record in records:
            if isinstance(record, simulator_protocol.InstanceKilled):
                self._routers.pop(instance, None)
                self._failed.discard(instance)
                batches.pop(instance, None)
            elif isinstance(record, simulator_protocol.InstanceStarted):
                self._start(instance, record, actions)
                batches[instance] = []
            elif instance not in self._failed:
                batches.setdefault(instance, []).append(record)
        for instance, events in batches.items():
            router = self._routers.get(instance)
            if router is None:
                if instance not in self._failed:
                    self._fail(instance, "events for an instance that was never attached", actions)
                continue
            try:
                actions.extend((instance, action) for action in router.step(clock, events))
            except Exception as error:  # any exception is reported as BROKEN
                self._fail(instance, f"{type(error).__name__}: {error}{_location(error)}", actions)
        return simulator_protocol.encode(actions)

    def _start(
        self, instance: int, record: simulator_protocol.InstanceStarted, actions: list
    ) -> None:
        self._failed.discard(instance)
        self._routers.pop(instance, None)
        try:
            self._routers[instance] = RoutingPolicy(
                operator_settings.parse_settings(record.settings_json), record.seed
            )
        except (ValueError, TypeError) as error:
            self._fail(instance, str(error), actions)

    def _fail(self, instance: int, text: str, actions: list) -> None:
        self._failed.add(instance)
        self._routers.pop(instance, None)
        actions.append((instance, simulator_protocol.InstanceFailed(text)))


def _location(error: BaseException) -> str:
    trace = error.__traceback__
    while trace is not None and trace.tb_next is not None:
        trace = trace.tb_next
    return "" if trace is None else f" (line {trace.tb_lineno} of {trace.tb_frame.f_code.co_name})"


def _read(source: BinaryIO, size: int) -> bytes:
    """Read `size` bytes, or fewer at the end of the input."""
    data = b""
    while len(data) < size:
        chunk = source.read(size - len(data))
        if not chunk:
            break
        data += chunk
    return data


def serve(source: BinaryIO, target: BinaryIO) -> None:
    """Reply to frames until the input ends; raise FrameError for a truncated frame."""
    host = RouterHost()
    while length := _read(source, 4):
        size = int.from_bytes(length, "little")
        if (
            len(length) < 4
            or not simulator_protocol.HEADER.size <= size <= simulator_protocol.MAX_FRAME_BYTES
        ):
            raise simulator_protocol.FrameError(f"byte 0: {length.hex()} is not a valid frame size")
        target.write(host.handle_frame(length + _read(source, size - 4)))
        target.flush()


def main() -> int:
    """Serve standard input.

    Return 0 at its end, 1 if standard output was closed, and 2 for a frame that cannot be decoded.
    """
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except simulator_protocol.FrameError as error:
        print(f"simulator adapter: unreadable frame: {error}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
