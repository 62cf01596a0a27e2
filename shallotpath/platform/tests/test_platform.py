"""Settings, records and headers of the platform."""

import json
from datetime import timedelta

import pytest
from multidict import CIMultiDict, CIMultiDictProxy

from shallotpath.core import SettingError
from shallotpath.forwarding import OutgoingFields
from shallotpath.gateway import DomainDisabled, DomainEnabled, RouteKind, ServerLoad
from shallotpath.platform import (
    METRICS_PORT_VARIABLE,
    CallError,
    PlatformHeaderCodec,
    RecordError,
    decode_operator_record,
    decode_upstream,
    parse_process_settings,
)
from shallotpath.platform._engine_calls import decode_engine_state, decode_manifest
from shallotpath.platform._store import _decode_page

SETTINGS = """
node=edge-a-1
class=edge
ip=10.1.0.40
zone=a-1
region=a
zones.a-1=a
zones.b-1=b
listen.front=10.1.0.40:8005
listen.ready=10.1.0.40:8002
listen.control=10.1.0.40:8000
internalPorts=7700,7715
seeds=10.1.0.40:8000,10.2.0.37:8000
limits.linkMbps=8
bounds.budgetExtra=102
bounds.version_ms=8000
platform.address=10.200.1.7:8007
something.new=1
"""

ROUTE = {
    "name": "r",
    "host": "h",
    "pathPrefix": "/a/",
    "kind": "streaming",
    "timeoutMs": 6000,
    "targetLatencyMs": 405,
    "priority": 1,
    "service": "llm",
    "maxAttempts": 2,
    "public": False,
    "canResume": True,
    "gapTargetMs": 400,
    "allowedRegions": ["a"],
}
ENGINE = {
    "slots": 16,
    "kvTokens": 317000,
    "stride": 5,
    "models": [{"name": "m", "warmS": 0.3}],
    "step_ms": 9.27,
    "read_per_s": 20700.0,
    "chunk": 2048,
}
CONFIG = {
    "version": 7,
    "routes": [ROUTE],
    "services": [
        {"name": "llm", "coldPerS": 26.0, "engine": ENGINE},
        {"name": "files", "origin": "172.20.0.3:8006", "zone": "a-1"},
    ],
    "tenants": [{"name": "t", "apiKeys": ["k1", "k2"], "priority": 0}],
}
UPSTREAM = {
    "service": "llm",
    "address": "10.128.0.9:8080",
    "zone": "a-1",
    "slots": 16,
    "state": "ready",
    "coldLeftMs": 1500,
    "models": [{"name": "m", "version": 2}],
    "born": 12,
}


def test_settings_are_read_and_unknown_keys_ignored():
    # Guards against a start that fails once the platform adds a key.
    settings = parse_process_settings(SETTINGS)
    assert settings.region == "a"
    assert (settings.callers.host, settings.callers.port) == ("10.1.0.40", 8005)
    assert settings.peer_port == 7700
    assert [str(seed) for seed in settings.seeds] == [
        "10.1.0.40:8000",
        "10.2.0.37:8000",
    ]
    assert settings.link_bytes_per_s == 1_000_000
    assert settings.version_bound == timedelta(seconds=8)


def test_all_faults_of_a_settings_file_are_named_with_a_remedy():
    # Guards against an operator who has to correct one fault per start.
    text = SETTINGS.replace("node=edge-a-1\n", "").replace(":8007", "")
    text = text.replace("budgetExtra=102", "budgetExtra=many")
    with pytest.raises(SettingError) as caught:
        parse_process_settings(text)
    message = caught.value.message
    assert "node is missing; add a line" in message
    assert "platform.address" in message
    assert "budgetExtra=many is not a number" in message


@pytest.mark.parametrize("value", ["nan", "inf", "-inf"])
def test_setting_that_is_no_finite_number_is_a_fault(value):
    # Guards against a limit that every comparison passes or fails.
    text = SETTINGS.replace("budgetExtra=102", f"budgetExtra={value}")
    with pytest.raises(SettingError, match="budgetExtra=.* is not a number"):
        parse_process_settings(text)


def test_port_of_the_metrics_comes_from_the_environment():
    # Guards against metrics that are missing at the port that the deployment declares.
    assert parse_process_settings(SETTINGS).metrics_port is None
    settings = parse_process_settings(SETTINGS, {METRICS_PORT_VARIABLE: "9464"})
    assert settings.metrics_port == 9464
    for value in ("seven", "0", "65536"):
        with pytest.raises(SettingError, match="is not a port; use one such as"):
            parse_process_settings(SETTINGS, {METRICS_PORT_VARIABLE: value})


