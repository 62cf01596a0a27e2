"""Replicas of a store that comes back from an older copy, against a plain model."""

from hypothesis import given, settings
from hypothesis import strategies as st

from shallotpath.replication import (
    KeyedRecord,
    KeyedReplica,
    decode_page,
    decode_replica_page,
    encode_message,
    encode_replica_page,
)

KEYS = "abc"


def values(replica):
    """Return the value of each key that a replica has in use."""
    records = replica.in_use()
    return {key: r.value for key, r in records.items() if r.value is not None}


class Model:
    """Hold a log that falls back to copies, and the calls of its readers."""

    def __init__(self):
        self.era = 1
        self.log = []

    def append(self, key, value):
        self.log.append(KeyedRecord(key, value, len(self.log), self.era))

    def fall(self, lost):
        del self.log[max(0, len(self.log) - lost) :]
        self.era += 1

    def newest(self):
        newest = {record.key: record.value for record in self.log}
        return {key: value for key, value in newest.items() if value is not None}

    def records(self, start=0):
        return [
            KeyedRecord(r.key, r.value, r.offset, self.era) for r in self.log[start:]
        ]

    def list_to(self, replica):
        newest = {r.key: r for r in self.records()}
        listed = [r for r in newest.values() if r.value is not None]
        return replica.replace(listed, len(self.log), era=self.era)

    def read_to(self, replica):
        """Read on, or list anew, as a process does."""
        if replica.era < self.era or replica.copied_below_ is None:
            return self.list_to(replica)
        return replica.merge(self.records(replica.end), len(self.log), self.era)


def pull(replica, peer):
    """Pull a page of a peer over the wire."""
    sent = encode_replica_page(peer.page_after(replica.end, replica.era))
    page = decode_replica_page(decode_page(encode_message(sent)))
    return replica.apply_page(page)


def follow(count):
    """Return a model with records and a replica of them."""
    model, replica = Model(), KeyedReplica()
    for offset in range(count):
        model.append(f"k{offset % 10}", b"%d" % offset)
    model.list_to(replica)
    return model, replica


def test_record_written_again_below_the_old_end_is_seen():
    # Guards against a replica at end 100 that keeps the old record of an upstream that
    # has written again at 91, and does not see what follows up to 100.
    model, replica = follow(100)
    model.fall(10)
    model.list_to(replica)
    assert replica.end == 90
    model.append("k9", b"moved")
    model.append("new", b"1")
    changed = model.read_to(replica)
    assert {r.key for r in changed} == {"k9", "new"}
    assert values(replica)["k9"] == b"moved"


def test_lost_records_stay_in_use_until_they_expire():
    # Guards against an upstream that is dropped before it can register again, and one
    # that stays although the store has lost it.
    model, replica = follow(90)
    model.append("lost", b"1")
    model.append("k1", b"later")
    model.read_to(replica)
    model.fall(2)
    assert model.list_to(replica) == []
    assert values(replica)["lost"] == b"1"
    assert values(replica)["k1"] == b"later"
    replica.expire(keeps_removals=True)
    assert values(replica) == model.newest()


def test_removed_key_stays_removed_while_only_the_copy_has_it():
    # Guards against requests to an upstream that has left, when the copy still has it.
    model, replica = follow(90)
    model.append("k1", None)
    model.read_to(replica)
    model.fall(1)
    model.list_to(replica)
    fresh = KeyedReplica()
    pull(fresh, replica)
    replica.expire(keeps_removals=True)
    assert "k1" not in values(replica)
    assert "k1" not in values(fresh)
    model.append("k1", b"back")
    model.read_to(replica)
    assert values(replica)["k1"] == b"back"


def test_peer_without_an_era_changes_nothing():
    # Guards against a peer of the release before that undoes the fall.
    model, replica = follow(100)
    before = KeyedReplica()
    before.replace([KeyedRecord("lost", b"1", 99)], 100)
    model.fall(10)
    model.list_to(replica)
    replica.expire(keeps_removals=True)
    assert pull(replica, before) == []
    assert replica.end == 90
    assert "lost" not in values(replica)


