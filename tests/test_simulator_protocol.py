"""The codec against the byte layouts of the protocol page, and the adapter as a subprocess."""

import json
import struct
import subprocess
import sys
from pathlib import Path

import pytest

from tansycrank import operator_settings, routing, simulator_protocol

ROOT = Path(__file__).parent.parent
EMPTY_FRAME = bytes.fromhex("1000000000000000206ec04000000000")
THREE_EVENTS_FRAME = bytes.fromhex(
    "b8000000"
    "00000000206ec040"
    "03000000"
    "050300c4913a5d13110a000000003e00000000000028400000000056430000640ad2557c3bf0910000000000006e400100000000"
    "00000000"
    "0803004d00000000000000" + "00" * 45 + "0a0500192b6f0ee9560000" + "00" * 45
)
SETTINGS = {
    "caps": {
        "attemptsCap": 3,
        "cancel": True,
        "maxRetryAfter": 500.0,
        "mayProbe": True,
        "openCap": 109,
        "peers": True,
        "retryAfter": True,
        "secondCopies": True,
        "new": 1,
    },
    "clients": {"marksRetry": True},
    "discovery": "push",
    "familyInfo": {
        "bundleMax": 1,
        "followUp": [5],
        "inARow": 1,
        "minShare": [1.0],
        "perCallWork": 0.0,
        "positions": 1,
        "shortWorth": [0.9],
        "slabs": 2,
        "wholeAt": [1.0],
    },
    "localities": ["a"],
    "me": 0,
    "replicasOfMe": 3,
    "step": 5.0,
    "zone": 0,
    "unheardOf": {},
    "prices": {"crossZone": 0.04, "lateFail": 0.08, "probe": 0.01, "waste": 0.03},
    "rules": {
        "askEvery": 10000.0,
        "cold": 16000.0,
        "coldFrom": 0.17,
        "fall": 1500.0,
        "graceToAnswer": 20.0,
        "overloadFactor": 4.0,
        "stopSendingWithin": 500.0,
    },
    "services": [
        {
            "aim": 4000.0,
            "effect": "read_like",
            "giveUp": 12000.0,
            "lateWorth": 0.0,
            "points": 2.0,
            "window": 5000.0,
        }
    ],
}


def frame(*records, clock=5000.0, tail=b""):
    body = b"".join(record.ljust(56, b"\0") for record in records) + tail
    return struct.pack("<IdI", 16 + len(body), clock, len(records)) + body


def attach(instance, settings_json, at=0):
    return struct.pack("<BHQII", 1, instance, 42, at, len(settings_json))


def request(instance, id, shard=-1.0, number=1, measure=1.0):
    return struct.pack(
        "<BHQfdHfHQdBf", 5, instance, id, measure, 0.0, 0, number, 0, 0, 9000.0, 0, shard
    )


def start_frame(*instances):
    """A frame that starts instances, each with an endpoint list of one endpoint."""
    settings_json = json.dumps(SETTINGS).encode()
    entry = struct.pack("<HfIBBdH", 0, 1.0, 77, 0, 2, 0.0, 0)
    records = []
    for instance in instances:
        records += [
            attach(instance, settings_json),
            struct.pack("<BBII", 7, 0, len(settings_json), 1),
            struct.pack("<BHBIB", 2, instance, 3, 1, 0),
        ]
    return frame(*records, tail=settings_json + entry)


def run_adapter(data):
    return subprocess.run(
        [sys.executable, "-m", "tansycrank.simulator_adapter"],
        input=data,
        capture_output=True,
        cwd=ROOT,
    )


def replies(data):
    """The action records of each reply."""
    records = []
    while data:
        size, count = struct.unpack_from("<II", data)
        records.append([data[8 + 24 * i : 32 + 24 * i] for i in range(count)])
        data = data[size:]
    return records


