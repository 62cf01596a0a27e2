"""Replicas of the store's topics, kept current from the store and from peers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from datetime import datetime, timedelta
from math import ceil
from random import Random

from ..core import Clock, FrameError, PlatformError
from ..platform import CallError, HistoryLostError, HttpCaller, StoreClient
from ..replication import (
    KeyedRecord,
    KeyedReplica,
    PeerAddress,
    RecordItem,
    RecordPage,
    TopicItem,
    decode_page,
    encode_message,
)
from ._reporter import LineReporter

FIRST_RETRY = timedelta(milliseconds=100)
MAX_RETRY = timedelta(seconds=1)
# Steps at which a reader that is not held by the store looks whether it is due.
DUE_STEP = timedelta(milliseconds=150)
PULL_TIMEOUT = timedelta(milliseconds=800)

Apply = Callable[[list[KeyedRecord]], None]


class TopicReplica:
    """Keep one keyed topic current and hand on what is new."""

    def __init__(
        self,
        topic: str,
        *,
        store: StoreClient,
        caller: HttpCaller,
        clock: Clock,
        random: Random,
        reporter: LineReporter,
        apply: Apply,
        wait: timedelta = timedelta(),
        pull_delay: timedelta = timedelta(),
    ) -> None:
        self.topic = topic
        self.store = store
        self.caller = caller
        self.clock = clock
        self.random = random
        self.reporter = reporter
        self.apply = apply
        # Time for which the store may hold a read until there is news.
        self.wait = wait
        # Time in which the own read is expected to bring what a peer already has.
        self.pull_delay = pull_delay
        self.replica_ = KeyedReplica()
        self.listed_ = False
        self.confirmed_at_: datetime | None = None
        self.store_lost_at_: datetime | None = None
        self.pulling_ = False
        self.retry_ = FIRST_RETRY
        # Called after a read of the store that brought records.
        self.after_news: Callable[[], None] | None = None
        # Called when a newer answer of the store is known, before its records are
        # applied.
        self.before_news: Callable[[datetime], None] | None = None

    @property
    def end(self) -> int:
        """Return the offset up to which nothing is missing."""
        return self.replica_.end

    def age(self, now: datetime) -> timedelta | None:
        """Return the time since the store confirmed the replica, here or at a peer."""
        return None if self.confirmed_at_ is None else now - self.confirmed_at_

    async def follow(self) -> None:
        """Read the topic again and again, without a pause while reads wait."""
        while True:
            if not await self.read_once():
                await asyncio.sleep(self._next_retry())

    async def poll(self, due: Callable[[], bool]) -> None:
        """Read the topic whenever this process is to do it."""
        while True:
            delay = DUE_STEP.total_seconds() * self.random.uniform(0.8, 1.0)
            if due() and not await self.read_once():
                delay = self._next_retry()
            await asyncio.sleep(delay)

    async def read_once(self) -> bool:
        """Read what is new from the store; tell whether it answered."""
        try:
            if self.listed_:
                page = await self.store.read(self.topic, self.end, self.wait)
                newer = self.replica_.merge(page.records, page.end)
            else:
                page = await self.store.newest(self.topic)
                newer = self.replica_.replace(page.records, page.end)
                self.listed_ = True
        except HistoryLostError as error:
            self.reporter.event("history_lost", topic=self.topic, detail=error.message)
            self.listed_ = False
            return True
        except PlatformError as error:
            self._store_lost(error)
            return False
        self._store_back()
        if page.unreadable:
            self.reporter.count("records_bad", topic=self.topic)
            self.reporter.event(
                "unreadable_records", topic=self.topic, count=page.unreadable
            )
        self._confirm(newer, timedelta())
        if newer and self.after_news is not None:
            self.after_news()
        return True

    def confirmed_elsewhere(self, item: TopicItem) -> None:
        """Take that a peer with the same records had them confirmed more recently."""
        if item.end == self.end and item.age_s is not None and self.listed_:
            self._confirm([], timedelta(seconds=item.age_s))

    def item(self, now: datetime) -> TopicItem:
        """Return how far this replica is, for peers."""
        age = self.age(now)
        # Rounded up: replicas that confirm each other must not grow younger.
        age_s = None if age is None else ceil(age.total_seconds() * 100) / 100
        return TopicItem(self.topic, self.end, age_s)

    async def behind(self, peer: PeerAddress, end: int) -> None:
        """Take what a peer has beyond this replica."""
        if self.pulling_ or end <= self.end:
            return
        self.pulling_ = True
        try:
            await asyncio.sleep(self.pull_delay.total_seconds())
            if end > self.end:
                await self._pull(peer)
        finally:
            self.pulling_ = False

    def page_after(self, offset: int) -> bytes:
        """Return the encoded records from an offset on, for a peer."""
        records = [
            RecordItem(record.key, record.value, record.offset)
            for record in self.replica_.after(offset)
        ]
        age = self.age(self.clock.now()) or timedelta()
        return encode_message(RecordPage(self.end, records, age.total_seconds()))

    async def _pull(self, peer: PeerAddress) -> None:
        url = (
            f"http://{peer.host}:{peer.port}/records"
            f"?topic={self.topic}&after={self.end}"
        )
        try:
            page = decode_page(await self.caller.call("GET", url, PULL_TIMEOUT))
        except (CallError, FrameError) as error:
            self.reporter.count("peer_pulls_failed", topic=self.topic)
            self.reporter.event(
                "peer_pull_failed", peer=peer.id, topic=self.topic, detail=error.message
            )
            return
        records = [KeyedRecord(r.key, r.value, r.offset) for r in page.records]
        newer = self.replica_.merge(records, page.end)
        self.listed_ = True
        self.reporter.count("peer_pulls", topic=self.topic)
        self._confirm(newer, timedelta(seconds=page.age_s))

    def _confirm(self, newer: list[KeyedRecord], age: timedelta) -> None:
        confirmed_at = self.clock.now() - age
        if self.confirmed_at_ is None or confirmed_at > self.confirmed_at_:
            self.confirmed_at_ = confirmed_at
            if self.before_news is not None:
                self.before_news(confirmed_at)
        if newer:
            self.apply(newer)

    def _next_retry(self) -> float:
        delay = self.retry_.total_seconds() * self.random.uniform(0.5, 1.0)
        self.retry_ = min(2 * self.retry_, MAX_RETRY)
        return delay

    def _store_lost(self, error: PlatformError) -> None:
        self.reporter.count("store_calls_failed", topic=self.topic)
        if self.store_lost_at_ is None:
            self.store_lost_at_ = self.clock.now()
            self.reporter.event("store_lost", topic=self.topic, detail=error.message)

    def _store_back(self) -> None:
        self.retry_ = FIRST_RETRY
        self.reporter.count("store_reads", topic=self.topic)
        if self.store_lost_at_ is not None:
            away = self.clock.now() - self.store_lost_at_
            self.store_lost_at_ = None
            self.reporter.event(
                "store_back", topic=self.topic, away_s=away.total_seconds()
            )
