"""The page of events that an earlier release printed."""

import json
from datetime import UTC, datetime

import pytest
from aiohttp.test_utils import make_mocked_request

from shallotpath.core import ManualClock
from shallotpath.core.tests.recorded_values import load_recorded
from shallotpath.telemetry import (
    HybridClock,
    ProcessTelemetry,
    TraceEvent,
    make_admin_app,
)

RECORDED = load_recorded(__file__, "events.json")
QUERIES = {"all": "", "after_1": "?after=1", "after_3": "?after=3"}


def make_telemetry():
    clock = ManualClock(datetime(2026, 3, 1, 12, tzinfo=UTC))
    telemetry = ProcessTelemetry("agent-1", "bne-a", hlc=HybridClock(clock))
    telemetry.trace("call_started", {"request": "r1", "path": "<generate>"})
    telemetry.trace("call_ended", {"request": "r1", "run": "yes"})
    telemetry.trace("config_applied", {})
    return telemetry


@pytest.mark.parametrize("name", QUERIES)
async def test_events_are_printed_as_recorded(name):
    # Guards against a renamed field of an event or of the page: `shallot-timeline` of
    # another release would take the process for unreachable.
    app = make_admin_app(make_telemetry(), dict)
    (handler,) = (
        route.handler
        for route in app.router.routes()
        if (route.method, route.resource.canonical) == ("GET", "/events")
    )
    response = await handler(make_mocked_request("GET", f"/events{QUERIES[name]}"))
    assert response.content_type == "application/json"
    assert response.body.decode() == RECORDED[name]


def test_recorded_events_are_read_by_their_names():
    # Guards against a time line that cannot read the events of an earlier release.
    events = [TraceEvent(**event) for event in json.loads(RECORDED["all"])["events"]]
    assert events == make_telemetry().events_after(0)