def test_the_example_frames_of_the_page_are_decoded():
    assert simulator_protocol.Decoder().decode(EMPTY_FRAME) == (8412.25, [])
    clock, records = simulator_protocol.Decoder().decode(THREE_EVENTS_FRAME)
    assert clock == 8412.25
    (first, shard_request), (_, expired), (last, cancelled) = records
    assert (first, last) == (3, 5)
    assert shard_request == routing.ShardRequestArrived(
        0x000A11135D3A91C4, 214, 0, 0.125, 0x91F03B7C55D20A64
    )
    assert expired == routing.TimerExpired(77) and cancelled == routing.QueryCancelled(
        0x000056E90E6F2B19
    )


def test_the_example_endpoint_list_of_the_page_is_decoded():
    tail = bytes.fromhex(
        "00000000803f074a120300020000000000000000000000000000c03ff211902c01020000000000d4b7400000"
    )
    data = frame(
        bytes.fromhex("07000000000002000000"), bytes.fromhex("020300032900000000"), tail=tail
    )
    _, [(instance, event)] = simulator_protocol.Decoder().decode(data)
    assert instance == 3 and event.kind is routing.EndpointListKind.CACHED
    assert event.entries[0] == routing.EndpointEntry(
        0x03124A07, 0, 0, routing.EndpointStatus.IN_SERVICE, 0.0, 1.0
    )
    assert event.entries[1].started_at == 6100.0 and event.entries[1].zone == 1


def test_the_example_outcomes_of_the_page_are_decoded():
    attempt_ended = bytes.fromhex("090300c4913a5d13110a0000074a12030a000000000080324001")
    health_check_ended = bytes.fromhex("0b03000af211902c666666666666f63f0152b81e3f")
    _, [(_, attempt), (_, health_check)] = simulator_protocol.Decoder().decode(
        frame(attempt_ended, health_check_ended)
    )
    assert attempt == routing.AttemptEnded(
        0x000A11135D3A91C4, 0, 0x03124A07, routing.Outcome.SUCCEEDED, 18.5, True, ()
    )
    assert health_check.endpoint == 0x2C9011F2 and health_check.load == (pytest.approx(0.62),)


@pytest.mark.parametrize(
    "action, record",
    [
        (
            routing.Send(0x000A11135D3A91C4, 0x03124A07, 80.0),
            "4d0300c4913a5d13110a00074a12030000000000005440",
        ),
        (routing.SetTimer(500.0, 77), "4c03000000000000407f404d00000000000000"),
        (routing.Cancel(0x000A11135D3A91C4, 0), "410300c4913a5d13110a0000"),
        (routing.Reject(0x000056E90E6F2B19, 250.0), "430300192b6f0ee95600000000000000406f40"),
        (routing.Fail(0x000056E90E6F2B19), "450300192b6f0ee9560000"),
        (routing.Answer(0x000056E90E6F2B19, True), "440300192b6f0ee956000001"),
        (routing.CheckHealth(0x2C9011F2), "480300f211902c"),
        (routing.CloseIdleConnections(0x2C9011F2), "4b0300f211902c"),
        (routing.PollEndpoints(), "490300"),
        (routing.WatchEndpoints(True), "4a030001"),
    ],
)
def test_actions_are_encoded_as_on_the_page(action, record):
    raw = bytes.fromhex(record).ljust(24, b"\0")
    assert simulator_protocol.encode([(3, action)]) == struct.pack("<II", 32, 1) + raw


def test_log_messages_and_gossip_are_encoded_in_the_tail():
    message = simulator_protocol.encode([(3, routing.LogMessage("two servers known"))])
    assert (
        message
        == bytes.fromhex("31000000010000004603000000000011000000").ljust(32, b"\0")
        + b"two servers known"
    )
    gossip = simulator_protocol.encode([(3, routing.SendGossip(None, b"hi 7"))])
    assert gossip[8:20].hex() == "420300ffffffff0000000004" and gossip.endswith(b"hi 7")


