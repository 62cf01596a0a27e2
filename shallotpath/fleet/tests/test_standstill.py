"""Replicas in a process that is suspended while answers are queued in its sockets."""

from datetime import timedelta
from random import Random

import pytest

from shallotpath.core import ManualClock, PlatformError
from shallotpath.fleet import LineReporter
from shallotpath.fleet._topics import TopicReplica
from shallotpath.gateway import WriteTime
from shallotpath.platform import TopicPage
from shallotpath.replication import UNKNOWN_ERA, KeyedRecord, TopicItem

from .processes import Output

WAIT = timedelta(seconds=1)
SUSPENSION = timedelta(seconds=6)


class Store:
    """Answer reads with the given pages, each after a given delay."""

    def __init__(self, clock):
        self.clock = clock
        self.answers = []
        self.before_answer = lambda: None

    def answer(self, after, *keys, end, era=UNKNOWN_ERA):
        records = [KeyedRecord(key, b"{}", end - 1, era) for key in keys]
        self.answers.append((after, TopicPage(records, end, era=era)))

    async def newest(self, topic):
        return await self.read(topic, 0, WAIT)

    async def read(self, topic, offset, wait):
        if not self.answers:
            raise PlatformError("no answer")
        after, page = self.answers.pop(0)
        self.clock.advance(after)
        self.before_answer()
        return page


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def store(clock):
    return Store(clock)


@pytest.fixture
def written():
    """Return the write times that the replica passes on, by key."""
    return {}


@pytest.fixture
def topic(clock, store, written):
    return TopicReplica(
        "t",
        store=store,
        caller=None,
        clock=clock,
        random=Random(1),
        reporter=LineReporter("n", "d", clock, Output()),
        apply=lambda records, at: written.update({r.key: at for r in records}),
        wait=WAIT,
    )


async def test_answer_queued_during_a_suspension_confirms_nothing_newer(
    topic, store, clock
):
    # Guards against an entry that resumes and counts an old answer of the store as
    # fresh.
    store.answer(timedelta(), "k", end=1)
    await topic.read_once()
    store.answer(WAIT, end=1)
    await topic.read_once()
    assert topic.age(clock.now()) == timedelta()
    store.answer(SUSPENSION, end=1)
    await topic.read_once()
    assert topic.age(clock.now()) == SUSPENSION


async def test_suspension_is_not_taken_for_a_store_outage(topic, store, clock, written):
    # Guards against a version that counts as announced at the resume of the process,
    # because a lost read before the suspension looks like a store outage.
    store.answer(timedelta(), "k", end=1)
    await topic.read_once()
    confirmed_at = clock.now()
    assert not await topic.read_once()
    clock.advance(SUSPENSION)
    store.answer(timedelta(), "missed", end=2)
    await topic.read_once()
    assert written["missed"] == WriteTime(confirmed_at, exact=False)


async def test_message_queued_during_a_suspension_confirms_nothing(topic, store, clock):
    # Guards against ages in messages that lack the time that the messages were queued.
    store.answer(timedelta(), "k", end=1)
    await topic.read_once()
    clock.advance(SUSPENSION)
    topic.confirm_from_peer(TopicItem("t", 1, 0.1))
    assert topic.age(clock.now()) == SUSPENSION
    assert topic.was_suspended()
    # After that, confirmations of peers count again, also if the store refuses calls.
    clock.advance(timedelta(seconds=1.5))
    topic.confirm_from_peer(TopicItem("t", 1, 0.1))
    assert topic.age(clock.now()) == timedelta(seconds=0.1)
    assert not topic.was_suspended()


async def test_time_of_a_record_after_a_fall_counts_from_before_it(
    topic, store, clock, written
):
    # Guards against a version that counts as announced when it is written again, not
    # when the store had it before it fell back.
    store.answer(timedelta(), "k", end=9)
    await topic.read_once()
    confirmed_at = clock.now()
    topic.fall(2)
    store.answer(timedelta(), "k", end=5, era=2)
    assert await topic.read_once()
    store.answer(WAIT, "again", end=6, era=2)
    assert await topic.read_once()
    assert written["again"] == WriteTime(confirmed_at, exact=False)
    for _ in range(3):
        store.answer(WAIT, end=6, era=2)
        assert await topic.read_once()
    store.answer(WAIT, "new", end=7, era=2)
    assert await topic.read_once()
    assert written["new"] == WriteTime(clock.now())


async def test_peer_without_an_era_neither_confirms_nor_is_pulled(topic, store, clock):
    # Guards against a peer of the release before whose higher end is one that the store
    # has lost.
    topic.fall(2)
    store.answer(timedelta(), "k", end=5, era=2)
    await topic.read_once()
    clock.advance(WAIT)
    assert not topic.receive(TopicItem("t", 90, 0.1), UNKNOWN_ERA)
    assert not topic.receive(TopicItem("t", 5, 0.1), UNKNOWN_ERA)
    assert topic.age(clock.now()) == WAIT
    assert not topic.receive(TopicItem("t", 5, 0.1), 2)
    assert topic.age(clock.now()) == timedelta(seconds=0.1)
    assert topic.receive(TopicItem("t", 6, 0.1), 2)
    assert topic.receive(TopicItem("t", 1, 0.1), 3)


async def test_answer_to_a_read_of_an_earlier_era_is_dropped(topic, store, clock):
    # Guards against a long poll from an offset beyond the new end, whose answer would
    # count as all that the store has.
    store.answer(timedelta(), "k", end=9)
    await topic.read_once()
    store.before_answer = lambda: topic.fall(2)
    store.answer(WAIT, "k", end=12, era=2)
    assert await topic.read_once()
    assert (topic.era, topic.end) == (2, 0)
    assert not topic.listed_