def test_fields_of_the_configuration_are_decoded():
    # Guards against a field of the configuration that is lost or mistaken.
    record = decode_operator_record("config", json.dumps(CONFIG).encode())
    catalog = record.catalog
    route = catalog.match("h", "/a/x")
    assert route.kind is RouteKind.STREAM
    assert route.repeatable
    assert route.regions == {"a"}
    assert catalog.teams_by_key["k2"].priority == 0
    assert catalog.services_by_id["llm"].engine.steps_per_pass == 5
    assert catalog.origins_by_id["files"].address == "172.20.0.3:8006"


def test_evacuation_record_disables_and_its_removal_enables_a_domain():
    # Guards against a domain that stays in or out of service against the operator.
    assert decode_operator_record("evacuate/a-1", b"{}") == DomainDisabled("a-1")
    assert decode_operator_record("evacuate/a-1", None) == DomainEnabled("a-1")


@pytest.mark.parametrize(
    "change",
    [
        {"routes": [ROUTE | {"kind": "unknown"}]},
        {"routes": [ROUTE | {"timeoutMs": "soon"}]},
        {"services": None},
    ],
)
def test_bad_configuration_is_an_error_that_names_the_remedy(change):
    # Guards against a faulty record that is applied or stops the reader.
    value = json.dumps(CONFIG | change).encode()
    with pytest.raises(RecordError, match="last valid record stays in force"):
        decode_operator_record("config", value)


@pytest.mark.parametrize(
    "value",
    [
        b"\xff\x00",
        b"[]",
        b"{}",
        json.dumps(UPSTREAM | {"state": "unknown"}).encode(),
        json.dumps(UPSTREAM | {"address": 5}).encode(),
        json.dumps(UPSTREAM | {"slots": None}).encode(),
        json.dumps(UPSTREAM | {"models": ["m"]}).encode(),
    ],
)
def test_unreadable_records_of_upstreams_raise_record_errors(value):
    # Guards against a reader that stops at a faulty record of another program.
    with pytest.raises(RecordError):
        decode_upstream("i-1", value)


def test_record_of_an_upstream_is_decoded():
    # Guards against a field of an upstream that is lost or mistaken.
    record = decode_upstream("i-1", json.dumps(UPSTREAM).encode())
    assert record.versions_by_model == {"m": 2}
    assert record.cold_remaining == timedelta(milliseconds=1500)
    assert not record.draining


def record(key, value):
    content = bytes([len(key)]) + key + value
    return len(content).to_bytes(4, "big") + content


def test_page_of_the_log_is_decoded_with_offsets_and_removals():
    # Guards against a wrong offset, a missed removal and a truncated last record.
    body = bytes(16) + record(b"a", b"1") + record(b"b", b"") + b"\x00\x00"
    page = _decode_page(body, 40)
    assert [(r.key, r.value, r.offset) for r in page.records] == [
        ("a", b"1", 40),
        ("b", None, 41),
    ]
    assert page.end == 42


def test_records_that_cannot_be_read_are_skipped():
    # Guards against a reader that never gets past a record that it cannot decode.
    empty, bad_key = bytes(4), b"\x00\x00\x00\x03\x01\xff1"
    cut_key = b"\x00\x00\x00\x02\x09a"
    body = bytes(16) + empty + bad_key + cut_key + record(b"a", b"1")
    page = _decode_page(body, 7)
    assert [(r.key, r.offset) for r in page.records] == [("a", 10)]
    assert (page.end, page.unreadable) == (11, 3)


def test_report_of_an_engine_without_weights_is_decoded():
    # Guards against an engine that gets no weights because its first report fails.
    state = decode_engine_state(b'{"models":[],"busy":true,"pace":2.5,"born":3}')
    assert (state.models, state.ordering, state.pace) == ([], True, 2.5)


