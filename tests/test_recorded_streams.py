"""Replayed streams give exactly the actions that were recorded with them."""

import msgspec
import pytest
import recorded_streams as recorded

STREAMS = sorted(recorded.FOLDER.glob(f"*{recorded.SUFFIX}"))


@pytest.mark.parametrize("path", STREAMS, ids=lambda path: path.stem)
def test_a_recorded_stream_gives_the_recorded_actions(path):
    for number, (step, actions) in enumerate(recorded.Stream.read(path).replay()):
        encoded = recorded.encode(actions, recorded.ACTIONS)
        assert encoded == step.actions, (
            number,
            step.now,
            actions,
            msgspec.msgpack.decode(step.actions),
        )


def test_no_recorded_stream_is_missing():
    assert len(STREAMS) == 42
