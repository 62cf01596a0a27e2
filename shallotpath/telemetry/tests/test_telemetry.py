import json
import logging
from datetime import UTC, datetime, timedelta

from aiohttp import ClientSession
from pythonjsonlogger.json import JsonFormatter

from shallotpath.core import ManualClock, Ping, decode_stamped, encode
from shallotpath.standins import serve
from shallotpath.telemetry import (
    HybridClock,
    ProcessTelemetry,
    TimelineFilter,
    configure_logging,
    format_html,
    format_text,
    make_admin_app,
    merge_events,
    parse_lines,
)


def make_telemetry(name, clock):
    return ProcessTelemetry(name, "bne-a", hlc=HybridClock(clock))


def test_a_message_orders_events_although_the_clocks_disagree():
    # Guards against a received message that appears before it was sent.
    ahead, behind = ManualClock(), ManualClock()
    ahead.advance(timedelta(seconds=5))
    a, b = make_telemetry("a", ahead), make_telemetry("b", behind)
    a.trace("sent", {"request": "r1"})
    b.hlc.observe(a.hlc.tick())
    b.trace("received", {"request": "r1"})
    merged = merge_events([*b.events_, *a.events_])
    assert [event.kind for event in merged] == ["sent", "received"]


def test_stamps_fit_a_frame_until_the_year_2200():
    # Guards against stamps that the codec cannot encode: all frames are dropped.
    clock = ManualClock(datetime(2200, 1, 1, tzinfo=UTC))
    message = Ping(1)
    stamp = HybridClock(clock).tick()
    assert decode_stamped(encode(message, stamp)) == (stamp, message)


def test_the_clock_never_goes_back():
    # Guards against events that are reordered after a step of the wall clock.
    clock = ManualClock()
    hlc = HybridClock(clock)
    first = hlc.tick()
    clock.advance(timedelta(seconds=-10))
    assert hlc.tick() > first


def test_the_time_line_can_be_filtered_and_is_escaped(snapshot):
    # Guards against field values that inject markup into the page.
    telemetry = make_telemetry("agent-1", ManualClock())
    telemetry.trace("call_started", {"request": "r1", "path": "<script>"})
    telemetry.trace("call_started", {"request": "r2"})
    selected = merge_events(telemetry.events_, TimelineFilter(request="r1"))
    assert format_text(selected) == snapshot
    page = format_html(selected)
    assert "&lt;script&gt;" in page
    assert "r2" not in page


async def test_endpoints_serve_metrics_status_and_events():
    # Guards against an endpoint that operators' tools cannot read.
    telemetry = make_telemetry("agent-1", ManualClock())
    telemetry.count("refused", {"code": "overloaded"}, 2)
    telemetry.gauge("held_bytes", {}, 5)
    telemetry.trace("drain_started", {})
    app = make_admin_app(telemetry, lambda: {"id": "agent-1"})
    async with serve(app) as url, ClientSession() as session:
        text = await (await session.get(f"{url}/metrics")).text()
        assert 'shallot_refused_total{code="overloaded"' in text
        assert "shallot_process_cpu_seconds{" in text
        assert await (await session.get(f"{url}/status")).json() == {"id": "agent-1"}
        page = await (await session.get(f"{url}/events?after=0")).json()
        assert [event["kind"] for event in page["events"]] == ["drain_started"]
        page = await (await session.get(f"{url}/events?after=1")).json()
        assert page == {"events": []}
    assert telemetry.metrics.value("refused", {"code": "overloaded"}) == 2
    assert telemetry.metrics.value("never_set") == 0


async def test_events_after_what_is_no_number_are_refused():
    # Guards against a 500 and a traceback for a mistyped query.
    app = make_admin_app(make_telemetry("agent-1", ManualClock()), dict)
    async with serve(app) as url, ClientSession() as session:
        assert (await session.get(f"{url}/events?after=x")).status == 400


def test_libraries_write_no_line_for_each_request(monkeypatch):
    # Guards against a log that is flooded with lines about no change of state.
    monkeypatch.setattr(logging.getLogger(), "handlers", [])
    configure_logging()
    assert not logging.getLogger("transitions.core").isEnabledFor(logging.INFO)
    assert logging.getLogger("shallotpath").isEnabledFor(logging.INFO)


def test_log_lines_are_json():
    # Guards against log lines that a collector cannot parse.
    records = []
    logger = logging.Logger("test")
    handler = logging.Handler()
    handler.emit = records.append
    logger.addHandler(handler)
    telemetry = ProcessTelemetry("agent-1", logger=logger)
    telemetry.log("limit_reset", {"reason": "incarnation"})
    line = json.loads(JsonFormatter("%(message)s").format(records[0]))
    assert line["message"] == "limit_reset"
    assert line["fields"] == {"reason": "incarnation"}


LINES = """\
   0.1726 edge-1 {"levelname": "INFO", "message": "request", "request": "q1", \
"outcome": "refused", "steps": ["+0.2ms to i-7", "+9.5ms misdirected"], \
"node": "edge-1", "time": "2026-02-11T22:08:47.172+00:00"}
{"levelname": "INFO", "message": "upstream_gone", "upstream": "i-7", \
"node": "edge-2", "time": "2026-02-11T22:08:47.100+00:00"}
a line of another program
{"message": "cut
"""


def test_log_lines_of_several_processes_become_one_timeline():
    # Guards against events that are lost or misordered when read from log lines.
    events, unreadable = parse_lines(LINES.splitlines())
    assert unreadable == 2
    merged = merge_events(events)
    assert [event.kind for event in merged] == ["upstream_gone", "request"]
    assert "22:08:47.172" in format_text(merged)
    selected = merge_events(events, TimelineFilter(request="q1"))
    assert selected[0].fields["steps"] == "+0.2ms to i-7; +9.5ms misdirected"
    # The text filter finds an upstream in the steps of requests as well.
    assert len(merge_events(events, TimelineFilter(text="i-7"))) == 2
