"""Settings and calls of duties."""

import asyncio
import json
from datetime import timedelta

import pytest
from aiohttp import web

from shallotpath.fleet.tests.standins import HOST, listen
from shallotpath.platform import (
    CallError,
    DutyClient,
    Endpoint,
    LeaseEndedError,
    parse_process_settings,
)

SETTINGS = """
node=edge-1
ip=127.0.0.1
zone=a-1
internalPorts=7700,7715
platform.address=127.0.0.1:8007
"""
DUTIES = (
    SETTINGS
    + """
cloud.address=127.0.0.1:8223
cloud.duties=usage_report,autoscale
cloud.dutyPerS=50.0
bounds.requireFence=false
bounds.leaseMs=3000
bounds.thawSlackMs=300
bounds.reportWindowS=5
bounds.usageOff=0.05
bounds.usageLateS=10
"""
)


def test_settings_of_duties_are_read():
    # Guards against a lease or a window of another length than the platform's.
    duties = parse_process_settings(DUTIES).duties
    assert duties.address == Endpoint("127.0.0.1", 8223)
    assert duties.reports_usage
    assert not duties.checks_token
    assert duties.lease == timedelta(seconds=3)
    assert duties.wake_slack == timedelta(milliseconds=300)
    assert duties.usage_window == timedelta(seconds=5)
    assert duties.usage_due == timedelta(seconds=10)


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        (SETTINGS, None),
        (SETTINGS + "bounds.reportWindowS=5\n", None),
        (DUTIES.replace("usage_report,", ""), False),
        (DUTIES.replace("reportWindowS=5", "reportWindowS=0"), False),
    ],
)
def test_duties_that_are_not_asked_for_are_off(text, expected):
    # Guards against calls and leases in deployments without duties.
    duties = parse_process_settings(text).duties
    assert (duties and duties.reports_usage) is expected


async def report(may_send, status=200):
    calls = []

    async def handle(request):
        fields = json.loads(await request.read())
        calls.append((request.method, request.path, dict(request.headers), fields))
        return web.Response(status=status)

    runner, port = await listen(handle)
    client = DutyClient(
        Endpoint(HOST, port), "edge-1", may_send, timedelta(seconds=2.7)
    )
    try:
        await client.report_usage(12, 353445120, {"team-a": 412})
    finally:
        await client.close()
        await runner.cleanup()
        report.calls = calls
    return calls


def test_report_has_the_holder_and_the_token():
    # Guards against a call that the platform reads as one of another holder.
    [(method, path, headers, fields)] = asyncio.run(report(lambda: True))
    assert (method, path) == ("POST", "/usage")
    assert headers["Shallotpath-Duty-Holder"] == "edge-1"
    assert headers["Shallotpath-Fencing-Token"] == "12"
    assert headers["Content-Type"] == "application/json"
    assert fields == {"window": 353445120, "counts": {"team-a": 412}}


def test_call_is_not_sent_once_the_lease_has_ended():
    # Guards against a call that waited for its connection while the lease ended.
    with pytest.raises(LeaseEndedError):
        asyncio.run(report(lambda: False))
    assert report.calls == []


def test_refused_report_names_the_status():
    # Guards against a report that counts as sent while the interface refuses it.
    with pytest.raises(CallError) as caught:
        asyncio.run(report(lambda: True, status=429))
    assert caught.value.status == 429
