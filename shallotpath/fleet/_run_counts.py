"""Exchange of the counts of begun requests between entries."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Iterable
from datetime import datetime, timedelta
from random import Random

import msgspec
from aiohttp import web

from ..core import Clock
from ..duties import (
    EntryUsage,
    FleetTime,
    RunCounter,
    UsageLedger,
    UsageRules,
    from_unix_ms,
    unix_ms,
)
from ..platform import CallError, HttpCaller
from ..replication import (
    MAX_DATAGRAM_BYTES,
    PeerAddress,
    PeerTable,
    encode_message,
)
from ._reporter import LineReporter

RUN_COUNTS_PATH = "/run-counts"
# Fields of a request for counts: the process that asks, the time that it knows, and the
# entry whose counts are asked for, if that is another one.
HOLDER_QUERY = "holder"
TIME_QUERY = "time_ms"
ENTRY_QUERY = "of"
# Digits of Unix milliseconds until the year 2286.
MAX_TIME_DIGITS = 13
# Calls to entries at a time, so that their answers do not fill the holder's link.
PARALLEL_PULLS = 24
PULL_TIMEOUT = timedelta(milliseconds=500)
# An entry that is asked for the counts of another one has to ask that one.
RELAY_TIMEOUT = timedelta(milliseconds=800)
MAX_USAGE_BYTES = 1 << 20
# An entry that dies loses the requests of at most this time.
PUSH_INTERVAL = timedelta(seconds=1)
# Windows after which a holder that no longer asks gets no more counts.
PUSHED_WINDOWS = 3


class RunCounts:
    """Count the requests of this entry and collect the counts of others."""

    def __init__(
        self,
        rules: UsageRules,
        own: PeerAddress,
        incarnation: int,
        *,
        peers: PeerTable,
        caller: HttpCaller,
        clock: Clock,
        time: FleetTime,
        random: Random,
        reporter: LineReporter,
        send: Callable[[EntryUsage, Iterable[PeerAddress]], None],
    ) -> None:
        self.rules = rules
        self.own = own
        self.incarnation = incarnation
        self.peers = peers
        self.caller = caller
        self.clock = clock
        self.time = time
        self.random = random
        self.reporter = reporter
        self.send = send
        self.counter = RunCounter(rules)
        self.ledger = UsageLedger(rules)
        # Entries that have answered for a window after its end.
        self.collected_window_: int | None = None
        self.answered_: set[str] = set()
        # The last holder that asked for counts, and when.
        self.collector_: tuple[str, datetime] | None = None

    def record_begun(self, team: str) -> None:
        """Count a request that an upstream has begun to run."""
        if team:
            self.counter.count(team, self.time.now())

    def merge(self, usage: EntryUsage) -> None:
        """Take over counts that an entry sent between a holder's requests."""
        self.ledger.merge(usage, self.time.now())

    async def answer(self, request: web.BaseRequest) -> web.Response:
        """Answer a holder's request for the counts of this or another entry."""
        other = request.query.get(ENTRY_QUERY)
        if other is not None:
            return await self._relay(other)
        self.collector_ = (request.query.get(HOLDER_QUERY, ""), self.clock.now())
        told_ms = request.query.get(TIME_QUERY, "")
        if told_ms.isdecimal() and len(told_ms) <= MAX_TIME_DIGITS:
            self.time.adopt(from_unix_ms(int(told_ms)))
        return web.Response(body=msgspec.msgpack.encode(self._own_usage()))

    async def _relay(self, entry: str) -> web.Response:
        """Ask an entry that the holder cannot reach."""
        peer = self.peers.address(entry)
        if peer is None:
            return web.Response(status=404, text="unknown entry\n")
        url = f"http://{peer.host}:{peer.port}{RUN_COUNTS_PATH}"
        try:
            body = await self.caller.call(
                "GET", url, PULL_TIMEOUT, max_bytes=MAX_USAGE_BYTES
            )
        except CallError as error:
            return web.Response(status=502, text=error.message)
        return web.Response(body=body)

    async def push(self) -> None:
        """Send the counts to the holder again and again until the process stops.

        Without them, a process that dies would take the counts of a window with it.
        """
        while True:
            await asyncio.sleep(PUSH_INTERVAL.total_seconds())
            self.push_once()

    def push_once(self) -> None:
        """Send the newest counts to the holder, if one has asked lately."""
        now = self.clock.now()
        holder, asked_at = self.collector_ or ("", now)
        address = self.peers.address(holder)
        if address is None or now - asked_at > self.rules.window * PUSHED_WINDOWS:
            return
        usage = self._own_usage(self.rules.number(self.time.now()) - 1)
        # A larger one is not sent; the holder asks for it at the end of the window.
        if len(encode_message(usage)) <= MAX_DATAGRAM_BYTES:
            self.send(usage, [address])

    def _own_usage(self, oldest: int = 0) -> EntryUsage:
        return self.counter.usage(
            self.own.id,
            self.incarnation,
            oldest=oldest,
            sent_ms=unix_ms(self.clock.now()),
        )

    async def collect(self, window: int) -> list[str]:
        """Ask entries for their counts and return those that have not answered."""
        if self.collected_window_ != window:
            self.collected_window_ = window
            self.answered_.clear()
            self.ledger.prune(self.time.now())
        active = {peer.id: peer for peer in self.peers.active_entries(self.clock.now())}
        missing = [peer for id_, peer in active.items() if id_ not in self.answered_]
        offsets: list[timedelta] = []

        async def pull(peer: PeerAddress) -> None:
            offset = await self._pull(peer)
            if offset is not None:
                offsets.append(offset)

        await _run_all(map(pull, missing))
        self.time.compare(offsets)
        relays = [peer for id_, peer in active.items() if id_ in self.answered_]
        missing = [peer for peer in missing if peer.id not in self.answered_]
        await _run_all(
            self._pull_through(relay, peer)
            for peer in missing
            if (relay := self._choose_relay(relays, peer)) is not None
        )
        self.ledger.merge(self._own_usage(), self.time.now())
        return sorted(peer.id for peer in missing if peer.id not in self.answered_)

    def _choose_relay(
        self, relays: list[PeerAddress], peer: PeerAddress
    ) -> PeerAddress | None:
        """Return an entry of a third domain, which may reach a peer."""
        domains = {self.peers.domain(self.own.id), self.peers.domain(peer.id)}
        others = [r for r in relays if self.peers.domain(r.id) not in domains]
        return self.random.choice(others) if others else None

    async def _pull(self, peer: PeerAddress) -> timedelta | None:
        """Merge the counts of an entry and return how far its clock is ahead."""
        asked_at = self.clock.now()
        query = f"{HOLDER_QUERY}={self.own.id}"
        if self.time.is_agreed:
            query += f"&{TIME_QUERY}={unix_ms(self.time.now())}"
        usage = await self._ask(peer, query, PULL_TIMEOUT)
        if usage is None:
            return None
        took = self.clock.now() - asked_at
        return from_unix_ms(usage.sent_ms) - (asked_at + took / 2)

    async def _pull_through(self, relay: PeerAddress, peer: PeerAddress) -> None:
        usage = await self._ask(relay, f"{ENTRY_QUERY}={peer.id}", RELAY_TIMEOUT)
        if usage is not None:
            self.reporter.count("usage_pulls_relayed")

    async def _ask(
        self, peer: PeerAddress, query: str, timeout: timedelta
    ) -> EntryUsage | None:
        url = f"http://{peer.host}:{peer.port}{RUN_COUNTS_PATH}?{query}"
        try:
            body = await self.caller.call(
                "GET", url, timeout, max_bytes=MAX_USAGE_BYTES
            )
            usage = msgspec.msgpack.decode(body, type=EntryUsage)
        except (CallError, msgspec.DecodeError, RecursionError):
            self.reporter.count("usage_pulls_failed")
            return None
        self.answered_.add(usage.entry)
        self.merge(usage)
        return usage


async def _run_all(calls: Iterable[Coroutine[None, None, None]]) -> None:
    """Run calls, a bounded number at a time."""
    limit = asyncio.Semaphore(PARALLEL_PULLS)

    async def run(call: Coroutine[None, None, None]) -> None:
        async with limit:
            await call

    await asyncio.gather(*map(run, calls))