def test_headers_that_only_the_system_sets_are_replaced():
    # Guards against a caller that sets its own team, version or upstream.
    raw = [
        (b"Host", b"h"),
        (b"X-Api-Key", b"secret"),
        (b"shallotpath-tenant", b"forged"),
        (b"Shallotpath-Expect-Version", b"9"),
        (b"Path", b"1.2.3.4:5=0-4"),
        (b"Connection", b"close"),
        (b"Shallotpath-Request-Id", b"q1"),
        (b"X-Odd", b"kept  as is"),
    ]
    outgoing_fields = OutgoingFields(
        "i-1", timedelta(milliseconds=1234.9), "team", 2, 4, "12"
    )
    headers = PlatformHeaderCodec().outgoing(raw, outgoing_fields)
    assert headers == [
        (b"Host", b"h"),
        (b"Shallotpath-Request-Id", b"q1"),
        (b"X-Odd", b"kept  as is"),
        (b"Shallotpath-Deadline-Ms", b"1234"),
        (b"Shallotpath-Expect-Instance", b"i-1"),
        (b"Shallotpath-Tenant", b"team"),
        (b"Shallotpath-Expect-Version", b"2"),
        (b"Shallotpath-Request-Priority", b"4"),
        (b"Last-Event-Id", b"12"),
    ]


@pytest.mark.parametrize("value", ["", "soon", "1e999"])
def test_unreadable_numbers_of_callers_count_as_absent(value):
    # Guards against a request that fails on a malformed optional header.
    headers = CIMultiDict(
        {"Shallotpath-Deadline-Ms": value, "Shallotpath-Token-Counts": value}
    )
    fields = PlatformHeaderCodec().read_request(CIMultiDictProxy(headers))
    assert fields.caller_timeout is None
    assert (fields.prompt_tokens, fields.output_tokens) == (0, 0)


ODD_BODIES = (
    b"[" * 100_000,
    b'{"a": ' * 100_000,
    b'{"models": [], "pace": 1' + b"0" * 400 + b"}",
    b'{"models": [{"name": "m", "layers": "0-16"}], "digests": 5}',
    b'{"models": 7, "digests": null, "held": [1e300, "x"]}',
)


@pytest.mark.parametrize("body", ODD_BODIES)
@pytest.mark.parametrize("decode", [decode_engine_state, decode_manifest])
def test_odd_bodies_raise_the_error_that_callers_handle(decode, body):
    # Guards against a loop of a sidecar that ends because of one odd answer.
    with pytest.raises(CallError, match="cannot be decoded"):
        decode(body)


def read_response(*fields):
    headers = CIMultiDictProxy(CIMultiDict(fields))
    return PlatformHeaderCodec().read_response(headers)


SENT = "Sat, 05 Dec 2026 12:00:00 GMT"
DAY = timedelta(days=1)


@pytest.mark.parametrize(
    ("values", "seconds"),
    [
        (["6"], 6),
        (["0.25"], 0.25),
        (["2", "8", "x"], 8),
        (["Sat, 05 Dec 2026 12:00:07 GMT"], 7),
        (["Sat, 05 Dec 2026 11:00:00 GMT"], None),
        (["9" * 400], DAY.total_seconds()),
        (["inf"], DAY.total_seconds()),
        (["-5"], None),
        (["-inf"], None),
        (["nan"], None),
        (["soon"], None),
    ],
)
def test_delays_that_upstreams_ask_for_are_bounded(values, seconds):
    # Guards against an upstream that is never used again, and against an answer that
    # is lost, because of one odd header.
    fields = read_response(("Date", SENT), *(("Retry-After", v) for v in values))
    expected = None if seconds is None else timedelta(seconds=seconds)
    assert fields.retry_after == expected


def test_keep_alive_time_out_of_range_is_bounded():
    # Guards against an answer that is lost because of a number in its head.
    fields = read_response(("Keep-Alive", "timeout=" + "9" * 30))
    assert fields.keep_alive == DAY


@pytest.mark.parametrize(
    ("text", "load"),
    [
        ("3,0,8", ServerLoad(3, 0, 8)),
        (" 6, 2 ,6,250", ServerLoad(6, 2, 6, 250)),
        *((text, None) for text in ("", "3", "3,0", "1,2,3,4,5", "3,0,8,", "a,b,c")),
        *(
            (text, None)
            for text in ("-1,0,8", "1,-2,8", "1,0,0", "1,0,8,0", "1,0,8,-5")
        ),
        *(
            (text, None)
            for text in ("9" * 1000 + ",0,8", "9999999,0,8", "1.5,0,8", "²,0,8")
        ),
    ],
)
def test_load_report_is_read_or_counts_as_unreadable(text, load):
    # Guards against an answer that is lost, and a placement that is led astray, by an
    # odd report.
    fields = read_response(("Shallotpath-Server-Load", text))
    assert (fields.load, fields.load_unreadable) == (load, load is None)
    assert not read_response().load_unreadable
