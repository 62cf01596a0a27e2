"""Tests of replicas, peer tables and message encoding."""

import zlib
from datetime import timedelta
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from shallotpath.core import EPOCH, FrameError
from shallotpath.gateway import EntryLoad
from shallotpath.replication import (
    GossipMessage,
    KeyedRecord,
    KeyedReplica,
    ListingPage,
    PeerAddress,
    PeerTable,
    PlacementItem,
    RecordItem,
    RecordPage,
    TopicItem,
    decode_datagram,
    decode_page,
    encode_message,
    pack_records,
    unpack_records,
)

LOG = [
    KeyedRecord("ab"[n % 2], None if n % 7 == 3 else bytes([n]), n) for n in range(20)
]


def newest_by_key():
    return {record.key: record for record in LOG}


@given(st.lists(st.tuples(st.integers(0, 20), st.integers(0, 20)), max_size=12))
def test_replica_never_goes_back_and_ends_at_the_newest(reads):
    # Guards against a delayed answer of the store that overwrites newer records
    # received from a peer.
    replica = KeyedReplica()
    offsets = {}
    for start, end in reads:
        replica.merge(LOG[start:end], 0)
        for key, record in replica.records_by_key_.items():
            assert record.offset >= offsets.get(key, -1)
            offsets[key] = record.offset
    replica.merge(LOG, 20)
    assert replica.records_by_key_ == newest_by_key()
    assert replica.end == 20


def test_full_listing_removes_keys_that_are_missing_from_it():
    # Guards against an upstream that stays listed because the record of its removal
    # was compacted away in the store.
    replica = KeyedReplica()
    replica.merge([KeyedRecord("a", b"1", 1), KeyedRecord("b", b"1", 2)], 3)
    changed = replica.replace([KeyedRecord("b", b"2", 8)], 9)
    assert {record.key: record.value for record in changed} == {"a": None, "b": b"2"}


def test_full_listing_keeps_keys_that_are_newer_than_it():
    # Guards against a delayed listing that removes keys added after it was made.
    replica = KeyedReplica()
    replica.merge([KeyedRecord("a", b"1", 12)], 13)
    replica.replace([], 9)
    assert replica.records_by_key_["a"].value == b"1"


def live_at(log, end):
    """Return the value of each key that is present below an offset of a log."""
    newest = {record.key: record.value for record in log[:end]}
    return {key: value for key, value in newest.items() if value is not None}


class Follower:
    """Follow a log by reads, listings and pages of peers that may come late."""

    def __init__(self):
        self.replica = KeyedReplica()
        # Answers that are on their way, oldest first.
        self.answers = []

    def ask(self, action, log, end, other):
        """Ask the store or another follower; the answer is applied later."""
        if action == "read":
            records = log[self.replica.end : end]
            self.answers.append(lambda: self.replica.merge(records, end))
        elif action == "list":
            present = {record.key: record for record in log[:end]}.values()
            records = [record for record in present if record.value is not None]
            self.answers.append(lambda: self.replica.replace(records, end))
        else:
            page = other.replica.page_after(self.replica.end)
            self.answers.append(lambda: self.replica.apply_page(page))


@given(
    st.lists(st.tuples(st.sampled_from("ab"), st.booleans()), max_size=20),
    st.lists(
        st.tuples(
            st.sampled_from(["read", "list", "pull", "restart", "first", "last"]),
            st.integers(0, 1),
            st.integers(0, 1),
            st.integers(0, 2),
        ),
        max_size=40,
    ),
)
@settings(max_examples=1000)
def test_pulls_pass_on_removals_that_the_peer_never_read(writes, steps):
    # Guards against requests to an upstream whose removal was written before the peer
    # that reads the store for others started, and against one that comes back with a
    # late answer from before its removal.
    log = [
        KeyedRecord(key, b"%d" % n if present else None, n)
        for n, (key, present) in enumerate(writes)
    ]
    followers = [Follower() for _ in range(2)]
    end = 0
    for action, own, other, count in steps:
        end = min(len(log), end + count)
        follower = followers[own]
        if action == "restart":
            followers[own] = Follower()
        elif action not in ("first", "last"):
            follower.ask(action, log, end, followers[other])
        elif follower.answers:
            follower.answers.pop(0 if action == "first" else -1)()
        replica = followers[own].replica
        held = {r.key: r.value for r in replica.records_by_key_.values()}
        held = {key: value for key, value in held.items() if value is not None}
        # A listing may show records beyond the offset that it is complete up to.
        assert held == live_at(log, replica.end)


@pytest.mark.parametrize("late", ["pull", "list"])
def test_late_answer_does_not_bring_a_removed_key_back(late):
    # Guards against requests to a removed upstream from an entry that has just started:
    # the store's listing without it came before the page of a peer that still had it.
    log = [KeyedRecord("a", b"1", 0), KeyedRecord("a", None, 1)]
    peer, started = Follower(), Follower()
    peer.ask("list", log, 1, None)
    peer.answers.pop()()
    started.ask(late, log, 1, peer)
    started.ask("list", log, 2, None)
    started.answers.pop()()
    started.answers.pop()()
    assert [r.value for r in started.replica.records_by_key_.values()] in ([], [None])


