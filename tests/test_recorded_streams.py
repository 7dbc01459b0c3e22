"""The decisions on recorded streams are the same as when the streams were recorded, to the last
digit.
"""

import msgspec
import pytest
import recorded_streams as recorded

STREAMS = sorted(recorded.FOLDER.glob(f"*{recorded.SUFFIX}"))


@pytest.mark.parametrize("path", STREAMS, ids=lambda path: path.stem)
def test_a_recorded_stream_gives_the_same_actions(path):
    for number, (step, actions) in enumerate(recorded.Stream.read(path).replay()):
        done = recorded.encode(actions, recorded.ACTIONS)
        assert done == step.actions, (
            number,
            step.now,
            actions,
            msgspec.msgpack.decode(step.actions),
        )


def test_all_streams_are_there():
    assert len(STREAMS) == 42
