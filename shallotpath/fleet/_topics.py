"""Replicas of the store's topics, updated from the store and from peers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from datetime import datetime, timedelta
from math import ceil
from random import Random

from aiohttp import web
from msgspec import structs

from ..core import Clock, FrameError, PlatformError
from ..gateway import WriteTime
from ..platform import (
    CallError,
    HistoryLostError,
    HttpCaller,
    LateAnswerError,
    StoreClient,
    TopicPage,
)
from ..replication import (
    EraPage,
    KeyedRecord,
    KeyedReplica,
    ListingPage,
    PeerAddress,
    RecordPage,
    TopicItem,
    decode_page,
    decode_replica_page,
    encode_message,
    encode_replica_page,
    pack_records,
)
from ._eras import UPSTREAM_RETENTION, Retention
from ._reporter import LineReporter

FIRST_RETRY = timedelta(milliseconds=100)
MAX_RETRY = timedelta(seconds=1)
# Time between checks whether this process has to read the topic.
DUE_CHECK_INTERVAL = timedelta(milliseconds=150)
# Time in which peers of the own region are expected to offer records that a peer in
# another region already has.
REMOTE_PULL_DELAY = timedelta(milliseconds=150)
PULL_TIMEOUT = timedelta(milliseconds=800)
# Largest random delay of a listing after a fall of the store: a listing and a pull take
# some tens of milliseconds, and changes have to take effect within 2 s.
LISTING_SPREAD = timedelta(milliseconds=250)

# Time from one answer of the store to the next read of a process that reads the topic
# continuously.
MAX_FOLLOWED_GAP = timedelta(milliseconds=200)
# Age at which each process reads the topic itself, plus slack.
MAX_READ_GAP = timedelta(seconds=2)
# A store that answered no read for this time was down. A shorter time may be one or two
# reads lost on connections that went dead while the store was up.
MIN_OUTAGE = timedelta(seconds=3.5)
# The process or its VM was suspended if the replica was not used for this time beyond
# the long poll of a read.
SUSPENSION_THRESHOLD = timedelta(seconds=2)
# Time after a suspension in which messages that were queued during it still arrive.
RESUME_MESSAGE_DELAY = timedelta(seconds=1)

# Query field of a pull by a process that takes a listing in place of removals.
# Releases before this field take no listings.
LISTINGS_QUERY = "listings"
# Query field with the era of the asking process. Releases before it have none.
ERA_QUERY = "era"

# Keys that a log line names at most.
MAX_REPORTED_KEYS = 8

# Takes new records and their write time, `None` if this process cannot tell it.
Apply = Callable[[list[KeyedRecord], WriteTime | None], None]


class TopicReplica:
    """Keep a replica of one keyed topic current and pass on new records."""

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
        pull_spread: timedelta = timedelta(),
        retention: Retention = UPSTREAM_RETENTION,
    ) -> None:
        self.topic = topic
        self.store = store
        self.caller = caller
        self.clock = clock
        self.random = random
        self.reporter = reporter
        self.apply = apply
        # Long-poll time: the store holds a read until there are new records.
        self.wait = wait
        # Maximum random delay of a pull, as a peer notifies many replicas at once.
        self.pull_spread = pull_spread
        self.retention = retention
        self.replica_ = KeyedReplica()
        # When a process first learned of the era of this replica.
        self.fell_at_: datetime | None = None
        # Last confirmation before the era rose, while records may be written again.
        self.confirmed_before_fall_: datetime | None = None
        self.listed_ = False
        self.confirmed_at_: datetime | None = None
        self.store_lost_at_: datetime | None = None
        # When this replica was last used, and first used after a suspension.
        self.looked_at_ = self.resumed_at_ = clock.now()
        self.suspended_ = False
        self.pulling_ = False
        self.waiting_ = False
        self.retry_ = FIRST_RETRY
        # The last page sent to peers, its start and its end: most ask for the same one.
        self.page_cache_: tuple[tuple[int, int], RecordPage] | None = None
        # Called after new records came from the store or from another region.
        self.on_update: Callable[[], None] | None = None
        # Called with the era that a page of a peer names, and its age in seconds.
        self.on_era: Callable[[int, float | None], None] | None = None
        # Called with the time of a newer confirmation by the store, before its records
        # are applied.
        self.before_apply: Callable[[datetime], None] | None = None

    @property
    def end(self) -> int:
        """Return the offset up to which the replica is complete."""
        return self.replica_.end

    @property
    def is_listed(self) -> bool:
        """Check whether the topic has been listed in the era, here or at a peer."""
        return self.listed_

    @property
    def era(self) -> int:
        """Return the era of the store that the replica follows."""
        return self.replica_.era

    @property
    def retained(self) -> int:
        """Return the number of records in use that the era does not have."""
        return self.replica_.retained

    def fall(self, era: int) -> None:
        """Enter a higher era; the topic has to be listed again."""
        if era <= self.era:
            return
        self.replica_.fall(era)
        self.listed_ = False
        self.page_cache_ = None
        self.fell_at_ = self._look()
        self.confirmed_before_fall_ = self.confirmed_at_
        self.reporter.gauge("records_retained", self.retained, topic=self.topic)

    def age(self, now: datetime) -> timedelta | None:
        """Return the time since the store confirmed the replica, here or at a peer."""
        return None if self.confirmed_at_ is None else now - self.confirmed_at_

    def is_stale(self, bound: timedelta) -> bool:
        """Check whether the last confirmation is older than a bound."""
        age = self.age(self.clock.now())
        return age is None or age > bound

    def was_suspended(self) -> bool:
        """Check whether the process was suspended after the last confirmation."""
        self._look()
        return self.suspended_

    async def poll(
        self, due: Callable[[], bool], pause: timedelta = timedelta()
    ) -> None:
        """Read the topic whenever it is due, with a pause after each answer."""
        while True:
            self._look()
            if not due():
                delay = DUE_CHECK_INTERVAL.total_seconds() * self.random.uniform(
                    0.8, 1.0
                )
            elif await self.read_once():
                delay = pause.total_seconds() * self.random.uniform(0.8, 1.0)
            else:
                delay = self._next_retry()
            await asyncio.sleep(delay)

    async def read_once(self) -> bool:
        """Read new records from the store and return whether it answered."""
        asked_at, lists = self._look(), not self.listed_
        try:
            page = await (self._list() if lists else self._read())
            if page is None:
                return True
        except HistoryLostError as error:
            self.reporter.event("history_lost", topic=self.topic, detail=error.message)
            self.listed_ = False
            return True
        except LateAnswerError as error:
            self.reporter.event("late_answer", topic=self.topic, detail=error.message)
            return False
        except PlatformError as error:
            self._store_lost(error)
            return False
        if lists:
            newer = self.replica_.replace(page.records, page.end, era=page.era)
            self.listed_ = True
        else:
            newer = self.replica_.merge(page.records, page.end, page.era)
        time = self._record_time(asked_at)
        self._store_back()
        if page.unreadable:
            self.reporter.count("records_bad", topic=self.topic)
            self.reporter.event(
                "unreadable_records", topic=self.topic, count=page.unreadable
            )
        self._confirm(newer, self._suspended_wait(asked_at), time)
        # Peers wait for a listing after a fall even if nothing in it is new.
        if (newer or lists) and self.on_update is not None:
            self.on_update()
        return True

    async def _read(self) -> TopicPage | None:
        """Return the records after the end, `None` if they are of another era."""
        asked_in = self.era
        page = await self.store.read(self.topic, self.end, self.wait)
        return page if asked_in == self.era else None

    async def _list(self) -> TopicPage | None:
        """Return a listing, `None` if a peer's has come or it is of an earlier era.

        Readers of a region learn of a fall at the same time, and one listing is enough.
        """
        if self.confirmed_before_fall_ is not None:
            await asyncio.sleep((LISTING_SPREAD * self.random.random()).total_seconds())
            if self.listed_ or self.pulling_:
                return None
        page = await self.store.newest(self.topic)
        return None if page.era < self.era else page

    def confirm_from_peer(self, item: TopicItem) -> None:
        """Take over the confirmation of a peer of the same era and records."""
        now = self._look()
        if self.suspended_ and now - self.resumed_at_ < RESUME_MESSAGE_DELAY:
            return
        if item.end == self.end and item.age_s is not None and self.listed_:
            self._confirm([], timedelta(seconds=item.age_s), None)

    def receive(self, item: TopicItem, era: int) -> bool:
        """Take over what a peer of an era says; return whether it has newer records."""
        if era == self.era:
            self.confirm_from_peer(item)
        return self.is_behind(item.end, era)

    def is_behind(self, end: int, era: int) -> bool:
        """Check whether an end in an era is newer than the own one."""
        return (era, end) > (self.era, self.end)

    def item(self, now: datetime) -> TopicItem:
        """Return the offset and the age of this replica to send to peers."""
        # Before the listing in an era, the confirmation is of an earlier one.
        age = self.age(now) if self.listed_ else None
        # Rounded up, so that the age cannot shrink as replicas confirm each other.
        age_s = None if age is None else ceil(age.total_seconds() * 100) / 100
        return TopicItem(self.topic, self.end, age_s)

    async def catch_up(
        self, peer: PeerAddress, end: int, *, remote: bool, era: int | None = None
    ) -> None:
        """Pull newer records from a peer; notify the own region of remote ones."""
        era = self.era if era is None else era
        if remote and not await self._still_behind(end, era):
            return
        if self.pulling_ or not self.is_behind(end, era):
            return
        self.pulling_ = True
        try:
            await asyncio.sleep(
                (self.pull_spread * self.random.random()).total_seconds()
            )
            newer = self.is_behind(end, era) and await self._pull(peer)
        finally:
            self.pulling_ = False
        if newer and remote and self.on_update is not None:
            self.on_update()

    async def _still_behind(self, end: int, era: int) -> bool:
        """Wait for peers of the own region; check whether records are still missing."""
        if self.waiting_:
            return False
        self.waiting_ = True
        try:
            await asyncio.sleep(REMOTE_PULL_DELAY.total_seconds())
        finally:
            self.waiting_ = False
        return self.is_behind(end, era)

    def page_after(
        self, offset: int, *, takes_listings: bool = True, era: int | None = None
    ) -> bytes:
        """Return the encoded records after an offset in an era, for a peer.

        A peer that does not take listings gets a page that it ignores where only a
        listing would tell it of all removals.
        """
        if era is not None and era < self.era:
            offset = 0
        page = self._page_after(offset)
        is_listing = isinstance(page, ListingPage) and page.kept_keys is not None
        if is_listing and not takes_listings:
            return encode_message(RecordPage(page.end, pack_records([]), None))
        now = self.clock.now()
        age = self.age(now) if self.listed_ else None
        ages = {"age_s": None if age is None else age.total_seconds()}
        if isinstance(page, EraPage) and self.fell_at_ is not None:
            ages["era_age_s"] = (now - self.fell_at_).total_seconds()
        return encode_message(structs.replace(page, **ages))

    def _page_after(self, offset: int) -> RecordPage:
        key = (offset, self.end)
        if self.page_cache_ is None or self.page_cache_[0] != key:
            page = encode_replica_page(self.replica_.page_after(offset))
            self.page_cache_ = (key, page)
        return self.page_cache_[1]

    async def _pull(self, peer: PeerAddress) -> bool:
        url = (
            f"http://{peer.host}:{peer.port}/records"
            f"?topic={self.topic}&after={self.end}&{LISTINGS_QUERY}=1"
            f"&{ERA_QUERY}={self.era}"
        )
        asked_at = self._look()
        try:
            page = decode_page(await self.caller.call("GET", url, PULL_TIMEOUT))
            missing = decode_replica_page(page)
        except (CallError, FrameError) as error:
            self.reporter.count("peer_pulls_failed", topic=self.topic)
            self.reporter.event(
                "peer_pull_failed", peer=peer.id, topic=self.topic, detail=error.message
            )
            return False
        if page.age_s is None or missing.era < self.era:
            # The peer has restarted, or the era has risen, since it sent its offset.
            return False
        if isinstance(page, EraPage) and self.on_era is not None:
            self.on_era(page.era, page.era_age_s)
        newer = self.replica_.apply_page(missing)
        self.page_cache_ = None
        self.listed_ = True
        self.reporter.count("peer_pulls", topic=self.topic)
        # Write times come with the peer's gossip message, if the peer knows them.
        age = timedelta(seconds=page.age_s) + self._suspended_wait(asked_at)
        self._confirm(newer, age, None)
        return bool(newer)

    def _record_time(self, asked_at: datetime) -> WriteTime | None:
        """Return the write time of records that a read has just returned."""
        if self.confirmed_at_ is None:
            return None
        now = self._look()
        if self.confirmed_before_fall_ is not None:
            # The store may have had the record in the time that it lost.
            return WriteTime(self.confirmed_before_fall_, exact=False)
        followed = asked_at - self.confirmed_at_ <= MAX_FOLLOWED_GAP
        # An answer may stay unread in the socket while the VM is suspended.
        answered_in_time = now - asked_at <= self.wait + MAX_FOLLOWED_GAP
        if (followed and answered_in_time) or self._store_was_away():
            return WriteTime(now)
        return WriteTime(self.confirmed_at_, exact=False)

    def _store_was_away(self) -> bool:
        """Check whether the store was down since the replica was confirmed.

        Records in the first answer after an outage were written as the outage ended.
        """
        lost_at = self.store_lost_at_
        if (
            self.suspended_
            or lost_at is None
            or lost_at - self.confirmed_at_ > MAX_READ_GAP
        ):
            return False
        return self.clock.now() - lost_at >= MIN_OUTAGE

    def _confirm(
        self,
        newer: list[KeyedRecord],
        age: timedelta,
        time: WriteTime | None,
    ) -> None:
        confirmed_at = self._look() - age
        if self.confirmed_at_ is None or confirmed_at > self.confirmed_at_:
            self.confirmed_at_ = confirmed_at
            if self.before_apply is not None:
                self.before_apply(confirmed_at)
        if confirmed_at >= self.resumed_at_:
            self.suspended_ = False
        if newer:
            self.page_cache_ = None
            self.apply(newer, time)
            if self.fell_at_ is not None:
                self.reporter.gauge("records_retained", self.retained, topic=self.topic)
        self._expire()

    def _expire(self) -> None:
        """Drop records of earlier eras once the store had time to get them again.

        The time has to be confirmed by the store, which may be away again meanwhile.
        """
        if self.fell_at_ is None or not self.listed_:
            return
        expires_at = self.fell_at_ + self.retention.time
        if self.confirmed_at_ < expires_at or not self.replica_.is_retaining:
            return
        is_first = self.confirmed_before_fall_ is not None
        self.confirmed_before_fall_ = None
        before = self.retained
        changed = self.replica_.expire(keeps_removals=self.retention.keeps_removals)
        if self.retained == before and not (is_first and before):
            return
        self.page_cache_ = None
        self.reporter.gauge("records_retained", self.retained, topic=self.topic)
        self.reporter.event(
            "retained_dropped",
            topic=self.topic,
            era=self.era,
            dropped=before - self.retained,
            kept=self.retained,
            changed=[record.key for record in changed[:MAX_REPORTED_KEYS]],
        )
        if changed:
            self.apply(changed, None)

    def _look(self) -> datetime:
        """Return the time, and record a suspension of the process before it."""
        now = self.clock.now()
        if now - self.looked_at_ > self.wait + SUSPENSION_THRESHOLD:
            self.resumed_at_ = now
            self.suspended_ = True
        self.looked_at_ = now
        return now

    def _suspended_wait(self, asked_at: datetime) -> timedelta:
        """Return how long an answer may have stayed unread during a suspension."""
        now = self._look()
        return now - asked_at if asked_at < self.resumed_at_ else timedelta()

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


def answer_records(
    request: web.BaseRequest, topics_by_name: Mapping[str, TopicReplica]
) -> web.Response:
    """Answer a peer's request for the records of a topic after an offset."""
    topic = topics_by_name.get(request.query.get("topic", ""))
    era = request.query.get(ERA_QUERY)
    try:
        after = int(request.query.get("after", "0"))
        era = None if era is None else int(era)
    except ValueError:
        return web.Response(status=400, text="after and era must be integers\n")
    if topic is None:
        return web.Response(status=404, text="unknown topic\n")
    takes_listings = LISTINGS_QUERY in request.query
    return web.Response(
        body=topic.page_after(after, takes_listings=takes_listings, era=era)
    )
