"""Names and formats of the external interfaces: protocols, settings, deploy file and stored data.

The code maps them to its own terms at its boundaries. These tests spell the external forms out, so
that renames inside the program cannot change them unnoticed.
"""

import re
import tomllib
from pathlib import Path

import msgspec
import pytest

from tansycrank import config, operator_settings, simulator_protocol
from tansycrank.discovery import endpoint_view
from tansycrank.http_router import discovery_client, frames, request_codec, settings
from tansycrank.merge.spill import SpillSpace
from tansycrank.postgres import errors

ROOT = Path(__file__).parent.parent

SETTINGS_FILE = {
    "router": "me routers zone zones tick_ms seed stop_within_ms",
    "listen": "host port max_sessions max_message max_statement max_tokens max_prepared "
    "max_portals max_pending max_held login_timeout_ms",
    "store": "shards cells reach schema database user max_links connect_timeout_ms "
    "cancel_grace_ms idle_link_ms row_wait_ms",
    "merge": "process_bytes query_bytes max_row_bytes spill_dir spill_quota cursor_idle_ms "
    "max_cursors",
    "rules": "drain_grace_ms cold_multiple cold_window_ms cold_from cold_time_ms budget_floor "
    "budget_share "
    "budget_window_ms attempts_cap second_copies hold_off_max_ms price_crossing answer_grace_ms",
    "door": "enabled max_queued max_queued_bytes max_tenants max_places horizon_ms allow deny "
    "operators prefix4 prefix6",
    "roster": "feed file silence_ms max_line max_nodes",
    "log": "format level queries",
    "class": "aim_ms give_up_ms worth late_worth dedup_window_ms pattern weight",
    "distribution": "method type values",
    "table": "kind columns distribution column",
    "tenant": "networks users databases settings tenant weight min_share max_share burst_ms",
}

SQLSTATES = {
    "0A000",
    "08P01",
    "22003",
    "22023",
    "22P02",
    "22P03",
    "23514",
    "25006",
    "25P02",
    "26000",
    "34000",
    "42601",
    "42704",
    "42P01",
    "42P02",
    "42P03",
    "42P05",
    "42P18",
    "53200",
    "53300",
    "53400",
    "53T01",
    "54000",
    "54001",
    "54011",
    "57014",
    "57P01",
    "57P03",
    "58T01",
    "58T02",
    "XX000",
}


def keys(record):
    return [field.encode_name for field in msgspec.structs.fields(record)]


def test_the_settings_file_keeps_its_sections_and_keys():
    sections = config.SINGLE_SECTIONS | config.NAMED_SECTIONS
    assert {name: " ".join(keys(record)) for name, record in sections.items()} == SETTINGS_FILE


def test_the_settings_of_the_simulator_keep_their_keys():
    written = set(re.findall(r'"([A-Za-z_]+)"', Path(operator_settings.__file__).read_text()))
    expected = [
        "familyInfo",
        "caps",
        "clients",
        "rules",
        "prices",
        "services",
        "localities",
        "discovery",
        "me",
        "replicasOfMe",
        "zone",
        "step",
        "slabs",
        "positions",
        "inARow",
        "bundleMax",
        "perCallWork",
        "attemptsCap",
        "secondCopies",
        "cancel",
        "mayProbe",
        "peers",
        "retryAfter",
        "maxRetryAfter",
        "openCap",
        "marksRetry",
        "askEvery",
        "graceToAnswer",
        "stopSendingWithin",
        "overloadFactor",
        "fall",
        "coldFrom",
        "cold",
        "crossZone",
        "waste",
        "probe",
        "lateFail",
        "extraFloor",
        "repeatRatio",
        "countedOver",
        "aim",
        "giveUp",
        "points",
        "lateWorth",
        "window",
        "minShare",
        "wholeAt",
        "shortWorth",
        "followUp",
        "effect",
        "read_like",
        "idempotency_key",
        "non_idempotent",
        "ask",
        "push",
    ]
    assert set(expected) <= written


