from datetime import timedelta

from shallotpath.bench._memory_link import Link, make_member
from shallotpath.config import PutTeam, Team, decode_record, encode_record
from shallotpath.core import ConfigPush, LogRecord, Received

from .helpers import (
    ProcessGroup,
    apply_preset,
    bring_in_domains,
    define_peak_preset,
    make_record,
)


def append(link, *records):
    for record in records:
        link.append(encode_record(record))


def drop_old_records(link, keep):
    """Drop all but the newest records, as the platform's log does."""
    retained = link.log[-keep:]
    link.read_log = lambda: read_retained(link, retained)


def read_retained(link, retained):
    """Deliver the log to readers that start at the oldest retained record."""
    whole_log = link.log
    first = retained[0].offset
    for address, (part, offset) in list(link.readers.items()):
        if offset < first:
            link.readers[address] = (part, first)
    Link.read_log(link)
    assert link.log is whole_log


def teams(count, start=0):
    return [
        make_record(PutTeam(Team(f"t{n}", f"d{n}")), n - 1)
        for n in range(start, start + count)
    ]


def test_records_take_effect_everywhere_within_three_seconds():
    # Guards against processes or domains that records reach late, and against more
    # readers of the log than three per domain.
    link = Link()
    group = ProcessGroup(link, 60, ("d0", "d1", "d2"))
    group.seconds(15)
    append(link, define_peak_preset(), *bring_in_domains("a", "b"))
    group.seconds(3)
    assert {offset for offset, _ in group.offsets_and_digests()} == {2}
    assert len(group.offsets_and_digests()) == 1
    readers = [c for c in group.configurations.values() if c.is_reader]
    assert len(readers) == 9


def test_packet_loss_does_not_split_the_configuration():
    # Guards against a lost push that leaves a process at an older offset.
    link = Link(loss=0.2)
    group = ProcessGroup(link, 60, ("d0", "d1"))
    group.seconds(20)
    append(link, *teams(50))
    group.seconds(12)
    assert {offset for offset, _ in group.offsets_and_digests()} == {49}
    assert len(group.offsets_and_digests()) == 1


def test_a_new_process_gets_the_newest_configuration_during_a_log_outage():
    # Guards against a new process that waits for the log although its peers have the
    # configuration.
    link = Link()
    group = ProcessGroup(link, 20)
    append(link, *teams(300))
    group.seconds(15)
    link.log_up = False
    fresh = group.start(make_member(99))
    assert fresh.offset == -1
    group.seconds(3)
    assert fresh.offset >= 299
    assert len(group.offsets_and_digests()) == 1


def test_a_process_without_peers_and_log_has_no_configuration():
    # Guards against serving from defaults that no operator ever accepted.
    link = Link()
    link.log_up = False
    group = ProcessGroup(link, 1)
    group.seconds(5)
    assert {offset for offset, _ in group.offsets_and_digests()} == {-1}


def test_a_snapshot_replaces_the_records_that_the_log_dropped():
    # Guards against snapshots that come too late or too often, and a new process that
    # can't build the configuration because the log has dropped the first records.
    link = Link()
    group = ProcessGroup(link, 6, snapshot_records=40)
    group.seconds(10)
    for n in range(0, 100, 10):
        append(link, *teams(10, n))
        group.seconds(2)
    snapshots = [r.offset for r in link.log if b"Snapshot" in r.data]
    assert len(snapshots) in (2, 3)
    drop_old_records(link, len(link.log) - snapshots[-1] + 2)
    alone = ProcessGroup(link, 0)
    link.cut = lambda a, b: "late" in a or "late" in b
    fresh = alone.start(make_member(1, prefix="late"))
    alone.seconds(2)
    digests = {c.digest for c in group.configurations.values()}
    assert digests == {fresh.digest}