def test_fresh_replica_takes_over_what_a_peer_retains():
    # Guards against an entry that starts during the return and misses upstreams.
    model, replica = follow(90)
    model.append("lost", b"1")
    model.read_to(replica)
    model.fall(1)
    model.list_to(replica)
    fresh = KeyedReplica()
    pull(fresh, replica)
    assert values(fresh) == values(replica)
    fresh.expire(keeps_removals=True)
    assert pull(fresh, replica) == []
    assert values(fresh) == model.newest()


@st.composite
def histories(draw):
    steps = st.one_of(
        st.tuples(st.just("append"), st.sampled_from(KEYS), st.integers(0, 3)),
        st.tuples(st.just("fall"), st.integers(0, 6)),
        st.tuples(st.just("read"), st.integers(0, 2)),
        st.tuples(st.just("late"), st.integers(0, 2)),
        st.tuples(st.just("pull"), st.integers(0, 2), st.integers(0, 2)),
        st.tuples(st.just("expire"), st.integers(0, 2)),
    )
    return draw(st.lists(steps, max_size=40))


class History:
    """Play steps on a model and three replicas that lose and delay calls."""

    def __init__(self):
        self.model = Model()
        self.replicas = [KeyedReplica() for _ in range(3)]
        # What the appliers of the replicas have been told.
        self.told = [{} for _ in self.replicas]
        self.written = 0
        self.delayed = []

    def append(self, key, choice):
        self.written += 1
        self.model.append(key, b"%d" % self.written if choice else None)

    def fall(self, lost):
        self.model.fall(lost)

    def read(self, index):
        self._tell(index, self.model.read_to(self.replicas[index]))

    def late(self, index):
        """Deliver the read and the listing that were made when last played."""
        replica = self.replicas[index]
        for read, listed, end, era in self.delayed:
            if replica.copied_below_ is not None:
                self._tell(index, replica.merge(read, end, era))
            self._tell(index, replica.replace(listed, end, era=era))
        read, end, era = self.model.records(), len(self.model.log), self.model.era
        listed = [r for r in {r.key: r for r in read}.values() if r.value is not None]
        self.delayed = [(read, listed, end, era)]

    def pull(self, index, peer):
        self._tell(index, pull(self.replicas[index], self.replicas[peer]))

    def expire(self, index):
        replica = self.replicas[index]
        if replica.copied_below_ is not None:
            self._tell(index, replica.expire(keeps_removals=False))

    def _tell(self, index, records):
        self.told[index].update({r.key: r.value for r in records})


@settings(max_examples=400, deadline=None)
@given(histories())
def test_replicas_agree_with_the_store_once_quiet(history):
    # Guards against a mix of eras that stays: a record that the store has lost, one
    # that a replica never sees, or one that its applier is not told of.
    played = History()
    for name, *arguments in history:
        getattr(played, name)(*arguments)
    for index, replica in enumerate(played.replicas):
        played.read(index)
        played.expire(index)
        assert replica.era == played.model.era
        assert replica.end == len(played.model.log)
        assert values(replica) == played.model.newest()
        told = {k: v for k, v in played.told[index].items() if v is not None}
        assert told == played.model.newest()


@settings(max_examples=400, deadline=None)
@given(histories())
def test_replicas_never_go_back_in_era_and_offset(history):
    # Guards against an end, or the record of a key, that returns to an earlier state.
    played = History()
    for name, *arguments in history:
        before = [(r.era, r.end) for r in played.replicas]
        records = [dict(r.records_by_key_) for r in played.replicas]
        getattr(played, name)(*arguments)
        after = [(r.era, r.end) for r in played.replicas]
        assert all(x <= y for x, y in zip(before, after, strict=True))
        for replica, known in zip(played.replicas, records, strict=True):
            for key, record in replica.records_by_key_.items():
                assert key not in known or known[key].position <= record.position
