"""Replicas in a process that is suspended while answers are queued in its sockets."""

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
    """Answer reads with the given pages, each after a given delay."""

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