def test_the_codes_of_the_simulator_protocol_keep_their_numbers():
    assert sorted(simulator_protocol.EVENT_LAYOUTS) == [1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11]
    assert sorted(simulator_protocol.OUTCOMES) == [10, 20, 30, 40, 50, 60, 70, 80]
    assert (sorted(simulator_protocol.STATUSES), sorted(simulator_protocol.LIST_KINDS)) == (
        [0, 1, 2],
        [0, 1, 2, 3],
    )
    assert (
        simulator_protocol.DROP_ATTEMPT,
        simulator_protocol.SUBMIT_TO,
        simulator_protocol.ALL_PEERS,
    ) == (65, 77, 0xFFFFFFFF)


def test_frames_to_data_nodes_keep_their_bytes():
    frame = frames.encode_call([(b"q.7", 7, 120, b"text", b""), (b"r.0", 0, 5, b"", b"once~1")])
    assert frame == b"\x28\0\0\0Qq.7 7 d=120 4\ntextr.0 0 d=5,k=once~1 0\n"
    assert frames.encode_cancel(b"q.7") == b"\x04\0\0\0Xq.7"


@pytest.mark.parametrize("word", ["ok", "err", "busy"])
def test_frames_from_data_nodes_keep_their_format(word):
    body = b"Aq.7 %b 12 u=0.5,q=3\nvalue" % word.encode()
    [frame] = frames.FrameReader().feed(len(body).to_bytes(4, "little") + body)
    assert (frame.id, frame.load) == (b"q.7", (0.5, 3.0))


def test_responses_to_http_clients_keep_their_bytes():
    assert request_codec.encode_response(
        request_codec.Response(503, b"{}", 150.0), closes=True
    ) == (
        b"HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\n"
        b"Content-Length: 2\r\n"
        b"Retry-After: 0.150\r\nConnection: close\r\n\r\n{}"
    )
    assert (
        request_codec.query_answer(True, [(3, "v")]).body
        == b'{"complete":true,"hits":[{"shard":3,"doc":"v"}]}'
    )
    assert request_codec.error_response(503, "why").body == b'{"error":"why"}'


def test_requests_of_http_clients_keep_their_fields():
    headers = {
        b"x-request-id": b"id-1",
        b"x-deadline-ms": b"900",
        b"x-retry": b"1",
        b"idempotency-key": b"k~1",
    }
    body = b'{"shards":[{"shard":1,"weight":1.0,"cost":2,"key":"00000000000000ff"}],"q":"t"}'
    request = request_codec.decode_query(
        b"/look", b"obj=00000000000000aa", headers, body, {"look": 0}, 4
    )
    assert (request.id, request.deadline, request.is_retry, request.key) == (
        b"id-1",
        900.0,
        True,
        0xAA,
    )


def test_endpoint_lists_of_discovery_keep_their_fields():
    document = b"""{"version":3,"full":true,"servers":[{"id":"n1","state":"in_service","addr":
    "10.0.0.1:7",
    "zone":"z",    "cell":2,"weight":0.5,"started_ms":8.0}]}"""
    decoded = msgspec.json.decode(document, type=settings.EndpointListDocument)
    assert msgspec.json.decode(msgspec.json.encode(decoded)) == msgspec.json.decode(document)
    assert "/api/targets?watch=1&after=" in Path(discovery_client.__file__).read_text()


def test_lines_of_the_feed_keep_their_fields():
    document = b"""{"kind":"changes","version":3,"epoch":9,"nodes":[{"id":1,"host":"h","port":7,
    "cell":2,
    "zone":"z","status":"draining","started":8.0}]}"""
    decoded = msgspec.json.decode(document, type=endpoint_view.FeedLine)
    assert msgspec.json.decode(msgspec.json.encode(decoded)) == msgspec.json.decode(document)


def test_sqlstates_keep_their_codes():
    defined = {
        value for name, value in vars(errors).items() if name.isupper() and isinstance(value, str)
    }
    assert defined == SQLSTATES


def test_spilled_blocks_keep_their_format(tmp_path):
    run = SpillSpace(str(tmp_path), 1 << 20).create_run()
    run.append(b"rows")
    assert run.size == 16 + 13  # raw length, stored length, XXH3 of the raw bytes; zstandard data
    assert run.read() == b"rows"
    run.close()


def test_the_deploy_file_keeps_its_keys():
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    assert sorted(deploy) == ["build", "node", "packages", "policy", "run", "sim"]
    paths = [*deploy["policy"], *deploy["node"]]
    assert all((ROOT / path).exists() for path in paths)
    assert all((ROOT / path).exists() for path in re.findall(r"tansycrank/\S+", deploy["build"]))
