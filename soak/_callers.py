"""Callers with persistent connections, and the load balancer that picks entries."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Mapping, Sequence
from contextlib import suppress
from dataclasses import dataclass
from datetime import timedelta
from itertools import islice
from random import Random

import aiohttp

from shallotpath.core import Clock
from shallotpath.platform import _names as names

from ._content import MODEL, TEAM_KEY, failure_body, stable_hash, whole_body
from ._ledger import Attempt, Ending, Kind, Ledger
from ._program import CALLERS_PORT, READY_PORT, Program

HOST = "soak.example"
FREQUENCY_BY_KIND = {Kind.STREAM: 5, Kind.RESUMABLE: 2, Kind.ORDER: 3, Kind.LOOKUP: 1}
SLOW_FREQUENCY_BY_KIND = FREQUENCY_BY_KIND | {Kind.RESUMABLE: 8}
DEADLINE_MS = 6000
# Limit for one read; the whole answer is limited by the deadline.
READ_TIMEOUT_S = 2.5
CONNECT_TIMEOUT_S = 1.0
PROBE_INTERVAL_S = 1.0
MISSED_PROBE_LIMIT = 2
PAUSE_RANGE_S = (0.02, 0.12)
# Share of the idle time-out for which callers leave a connection idle at most.
MAX_IDLE_SHARE = 0.8
# Higher exponents make long pauses rarer; a run has time for a few of them.
IDLE_EXPONENT = 4
SLOW_BODY_SHARE = 0.4
# Time for which callers still respect the limits of the configuration before.
CONFIGURATION_MARGIN = timedelta(seconds=2)
PIECE_BYTES = 2
PIECE_PAUSE_RANGE_S = (0.0, 0.3)
RETRY_PAUSE_RANGE_S = (0.05, 0.3)
# One in this many requests has the id of an earlier one.
REPEATED_ID_INTERVAL = 6
# How many of the last attempts of all callers the id may be of; some are unanswered.
REPEATED_ID_REACH = 20


class Balancer:
    """Probe the readiness of entries and select those for new connections."""

    def __init__(self, entries: Sequence[Program]) -> None:
        self.entries = entries
        self.misses_by_entry_ = dict.fromkeys(range(len(entries)), MISSED_PROBE_LIMIT)

    async def watch(self, entry: int) -> None:
        """Probe one entry periodically."""
        url = f"http://{self.entries[entry].host}:{READY_PORT}/ready"
        timeout = aiohttp.ClientTimeout(total=PROBE_INTERVAL_S)
        connector = aiohttp.TCPConnector(force_close=True)
        async with aiohttp.ClientSession(connector=connector) as session:
            while True:
                ready = False
                with suppress(TimeoutError, aiohttp.ClientError, OSError):
                    async with session.get(url, timeout=timeout) as response:
                        ready = response.status == 200
                self.entries[entry].seen_ready_ |= ready
                misses = 0 if ready else self.misses_by_entry_[entry] + 1
                self.misses_by_entry_[entry] = misses
                await asyncio.sleep(PROBE_INTERVAL_S)

    def eligible_entries(self) -> list[int]:
        """Return the entries that pass their probes, or all if none does."""
        misses = self.misses_by_entry_
        return [e for e in misses if misses[e] < MISSED_PROBE_LIMIT] or list(misses)


@dataclass(kw_only=True)
class Caller:
    """Send requests one at a time and reuse the connection while it is open."""

    number: int
    balancer: Balancer
    ledger: Ledger
    clock: Clock
    random: Random
    sent_count_: int = 0
    entry_: int | None = None
    last_: Attempt | None = None
    session_: aiohttp.ClientSession | None = None

    @property
    def frequency_by_kind(self) -> Mapping[Kind, int]:
        """Return how often each kind of request is sent."""
        return FREQUENCY_BY_KIND

    async def run(self) -> None:
        """Send requests until cancelled."""
        try:
            while True:
                served = await self._call()
                await asyncio.sleep(self.pause_s(served=served))
        finally:
            await self._close_session()

    def pause_s(self, *, served: bool) -> float:
        """Return the time until the next request in seconds."""
        pause = PAUSE_RANGE_S if served else RETRY_PAUSE_RANGE_S
        return self.random.uniform(*pause)

    def body(self, attempt: Attempt) -> bytes | AsyncIterator[bytes]:
        """Return the body of a request."""
        attempt.whole_at = attempt.sent_at
        return attempt.id.encode()

    async def _call(self) -> bool:
        frequencies = self.frequency_by_kind
        (kind,) = self.random.choices(list(frequencies), frequencies.values())
        if self.session_ is None:
            self.entry_ = self.random.choice(self.balancer.eligible_entries())
            connector = aiohttp.TCPConnector(limit=1, keepalive_timeout=60)
            self.session_ = aiohttp.ClientSession(connector=connector)
        self.sent_count_ += 1
        attempt_id = f"{self.number:02x}{self.sent_count_:06x}"
        attempt = Attempt(attempt_id, kind, self.entry_, self.clock.now())
        attempt.request_id = attempt_id
        self._repeat_id(attempt)
        self.last_ = attempt
        self.ledger.attempts_by_id[attempt.id] = attempt
        try:
            keeps_connection = await self._send(attempt)
        except aiohttp.ClientConnectorError:
            attempt.ending, keeps_connection = Ending.UNREACHABLE, False
        except TimeoutError as error:
            attempt.ending, keeps_connection = Ending.ABANDONED, False
            attempt.detail = repr(error)
        except (aiohttp.ClientError, OSError) as error:
            attempt.ending, keeps_connection = Ending.CUT, False
            attempt.detail = repr(error)
        attempt.ended_at = self.clock.now()
        if not keeps_connection:
            await self._close_session()
        return attempt.status == 200 and attempt.ending is Ending.ANSWERED

    def _repeat_id(self, attempt: Attempt) -> None:
        """Give an attempt the id of an earlier one now and then.

        It repeats the last one of this caller, with the same kind, so that it may use
        the same connection to an upstream, or one of any caller that may be unanswered.
        """
        choice = stable_hash(attempt.id, "repeat")
        if choice % REPEATED_ID_INTERVAL or self.last_ is None:
            return
        choice //= REPEATED_ID_INTERVAL
        if choice % 2:
            attempt.request_id, attempt.kind = self.last_.request_id, self.last_.kind
        else:
            latest = reversed(self.ledger.attempts_by_id.values())
            earlier = list(islice(latest, REPEATED_ID_REACH))
            attempt.request_id = earlier[choice // 2 % len(earlier)].request_id

    async def _send(self, attempt: Attempt) -> bool:
        """Send a request, read its answer and return whether to keep the connection."""
        host = self.balancer.entries[attempt.entry].host
        url = f"http://{host}:{CALLERS_PORT}/{attempt.kind}/{attempt.id}"
        headers = {
            "Host": HOST,
            names.REQUEST_ID: attempt.request_id,
            names.API_KEY: TEAM_KEY,
            names.DEADLINE_MS: str(DEADLINE_MS),
        }
        if attempt.kind.streaming:
            headers[names.MODEL] = MODEL
            headers[names.TOKENS] = "50,20"
        timeout = aiohttp.ClientTimeout(
            total=DEADLINE_MS / 1000,
            sock_connect=CONNECT_TIMEOUT_S,
            sock_read=READ_TIMEOUT_S,
        )
        async with self.session_.post(
            url, data=self.body(attempt), headers=headers, timeout=timeout
        ) as response:
            attempt.status = response.status
            attempt.seal = response.headers.get(names.SEAL, "")
            body = await response.read()
        attempt.ending = Ending.ANSWERED
        if response.status < 400 or attempt.seal:
            self._check_answer(attempt, response.headers, body)
        return response.headers.get("Connection", "").lower() != "close"

    def _check_answer(
        self, attempt: Attempt, headers: Mapping[str, str], body: bytes
    ) -> None:
        """Check that a success or an upstream's failure is complete and the own one."""
        answered_id = headers.get(names.REQUEST_ID)
        expected = whole_body(attempt.id, streaming=attempt.kind.streaming)
        if attempt.status >= 400:
            expected = failure_body(attempt.id)
        if not attempt.seal:
            detail = "without the upstream's signature"
        elif answered_id != attempt.request_id:
            detail = f"of request {answered_id}"
        elif body != expected:
            detail = f"of {len(body)} bytes in place of {len(expected)}"
        else:
            return
        self.ledger.add_violation("MIXED", f"{attempt}: answer {detail}")

    async def _close_session(self) -> None:
        session, self.session_ = self.session_, None
        if session is not None:
            await session.close()


