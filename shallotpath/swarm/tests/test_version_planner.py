"""Decision between versions that are announced shortly after each other."""

from datetime import timedelta

import pytest

from shallotpath.core import EPOCH
from shallotpath.gateway import (
    OperatorState,
    VersionAnnouncement,
    WeightsAnnounced,
    WriteTime,
)
from shallotpath.swarm import CurrentTransfer, TransferTimes, VersionPlanner


def seconds(number):
    return timedelta(seconds=number)


def make_planner(bound_s):
    """Return a planner for links over which one copy takes 4 s."""
    return VersionPlanner(
        TransferTimes.over_links(
            48 * 49_152,
            link_bytes_per_s=4.7e6 / 8,
            origin_bytes_per_s=9.4e6 / 8,
            load_time=seconds(0.3),
            bound=seconds(bound_s),
        )
    )


def current(version, started_s=0.0, coverage=0.5, stalled=False):
    return CurrentTransfer(version, EPOCH + seconds(started_s), coverage, stalled)


def announced(*times_s):
    """Return the times of versions 2, 3 and so on."""
    return {n: EPOCH + seconds(at) for n, at in enumerate(times_s, 2)}


@pytest.mark.parametrize(
    ("bound_s", "gap_s", "finishes"),
    [
        # The newer version arrives before the bound of the older one.
        (10, 0.3, False),
        (10, 1, False),
        # The newer version would be 0.2 s late if the older one were finished first.
        (10, 2, False),
        # Both are in time only if the older one is finished first.
        (10, 4, True),
        # Both cannot be in time, and dropping the older one loses less.
        (8, 2, False),
        (8, 4, True),
        # Both are in time in either case.
        (60, 2, False),
        (60, 4, True),
    ],
)
def test_members_of_a_swarm_choose_the_order_that_serves_longest(
    bound_s, gap_s, finishes
):
    # Load pattern: two versions are announced within the bound of the first. Guards
    # against versions that come after their bounds, and against a swarm of which one
    # half goes on with each version, so that both do.
    planner = make_planner(bound_s)
    decisions = {
        planner.finishes_first(
            current(2, started_s, coverage),
            held=1,
            announced_at_by_version=announced(0, gap_s),
            now=EPOCH + seconds(gap_s + delay_s),
        )
        for coverage in (0.0, 0.15, 0.5, 0.95)
        for started_s in (0.1, 1.5)
        for delay_s in (0.05, 0.5, 1)
    }
    assert decisions == {finishes}


def test_three_versions_in_five_seconds_all_come_before_their_bounds():
    # Load pattern: versions at 0, 2.5 and 5 s with a bound of 10 s. Guards against
    # three transfers one after the other, and against two that are dropped, each of
    # which leaves a time without a version that may serve.
    planner = make_planner(10)
    assert not planner.finishes_first(
        current(2),
        held=1,
        announced_at_by_version=announced(0, 2.5),
        now=EPOCH + seconds(2.5),
    )
    assert planner.finishes_first(
        current(3, started_s=2.6),
        held=1,
        announced_at_by_version=announced(0, 2.5, 5),
        now=EPOCH + seconds(5),
    )


@pytest.mark.parametrize(("coverage", "finishes"), [(0.95, True), (0.1, False)])
@pytest.mark.parametrize(
    ("gap_s", "now_s", "stalled"),
    [(2, 3, True), (2, 8.5, True), (2, 8.5, False), (8, 8.1, False)],
)
def test_interrupted_transfer_is_finished_where_little_is_missing(
    coverage, finishes, gap_s, now_s, stalled
):
    # Load pattern: the origin fails with a part of a version sent, and is back later.
    # Guards against a version that is dropped shortly before it could serve, and
    # against one that delays the newer one by a whole transfer.
    assert finishes is make_planner(10).finishes_first(
        current(2, coverage=coverage, stalled=stalled),
        held=1,
        announced_at_by_version=announced(0, gap_s),
        now=EPOCH + seconds(now_s),
    )


def test_coverage_decides_where_a_time_is_not_known():
    # Guards against chunks that are thrown away by a member that has just started.
    for coverage, finishes in ((0.4, True), (0.2, False)):
        assert finishes is make_planner(10).finishes_first(
            current(2, coverage=coverage),
            held=1,
            announced_at_by_version=announced(0) | {3: None},
            now=EPOCH,
        )


@pytest.mark.parametrize("gap_s", [0.5, 1, 2, 3, 4])
def test_versions_announced_all_the_time_do_not_keep_each_from_completing(gap_s):
    # Load pattern: a new version every few seconds. Guards against engines that never
    # get one, so that no weights may be used after the first bound.
    planner = make_planner(10)
    held, transfer, completed_s = 1, 2, []
    started_s = 0.0
    versions = announced(*(n * gap_s for n in range(int(40 / gap_s))))
    for step in range(1, 400):
        now_s = step / 10
        known = {v: at for v, at in versions.items() if at <= EPOCH + seconds(now_s)}
        if now_s - started_s >= planner.times.transfer.total_seconds():
            held, transfer, started_s = transfer, max(known), now_s
            completed_s.append(now_s)
        elif max(known) > transfer and not planner.finishes_first(
            current(transfer, started_s),
            held=held,
            announced_at_by_version={v: at for v, at in known.items() if v > held},
            now=EPOCH + seconds(now_s),
        ):
            transfer, started_s = max(known), now_s
    gaps = [b - a for a, b in zip([0.0, *completed_s], completed_s, strict=False)]
    assert max(gaps) <= 11


def test_times_of_announcements_are_given_once_they_are_known():
    # Guards against a decision by a time that only one of the records has.
    operator = OperatorState()
    operator.apply(WeightsAnnounced("m", 2), WriteTime(EPOCH))
    times = operator.target("m").times
    assert times.announced_at_by_version() == {2: EPOCH}
    operator.apply(WeightsAnnounced("m", 3), None)
    assert times.announced_at_by_version() == {2: EPOCH, 3: None}
    later = WriteTime(EPOCH + timedelta(seconds=2))
    operator.merge_announcement(VersionAnnouncement("m", 3, later))
    assert times.announced_at_by_version() == {2: EPOCH, 3: EPOCH + seconds(2)}