def test_another_reader_appends_the_snapshot_when_the_chosen_one_is_paused():
    # Guards against a snapshot that is never appended because one reader hangs.
    link = Link()
    group = ProcessGroup(link, 6, snapshot_records=40)
    group.seconds(10)
    append(link, *teams(60))
    chosen = []
    link.log_up = False
    group.seconds(1)
    link.log_up = True
    for address, configuration in group.configurations.items():
        if configuration.is_reader and not chosen:
            chosen.append(address)
    link.paused = set(chosen)
    group.seconds(60)
    snapshots = [decode_record(r.data) for r in link.log if b"Snapshot" in r.data]
    assert snapshots
    assert snapshots[0].header.operator not in chosen[0]


def test_two_snapshots_of_one_offset_change_nothing():
    # Guards against a split or a stop when two readers append a snapshot at once.
    link = Link()
    group = ProcessGroup(link, 4, snapshot_records=10)
    group.seconds(5)
    append(link, *teams(11))
    group.seconds(5)
    snapshot = next(r for r in link.log if b"Snapshot" in r.data)
    link.append(snapshot.data)
    append(link, define_peak_preset(base=10))
    group.seconds(5)
    assert len(group.offsets_and_digests()) == 1
    assert all("peak" in c.presets_by_id for c in group.configurations.values())


def test_a_snapshot_is_renewed_without_changes():
    # Guards against the last snapshot expiring during a quiet week.
    link = Link()
    group = ProcessGroup(link, 3, snapshot_interval=timedelta(minutes=2))
    append(link, define_peak_preset())
    group.seconds(300)
    snapshots = [r for r in link.log if b"Snapshot" in r.data]
    assert len(snapshots) == 2


def test_a_partitioned_domain_reconciles_and_never_reverts():
    # Guards against a domain that keeps or spreads an old offset after a partition.
    link = Link()
    group = ProcessGroup(link, 30, ("d0", "d1"))
    append(link, define_peak_preset())
    group.seconds(15)
    link.cut = lambda a, b: ("d1" in a) != ("d1" in b)
    link.readers = {a: r for a, r in link.readers.items() if "d1" not in a}
    append(link, apply_preset("peak", 0))
    group.seconds(10)
    assert {offset for offset, _ in group.offsets_and_digests()} == {0, 1}
    link.cut = lambda a, b: False
    group.seconds(10)
    assert {offset for offset, _ in group.offsets_and_digests()} == {1}
    assert group.reverted_offsets == 0


def test_pauses_and_clock_jumps_never_lower_the_offset():
    # Guards against a process that reverts to older records or stops pulling after a
    # pause during which the clock was set back.
    link = Link()
    group = ProcessGroup(link, 10)
    append(link, *teams(5))
    group.seconds(10)
    link.paused = {"tcp://vm-d0-3"}
    append(link, *teams(5, 5))
    group.seconds(30)
    link.clock.advance(timedelta(hours=-3))
    link.paused = set()
    group.seconds(20)
    assert {offset for offset, _ in group.offsets_and_digests()} == {9}
    assert group.reverted_offsets == 0


def test_outdated_or_invalid_pushes_change_nothing():
    # Guards against an invalid record or snapshot of a peer that replaces the state.
    link = Link()
    group = ProcessGroup(link, 2)
    append(link, *teams(5))
    group.seconds(5)
    address, configuration = next(iter(group.configurations.items()))
    digest = configuration.digest
    old = ConfigPush([LogRecord(1, b"x")], 2, b"not a snapshot")
    link.dispatch(address, Received("tcp://other", old))
    wrong = ConfigPush([], 50, b"not a snapshot")
    link.dispatch(address, Received("tcp://other", wrong))
    assert (configuration.offset, configuration.digest) == (4, digest)


def test_a_slow_log_is_applied_in_order():
    # Guards against records that are skipped when the log returns one at a time.
    link = Link()
    group = ProcessGroup(link, 10)
    group.seconds(5)
    link.read_log = lambda: Link.read_log(link, limit=1)
    append(link, *teams(10))
    group.seconds(1)
    assert max(offset for offset, _ in group.offsets_and_digests()) < 9
    group.seconds(4)
    assert {offset for offset, _ in group.offsets_and_digests()} == {9}