@dataclass(kw_only=True)
class SlowCaller(Caller):
    """Leave the connection idle for long, and send some bodies slowly in chunks."""

    @property
    def frequency_by_kind(self) -> Mapping[Kind, int]:
        """Return frequencies at which long streams are often in progress."""
        return SLOW_FREQUENCY_BY_KIND

    def pause_s(self, *, served: bool) -> float:
        """Return a pause that is mostly short and at most a share of the limit."""
        since = self.clock.now() - CONFIGURATION_MARGIN
        limits = self.ledger.configurations_since(since)
        longest = min(each.idle_timeout for each in limits) * MAX_IDLE_SHARE
        return longest.total_seconds() * self.random.random() ** IDLE_EXPONENT

    def body(self, attempt: Attempt) -> bytes | AsyncIterator[bytes]:
        """Return the body of a request, in pieces for some."""
        if self.random.random() >= SLOW_BODY_SHARE:
            return super().body(attempt)
        return self._pieces(attempt)

    async def _pieces(self, attempt: Attempt) -> AsyncIterator[bytes]:
        body = attempt.id.encode()
        for start in range(0, len(body), PIECE_BYTES):
            await asyncio.sleep(self.random.uniform(*PIECE_PAUSE_RANGE_S))
            yield body[start : start + PIECE_BYTES]
        attempt.whole_at = self.clock.now()
