"""Era of the store, read from its answers."""

import base64
from contextlib import asynccontextmanager
from datetime import timedelta

import pytest
from aiohttp import web

from shallotpath.core import PlatformError
from shallotpath.fleet.tests.standins import HOST, listen
from shallotpath.platform import (
    Endpoint,
    HistoryLostError,
    LateAnswerError,
    OffsetConflictError,
    StoreClient,
    StoreEra,
    open_session,
)
from shallotpath.replication import UNKNOWN_ERA


@pytest.mark.parametrize("value", [None, "", "x", "-1", "1.5", "\u0663", "9" * 5000])
def test_value_that_is_no_era_changes_nothing(value):
    # Guards against an answer that ends the process or puts its era out of reach.
    era, reported = StoreEra(), []
    era.on_unreadable = reported.append
    era.learn(2)
    assert era.check_answer(value, 2) == 2
    assert era.check_answer(value, 2) == 2
    assert era.era == 2
    assert reported == [value]


def test_answer_of_a_lower_era_is_late():
    # Guards against a state of the store before its fall that is taken for the newest.
    era, risen = StoreEra(), []
    era.add_listener(lambda value, age: risen.append((value, age)))
    assert era.check_answer("3", UNKNOWN_ERA) == 3
    with pytest.raises(LateAnswerError):
        era.check_answer("2", 3)
    # An answer without an era counts from when it was asked for.
    with pytest.raises(LateAnswerError):
        era.check_answer(None, 2)
    era.learn(2)
    era.learn(5, timedelta(seconds=1))
    assert risen == [(3, timedelta()), (5, timedelta(seconds=1))]


@asynccontextmanager
async def client_of(*answers):
    """Serve the given statuses, eras and bodies in this order."""
    waiting = list(answers)

    async def handle(request):
        status, era, body = waiting.pop(0)
        return web.json_response(body, status=status, headers={"Store-Era": era})

    runner, port = await listen(handle)
    session = open_session()
    try:
        yield StoreClient(Endpoint(HOST, port), session)
    finally:
        await session.close()
        await runner.cleanup()


@pytest.mark.parametrize(
    ("status", "error"),
    [(503, PlatformError), (410, HistoryLostError), (412, OffsetConflictError)],
)
async def test_refusals_name_the_era_too(status, error):
    # Guards against a process that goes on in an era that has ended, as all its calls
    # are refused.
    async with client_of((status, "4", {"first": 0, "end": 0})) as store:
        with pytest.raises(error):
            await store.put("t", "k", b"v", at=9)
        assert store.era.era == 4


async def test_listing_of_two_eras_is_refused():
    # Guards against a listing that is part of the state before a fall and part of the
    # one after it.
    item = {"key": "a", "value": base64.b64encode(b"1").decode(), "offset": 0}
    first = {"items": [item], "hasMore": True, "end": 9}
    last = {"items": [item | {"key": "b"}], "end": 5}
    pages = [(200, "1", first), (200, "2", last)]
    async with client_of(*pages, (200, "2", last)) as store:
        with pytest.raises(PlatformError, match="eras 1 and 2"):
            await store.newest("t")
        page = await store.newest("t")
        assert (page.era, page.end) == (2, 5)
        assert [record.era for record in page.records] == [2]
