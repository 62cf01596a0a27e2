"""Calls to the platform's store, engine and origin as an earlier release made them."""

from datetime import timedelta

import pytest

from shallotpath.core import PlatformError
from shallotpath.core.tests.recorded_values import load_recorded
from shallotpath.platform import (
    Endpoint,
    EngineClient,
    HttpCaller,
    OriginClient,
    StoreClient,
)

from .recorded_calls import RecordingSession

RECORDED = load_recorded(__file__, "calls.json")["calls"]
ORIGIN = "10.1.0.9:80"
SECOND = timedelta(seconds=1)
LONG = timedelta(milliseconds=2500)
CALLS = {
    "engine_report": lambda engine, origin, store: engine.state(),
    "engine_stage": lambda engine, origin, store: engine.stage(
        "fold", 3, b"\x00\xffchunk"
    ),
    "engine_staged": lambda engine, origin, store: engine.staged("fold", 3),
    "engine_listing": lambda engine, origin, store: engine.staged_indices("fold"),
    "engine_load": lambda engine, origin, store: engine.load("fold", 7, 3),
    "origin_newest_manifest": lambda engine, origin, store: origin.manifest(
        ORIGIN, "fold", None, SECOND
    ),
    "origin_manifest": lambda engine, origin, store: origin.manifest(
        ORIGIN, "fold", 7, SECOND
    ),
    "origin_chunk": lambda engine, origin, store: origin.chunk(
        ORIGIN, "fold", 7, 3, SECOND
    ),
    "store_newest": lambda engine, origin, store: store.newest("keyed.op"),
    "store_read": lambda engine, origin, store: store.read("keyed.op", 17),
    "store_wait": lambda engine, origin, store: store.read("keyed.op", 17, LONG),
    "store_put": lambda engine, origin, store: store.put(
        "keyed.op", "key-1", b"\x00\xffvalue"
    ),
}


def test_all_recorded_calls_are_made():
    # Guards against a recorded call that no test compares.
    assert set(CALLS) == set(RECORDED)


@pytest.mark.parametrize("name", CALLS)
async def test_a_call_is_made_as_recorded(name):
    # Guards against a changed path, parameter or body: the users' store and engines
    # would refuse the call, or an engine would load nothing.
    session = RecordingSession()
    address = Endpoint("127.0.0.1", 9)
    caller = HttpCaller(session)
    engine, origin = EngineClient(address, caller), OriginClient(caller)
    with pytest.raises(PlatformError):
        await CALLS[name](engine, origin, StoreClient(address, session))
    assert session.calls == [RECORDED[name]]
