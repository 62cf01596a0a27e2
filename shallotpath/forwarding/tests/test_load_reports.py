"""Upstreams that report their load in their responses."""

import pytest

from shallotpath.gateway import RouteKind, ServerLoad

from .helpers import Upstream, make_world, ms, reply

REPORT = "Shallotpath-Server-Load: 5,1,6,250"
REFUSED = {"status": "503 Full", "sealed": False}
ONCE = {"kind": RouteKind.ONCE}


@pytest.mark.parametrize(
    ("step", "route"),
    [
        (reply(b"ok", extra=[REPORT]), {}),
        (reply(b"bad", status="500 Failed", extra=[REPORT]), ONCE),
        (reply(b"", extra=[REPORT, "Shallotpath-Not-Executed: 1"], **REFUSED), ONCE),
    ],
    ids=["answer", "error", "refusal"],
)
async def test_report_in_any_answer_is_recorded(step, route):
    # Guards against a full upstream whose refusals are not taken as a report.
    async with make_world(Upstream(step), timeout=ms(900), **route) as world:
        await world.call()
        completions = world.forwarder.parts.dispatcher.loads.completions
        known, _ = completions.server_loads.figures_by_id_["u0"]
        assert known == ServerLoad(5, 1, 6, 250)


async def test_unreadable_report_changes_nothing_and_is_counted():
    # Guards against a false report that replaces a good one, and one that nobody sees.
    upstream = Upstream(reply(b"ok", extra=["Shallotpath-Server-Load: -1,0,8"]))
    async with make_world(upstream, timeout=ms(900)) as world:
        await world.call()
        assert world.outcomes == ["served"]
        completions = world.forwarder.parts.dispatcher.loads.completions
        assert not completions.server_loads.figures_by_id_
        assert "server_loads_unreadable" in world.reporter.counted
