"""Compatibility with member records in the store that an earlier release wrote."""

import asyncio
import base64
from random import Random

import pytest

from shallotpath.core import MonotonicClock
from shallotpath.core.tests.recorded_values import load_recorded
from shallotpath.fleet._discovery import Discovery
from shallotpath.platform import MEMBER_TOPIC, Endpoint, StoreClient, TopicPage
from shallotpath.platform.tests.recorded_calls import RecordingSession
from shallotpath.replication import KeyedRecord, PeerAddress, PeerTable

from .processes import make_settings

RECORDED = load_recorded(__file__, "members.json")["member"]
PEER = PeerAddress(id="mate-1", host="10.1.0.40", port=7700, engine=True)


class EndOfTestError(Exception):
    """End the endless loop of `Discovery.find_members`."""


class ListingStore:
    """Serve one listing of members and collect what is written."""

    def __init__(self, records):
        self.records = records
        self.written = []
        self.listed = False

    async def put(self, topic, key, value):
        self.written.append((topic, key, value))

    async def newest(self, topic):
        if self.listed or topic != MEMBER_TOPIC:
            raise EndOfTestError
        self.listed = True
        return TopicPage(self.records, len(self.records))


def recorded_value():
    body = base64.b64decode(RECORDED["body"])
    key_bytes = body[4]
    return body[5 : 5 + key_bytes].decode(), body[5 + key_bytes :]


async def discover(store, address, contacted):
    clock = MonotonicClock()

    def send_gossip(addresses):
        contacted.extend(addresses)
        raise EndOfTestError

    discovery = Discovery(
        make_settings("mate-1", 1, 1),
        address=address,
        peers=PeerTable(PeerAddress("other", "10.1.0.41", 7700, False), Random(1)),
        store=store,
        send_gossip=send_gossip,
        clock=clock,
        reporter=None,
    )
    with pytest.raises(EndOfTestError):
        async with asyncio.timeout(5):
            await discovery.find_members()


async def test_a_process_registers_with_the_recorded_record():
    # Guards against a changed field order of an address or a changed topic: members of
    # two releases would not find each other through the store.
    store = ListingStore([])
    await discover(store, PEER, [])
    ((topic, key, value),) = store.written
    assert (topic, key, value) == (MEMBER_TOPIC, *recorded_value())
    session = RecordingSession()
    with pytest.raises(Exception, match="store did not respond"):
        await StoreClient(Endpoint("127.0.0.1", 9), session).put(topic, key, value)
    assert session.calls == [RECORDED]


async def test_a_recorded_member_is_contacted():
    # Guards against member records of an earlier release that cannot be decoded.
    key, value = recorded_value()
    contacted = []
    await discover(ListingStore([KeyedRecord(key, value, 0)]), PEER, contacted)
    assert contacted == [PEER]
