from datetime import timedelta

from aiohttp import ClientSession

from shallotpath.core import MonotonicClock
from shallotpath.fleet.tests.standins import HOST, listen
from shallotpath.platform import _names as names
from soak._content import TEAM, event_count, whole_body
from soak._ledger import Attempt, Kind, Ledger
from soak._standins import FIRST_EVENT_DELAY_S, SelfLoadingEngine, WaitingLog

SILENCE = timedelta(seconds=0.6)
ATTEMPT_ID = "r4"


async def test_silent_upstream_sends_nothing_and_goes_on_where_it_was():
    # Guards against a stand-in that breaks off its answers, or that is not silent.
    clock, ledger = MonotonicClock(), Ledger()
    attempt = Attempt(ATTEMPT_ID, Kind.STREAM, 0, clock.now(), request_id="id")
    ledger.attempts_by_id[ATTEMPT_ID] = attempt
    upstream = SelfLoadingEngine(
        number=0,
        service="llm",
        domain="a-1",
        slots=4,
        log=WaitingLog(),
        ledger=ledger,
        clock=clock,
    )
    runner, port = await listen(upstream.handle)
    headers = {names.REQUEST_ID: "id", names.TEAM: TEAM}
    pauses, body = [], b""
    try:
        async with (
            ClientSession() as session,
            session.post(
                f"http://{HOST}:{port}/stream/{ATTEMPT_ID}",
                data=ATTEMPT_ID.encode(),
                headers=headers,
            ) as response,
        ):
            body += await response.content.readany()
            assert upstream.begin_silence(SILENCE, with_reports=False)
            assert not upstream.begin_silence(SILENCE, with_reports=False)
            while not response.content.at_eof():
                began_at = clock.now()
                body += await response.content.readany()
                pauses.append(clock.now() - began_at)
    finally:
        await runner.cleanup()
    assert event_count(ATTEMPT_ID) > 2
    assert body == whole_body(ATTEMPT_ID, streaming=True)
    assert max(pauses) > SILENCE - timedelta(seconds=FIRST_EVENT_DELAY_S)
