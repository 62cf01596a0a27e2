"""Replicas of a process that stands still while its answers wait."""

from datetime import timedelta
from random import Random

import pytest

from shallotpath.core import ManualClock, PlatformError
from shallotpath.fleet import LineReporter
from shallotpath.fleet._topics import TopicReplica
from shallotpath.gateway import WriteTime
from shallotpath.platform import TopicPage
from shallotpath.replication import KeyedRecord, TopicItem

from .processes import Output

WAIT = timedelta(seconds=1)
SUSPENSION = timedelta(seconds=6)


class Store:
    """Answer reads with the given pages, each after some time."""

    def __init__(self, clock):
        self.clock = clock
        self.answers = []

    def answer(self, after, *keys, end):
        records = [KeyedRecord(key, b"{}", end - 1) for key in keys]
        self.answers.append((after, TopicPage(records, end)))

    async def newest(self, topic):
        return await self.read(topic, 0, WAIT)

    async def read(self, topic, offset, wait):
        if not self.answers:
            raise PlatformError("no answer")
        after, page = self.answers.pop(0)
        self.clock.advance(after)
        return page


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def store(clock):
    return Store(clock)


@pytest.fixture
def written():
    """Return the times at which keys were written, as the replica tells them."""
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
    # Guards against an entry that wakes and trusts what the store said before.
    store.answer(timedelta(), "k", end=1)
    await topic.read_once()
    store.answer(WAIT, end=1)
    await topic.read_once()
    assert topic.age(clock.now()) == timedelta()
    store.answer(SUSPENSION, end=1)
    await topic.read_once()
    assert topic.age(clock.now()) == SUSPENSION


async def test_suspension_is_not_taken_for_a_store_outage(topic, store, clock, written):
    # Guards against new weights that look named at the waking after one lost read.
    store.answer(timedelta(), "k", end=1)
    await topic.read_once()
    confirmed_at = clock.now()
    assert not await topic.read_once()
    clock.advance(SUSPENSION)
    store.answer(timedelta(), "missed", end=2)
    await topic.read_once()
    assert written["missed"] == WriteTime(confirmed_at, exact=False)


async def test_message_queued_during_a_suspension_confirms_nothing(topic, store, clock):
    # Guards against ages in messages that do not count the time in which they waited.
    store.answer(timedelta(), "k", end=1)
    await topic.read_once()
    clock.advance(SUSPENSION)
    topic.confirm_from_peer(TopicItem("t", 1, 0.1))
    assert topic.age(clock.now()) == SUSPENSION
    assert topic.was_suspended()
    # A process that the store turns away goes on with what its peers say.
    clock.advance(timedelta(seconds=1.5))
    topic.confirm_from_peer(TopicItem("t", 1, 0.1))
    assert topic.age(clock.now()) == timedelta(seconds=0.1)
    assert not topic.was_suspended()
