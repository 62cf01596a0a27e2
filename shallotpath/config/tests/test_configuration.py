from datetime import timedelta

from shallotpath.bench._memory_link import Link, make_member
from shallotpath.config import PutTeam, Team, decode_record, encode_record
from shallotpath.core import ConfigPush, LogRecord, Received

from .helpers import Group, apply_preset, domains, make_record, peak


def append(link, *records):
    for record in records:
        link.append(encode_record(record))


def expire(link, keep):
    """Drop the oldest records, as the platform's log does."""
    kept = link.log[-keep:]
    link.read_log = lambda: read_kept(link, kept)


def read_kept(link, kept):
    everything = link.log
    first = kept[0].offset
    for address, (part, offset) in list(link.readers.items()):
        if offset < first:
            link.readers[address] = (part, first)
    Link.read_log(link)
    assert link.log is everything


def teams(count, start=0):
    return [
        make_record(PutTeam(Team(f"t{n}", f"d{n}")), n - 1)
        for n in range(start, start + count)
    ]


def test_records_are_in_force_everywhere_within_three_seconds():
    link = Link()
    group = Group(link, 60, ("d0", "d1", "d2"))
    group.seconds(15)
    append(link, peak(), *domains("a", "b"))
    group.seconds(3)
    assert {offset for offset, _ in group.seen()} == {2}
    assert len(group.seen()) == 1
    readers = [c for c in group.configurations.values() if c.is_reader]
    assert len(readers) == 9


def test_packet_loss_delays_but_does_not_split_the_configuration():
    link = Link(loss=0.2)
    group = Group(link, 60, ("d0", "d1"))
    group.seconds(20)
    append(link, *teams(50))
    group.seconds(12)
    assert {offset for offset, _ in group.seen()} == {49}
    assert len(group.seen()) == 1


def test_a_fresh_process_takes_the_highest_offset_from_peers_during_an_outage():
    link = Link()
    group = Group(link, 20)
    append(link, *teams(300))
    group.seconds(15)
    link.log_up = False
    fresh = group.start(make_member(99))
    assert fresh.offset == -1
    group.seconds(3)
    assert fresh.offset >= 299
    assert len(group.seen()) == 1


def test_a_process_without_any_peer_or_log_has_no_configuration():
    # Guards against serving from defaults that no operator ever accepted.
    link = Link()
    link.log_up = False
    group = Group(link, 1)
    group.seconds(5)
    assert {offset for offset, _ in group.seen()} == {-1}


def test_a_snapshot_is_appended_in_time_and_serves_a_fresh_process():
    link = Link()
    group = Group(link, 6, snapshot_records=40)
    group.seconds(10)
    for n in range(0, 100, 10):
        append(link, *teams(10, n))
        group.seconds(2)
    snapshots = [r.offset for r in link.log if b"Snapshot" in r.data]
    assert len(snapshots) in (2, 3)
    expire(link, len(link.log) - snapshots[-1] + 2)
    alone = Group(link, 0)
    link.cut = lambda a, b: "late" in a or "late" in b
    fresh = alone.start(make_member(1, prefix="late"))
    alone.seconds(2)
    digests = {c.digest for c in group.configurations.values()}
    assert digests == {fresh.digest}


def test_another_reader_appends_the_snapshot_when_the_chosen_one_is_paused():
    link = Link()
    group = Group(link, 6, snapshot_records=40)
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


def test_two_snapshots_of_one_offset_are_harmless():
    link = Link()
    group = Group(link, 4, snapshot_records=10)
    group.seconds(5)
    append(link, *teams(11))
    group.seconds(5)
    snapshot = next(r for r in link.log if b"Snapshot" in r.data)
    link.append(snapshot.data)
    append(link, peak(base=10))
    group.seconds(5)
    assert len(group.seen()) == 1
    assert all("peak" in c.presets_by_id for c in group.configurations.values())


def test_a_snapshot_is_renewed_although_nothing_changes():
    # Guards against the last snapshot expiring during a quiet week.
    link = Link()
    group = Group(link, 3, snapshot_interval=timedelta(minutes=2))
    append(link, peak())
    group.seconds(300)
    snapshots = [r for r in link.log if b"Snapshot" in r.data]
    assert len(snapshots) == 2


def test_a_cut_off_domain_reconciles_and_never_reverts():
    link = Link()
    group = Group(link, 30, ("d0", "d1"))
    append(link, peak())
    group.seconds(15)
    link.cut = lambda a, b: ("d1" in a) != ("d1" in b)
    link.readers = {a: r for a, r in link.readers.items() if "d1" not in a}
    append(link, apply_preset("peak", 0))
    group.seconds(10)
    assert {offset for offset, _ in group.seen()} == {0, 1}
    link.cut = lambda a, b: False
    group.seconds(10)
    assert {offset for offset, _ in group.seen()} == {1}
    assert group.reverted == 0


def test_a_paused_process_and_moving_clocks_lead_to_no_lower_offset():
    link = Link()
    group = Group(link, 10)
    append(link, *teams(5))
    group.seconds(10)
    link.paused = {"tcp://vm-d0-3"}
    append(link, *teams(5, 5))
    group.seconds(30)
    link.clock.advance(timedelta(hours=-3))
    link.paused = set()
    group.seconds(20)
    assert {offset for offset, _ in group.seen()} == {9}
    assert group.reverted == 0


def test_old_or_wrong_pushes_are_ignored():
    link = Link()
    group = Group(link, 2)
    append(link, *teams(5))
    group.seconds(5)
    address, configuration = next(iter(group.configurations.items()))
    digest = configuration.digest
    old = ConfigPush([LogRecord(1, b"x")], 2, b"not a snapshot")
    link.dispatch(address, Received("tcp://other", old))
    wrong = ConfigPush([], 50, b"not a snapshot")
    link.dispatch(address, Received("tcp://other", wrong))
    assert (configuration.offset, configuration.digest) == (4, digest)


def test_a_slow_log_delivers_in_order():
    link = Link()
    group = Group(link, 10)
    group.seconds(5)
    link.read_log = lambda: Link.read_log(link, limit=1)
    append(link, *teams(10))
    group.seconds(1)
    assert max(offset for offset, _ in group.seen()) < 9
    group.seconds(4)
    assert {offset for offset, _ in group.seen()} == {9}