def test_page_has_older_records_as_keys_only():
    # Guards against a whole configuration that crosses the link between regions because
    # a peer has restarted.
    reader, follower = KeyedReplica(), KeyedReplica()
    old = KeyedRecord("config", b"x" * 1000, 1)
    follower.merge([KeyedRecord("a", b"1", 0), old], 2)
    reader.replace([old, KeyedRecord("b", b"2", 3)], 4)
    page = reader.page_after(follower.end)
    assert [record.key for record in page.records] == ["b"]
    assert page.kept_keys == ["config"]
    assert {r.key: r.value for r in follower.apply_page(page)} == {"a": None, "b": b"2"}
    assert reader.page_after(4).kept_keys is None


def address(number, *, engine=False):
    return PeerAddress(f"p{number}", f"10.0.0.{number}", 7700, engine)


def make_message(number, sequence, incarnation=1, **fields):
    return GossipMessage(address(number), incarnation, sequence, "a-1", **fields)


def test_decoded_messages_equal_the_encoded_ones():
    # Guards against fields that are lost or changed by encoding and decoding.
    message = make_message(1, 2, topics=[TopicItem("t", 5, 0.25)], peers=[address(3)])
    assert decode_datagram(encode_message(message)) == message
    placed = PlacementItem("p1", "u1", EntryLoad(1, 900))
    assert decode_datagram(encode_message(placed)) == placed
    for page in (RecordPage(7, b"packed", 0.5), ListingPage(7, b"p", 0.5, ["a"])):
        assert decode_page(encode_message(page)) == page
    records = [RecordItem("a", b"1", 3), RecordItem("b", None, 4)]
    assert unpack_records(pack_records(records)) == records


@pytest.mark.parametrize(
    "packed", [b"", b"no", pack_records([])[:-2], zlib.compress(b"\xc1")]
)
def test_unreadable_pages_are_frame_errors(packed):
    # Guards against truncated or corrupt pages that raise other, uncaught errors.
    with pytest.raises(FrameError, match="run the same release"):
        unpack_records(packed)


@pytest.mark.parametrize("payload", [b"", b"\xc1", b"\x92\x03\x90", b"\x92\x63\xc0"])
def test_unreadable_messages_are_frame_errors(payload):
    # Guards against corrupt datagrams and ones of another protocol that raise other,
    # uncaught errors.
    with pytest.raises(FrameError, match="run the same release"):
        decode_datagram(payload)


def test_late_message_is_ignored_and_a_restart_is_accepted():
    # Guards against reordered datagrams that restore old state, and against a restarted
    # peer that is ignored because its sequence numbers begin again.
    table = PeerTable(address(0), Random(1))
    assert table.update(make_message(1, 5), EPOCH)
    assert not table.update(make_message(1, 4), EPOCH)
    assert table.update(make_message(1, 1, incarnation=2), EPOCH)
    # The wall clock went back between two starts.
    later = EPOCH + timedelta(seconds=2)
    assert table.update(make_message(1, 1, incarnation=1), later)


def test_silent_entry_keeps_its_share_of_the_limits_for_a_window():
    # Guards against entries on both sides of a network partition that together exceed
    # the limits.
    table = PeerTable(address(0), Random(1))
    table.update(make_message(1, 1), EPOCH)
    table.update(GossipMessage(address(2, engine=True), 1, 1, "a-1"), EPOCH)
    assert table.entries(EPOCH + timedelta(seconds=11)) == 2
    assert table.entries(EPOCH + timedelta(seconds=13)) == 1
    assert [p.id for p in table.live(EPOCH + timedelta(seconds=4))] == []


def test_entry_that_only_a_third_one_hears_keeps_its_share_of_the_limits():
    # Guards against two entries that cannot reach each other, but the same upstreams,
    # and that each take the share of the other.
    table = PeerTable(address(0), Random(1))
    table.update(make_message(2, 1), EPOCH)
    for second in range(0, 40, 2):
        now = EPOCH + timedelta(seconds=second)
        table.update(make_message(1, second + 1, peers=[address(2)]), now)
        table.tick(now)
        assert table.entries(now) == 3


def test_silent_process_is_not_passed_on():
    # Guards against addresses of VMs that are gone and that peers keep alive by telling
    # each other.
    table = PeerTable(address(0), Random(1))
    table.update(make_message(1, 1), EPOCH)
    table.update(make_message(2, 1, peers=[address(3)]), EPOCH)
    assert {peer.id for peer in table.sample(EPOCH)} == {"p1", "p2"}
    later = EPOCH + timedelta(seconds=20)
    table.update(make_message(1, 2), later)
    assert {peer.id for peer in table.sample(later)} == {"p1"}
    assert table.entries(later) == 2


def test_addresses_are_passed_on():
    # Guards against peers that never learn of a process which they have not heard from.
    table = PeerTable(address(0), Random(1))
    table.update(make_message(1, 1, peers=[address(0), address(2)]), EPOCH)
    assert {peer.id for peer in table.all()} == {"p1", "p2"}
