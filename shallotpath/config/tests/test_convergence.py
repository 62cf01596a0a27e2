"""Check that any order of deliveries leads to the same configuration."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from shallotpath.config import (
    ApplyPreset,
    BringDomainIn,
    DefinePreset,
    Preset,
    Replica,
    Snapshot,
    TakeDomainOut,
    decode_record,
    digest_state,
)
from shallotpath.config import _fold as fold_module

from .helpers import make_log, make_record

CHANGES = st.one_of(
    st.builds(ApplyPreset, st.sampled_from(["ordinary", "peak", "calm"])),
    st.builds(
        lambda id, share: DefinePreset(Preset(id, retry_share=share)),
        st.sampled_from(["peak", "calm"]),
        st.sampled_from([0.1, 0.2]),
    ),
    st.builds(BringDomainIn, st.sampled_from("ab"), st.just("r")),
    st.builds(TakeDomainOut, st.sampled_from("ab"), st.booleans()),
)


@st.composite
def logs(draw):
    records = []
    replica = Replica()
    for n in range(draw(st.integers(1, 12))):
        kind = draw(st.integers(0, 6))
        if kind == 0 and records:
            records.append(draw(st.sampled_from(records)))
        elif kind == 1 and records:
            snapshot = Snapshot(replica.offset, replica.encode_snapshot())
            records.append(make_record(snapshot, replica.offset))
        else:
            base = draw(st.integers(-1, n))
            operator = draw(st.sampled_from(["ann", "bo"]))
            records.append(make_record(draw(CHANGES), base, operator=operator))
        replica.add(make_log(records))
    return make_log(records)


DELIVERIES = st.lists(
    st.tuples(
        st.sampled_from(["log", "peer", "snapshot"]),
        st.integers(0, 2),
        st.integers(0, 2),
        st.integers(0, 12),
        st.integers(1, 5),
    ),
    max_size=40,
)


def deliver(replicas, log, delivery):
    kind, source, target, start, count = delivery
    replica = replicas[target]
    if kind == "log":
        replica.add(log[start : start + count])
    elif kind == "peer":
        push = replicas[source].push_after(start - 1)
        if push is not None:
            replica.add_snapshot(push.snapshot_offset, push.snapshot)
            replica.add(push.records)
    elif replicas[source].offset >= 0:
        sender = replicas[source]
        replica.add_snapshot(sender.offset, sender.encode_snapshot())


@given(logs(), DELIVERIES)
def test_every_interleaving_leads_to_the_same_configuration(log, deliveries):
    # Guards against replicas whose state depends on the order or the source of records.
    replicas = [Replica() for _ in range(3)]
    digests_by_offset = {}
    for delivery in deliveries:
        before = [replica.offset for replica in replicas]
        deliver(replicas, log, delivery)
        for offset, replica in zip(before, replicas, strict=True):
            assert replica.offset >= offset
            state = replica.state_
            assert state.preset_id in state.presets_by_id
            digest = digest_state(state)
            assert digests_by_offset.setdefault(replica.offset, digest) == digest
    for replica in replicas:
        replica.add(log)
    assert len({digest_state(replica.state_) for replica in replicas}) == 1


def count_lost_updates(log):
    """Count accepted changes of objects that changed after their base offset."""
    replica = Replica()
    lost = 0
    marks = {}
    for item in log:
        replica.add([item])
        record = decode_record(item.data)
        if isinstance(record.change, Snapshot):
            continue
        outcome = replica.state_.outcomes_by_command_id[record.header.command_id]
        if outcome.offset != item.offset or not outcome.accepted:
            continue
        key = fold_module.object_written(record.change)
        lost += marks.get(key, -1) > record.header.base_offset
        marks[key] = item.offset
    return lost


@given(logs())
def test_no_accepted_change_overwrites_one_its_operator_had_not_read(log):
    # Guards against lost updates of operators who change the same object.
    assert count_lost_updates(log) == 0


def test_the_lost_update_property_fails_without_the_conflict_check(monkeypatch):
    # Guards against a property test that passes although the last writer wins.
    monkeypatch.setattr(fold_module, "check_conflict", lambda record, state: None)
    check_property = test_no_accepted_change_overwrites_one_its_operator_had_not_read
    with pytest.raises(AssertionError):
        check_property()


def test_the_interleaving_property_fails_without_the_order_of_offsets(monkeypatch):
    # Guards against a property test that passes although records are applied as they
    # arrive.
    def apply_at_once(self, records):
        for record in records:
            self._apply(record)

    monkeypatch.setattr(Replica, "add", apply_at_once)
    with pytest.raises((AssertionError, ExceptionGroup)) as raised:
        test_every_interleaving_leads_to_the_same_configuration()
    failures = ExceptionGroup("found", [raised.value])
    assert failures.subgroup(AssertionError) is not None