@pytest.mark.parametrize(
    "data, error",
    [
        (EMPTY_FRAME[:9], "shorter than its header"),
        (frame(b"\x63"), "unknown event code 99"),
        (frame(b"\x08")[:40], "byte 0"),
        (struct.pack("<IdI", 16, 1.0, 4), "byte 12"),
        (frame(struct.pack("<BHBIB", 2, 1, 0, 1, 9)), "unknown buffer 9"),
        (frame(struct.pack("<BHQII", 1, 1, 1, 0, 50)), "are beyond the tail"),
        (frame(bytes.fromhex("090300c4913a5d13110a0000074a12030b")), "unknown disposition 11"),
    ],
)
def test_an_invalid_frame_raises_an_error_that_gives_the_reason(data, error):
    with pytest.raises(simulator_protocol.FrameError, match=error):
        simulator_protocol.Decoder().decode(data)


def test_settings_are_parsed_and_an_error_gives_the_path_of_a_missing_key():
    settings = operator_settings.parse_settings(json.dumps(SETTINGS))
    assert (
        settings.budget_window is None
        and settings.classes[0].follow_up == 5
        and not settings.polls_discovery
    )
    for table, key in (("rules", "coldFrom"), ("caps", "openCap"), ("familyInfo", "slabs")):
        incomplete = json.loads(json.dumps(SETTINGS))
        del incomplete[table][key]
        with pytest.raises(ValueError, match=f"settings.{table}.{key}"):
            operator_settings.parse_settings(json.dumps(incomplete))
    incomplete = json.loads(json.dumps(SETTINGS))
    del incomplete["services"][0]["aim"]
    with pytest.raises(ValueError, match=r"settings.services\[0\].aim"):
        operator_settings.parse_settings(json.dumps(incomplete))


def test_the_adapter_serves_several_instances_and_exits_without_output_on_stderr():
    data = start_frame(1, 2) + frame(
        request(1, 10), request(1, 11, 0.0), request(2, 20), request(2, 21, 1.0)
    )
    completed = run_adapter(data)
    assert completed.returncode == 0 and not completed.stderr
    _, second = replies(completed.stdout)
    assert sorted((r[1], r[3]) for r in second if r[0] == simulator_protocol.SUBMIT_TO) == [
        (1, 11),
        (2, 21),
    ]


def test_the_adapter_drops_a_killed_instance_and_starts_it_again():
    data = (
        start_frame(1)
        + frame(request(1, 10), request(1, 11, 0.0))
        + frame(struct.pack("<BH", 3, 1))
    )
    data += start_frame(1) + frame(request(1, 12), request(1, 13, 0.0))
    *_, killed, _attached, last = replies(run_adapter(data).stdout)
    assert killed == []
    assert [r[3] for r in last if r[0] == simulator_protocol.SUBMIT_TO] == [13]


def test_the_adapter_reports_one_instance_as_broken_and_serves_the_others():
    invalid = b'{"caps": {}}'
    data = (
        start_frame(1)
        + frame(attach(2, invalid), tail=invalid)
        + frame(request(1, 10), request(1, 11, 0.0))
    )
    completed = run_adapter(data)
    assert completed.returncode == 0
    _, failed, served = replies(completed.stdout)
    assert (
        failed[0][0] == simulator_protocol.BROKEN and b"required key is missing" in completed.stdout
    )
    assert any(r[0] == simulator_protocol.SUBMIT_TO for r in served)


@pytest.mark.parametrize(
    "data", [frame(b"\x63"), EMPTY_FRAME[:3], EMPTY_FRAME[:9], b"\xff\xff\xff\xff"]
)
def test_the_adapter_exits_with_an_error_message_on_an_invalid_frame(data):
    completed = run_adapter(data)
    assert completed.returncode == 2
    assert b"unreadable frame" in completed.stderr and b"Traceback" not in completed.stderr
