"""Order of competing requests, and the level that entries agree on."""

from datetime import timedelta

import pytest

from shallotpath.admission import (
    Applicant,
    Demand,
    DemandKey,
    DemandTracker,
    Level,
    MinimumShares,
    Obstacle,
    PriorityAdmission,
    Rank,
    find_obstacle,
    retry_window,
    work_factor,
)
from shallotpath.core import EPOCH


def ms(value):
    return timedelta(milliseconds=value)


URGENT, MIDDLE, LEAST = (DemandKey("llm", rank) for rank in range(3))
KEYS = (URGENT, MIDDLE, LEAST)


def record(tracker, key, count, refused, at=EPOCH):
    for number in range(count):
        tracker.record(
            key, target=ms(400), work=ms(100), refused=number < refused, now=at
        )


def make_applicant(**changes):
    values = {
        "wait": ms(100),
        "queueing": ms(80),
        "max_wait": ms(300),
        "most_urgent_wait": ms(0),
        "most_urgent_max_wait": ms(300),
    }
    return Applicant(**(values | changes))


def test_engines_get_the_order_of_priorities_with_retries_last_in_each():
    # Guards against a retry of one priority that runs before first attempts of it, or
    # after those of a less urgent one.
    ranks = [Rank.of(key.rank, (0, 1, 2)) for key in KEYS]
    numbers = [
        rank.engine_priority(is_retry=retry)
        for rank in ranks
        for retry in (False, True)
    ]
    assert numbers == sorted(set(numbers))
    crowded = [Rank.of(p, tuple(range(12))) for p in range(12)]
    assert max(rank.engine_priority(is_retry=True) for rank in crowded) <= 9


def test_one_priority_keeps_the_two_numbers_of_before():
    # Guards against changed decisions where no priorities compete.
    rank = Rank.of(3, (3,))
    numbers = [rank.engine_priority(is_retry=retry) for retry in (False, True)]
    assert numbers == [4, 7]


def test_a_less_urgent_request_is_refused_before_a_more_urgent_one():
    # Load pattern: more urgent requests queue. Guards against a looser target that lets
    # a less urgent request wait where a more urgent one is refused.
    level = Level(target=ms(400))
    loose = make_applicant(max_wait=ms(700), most_urgent_wait=ms(320))
    assert find_obstacle(loose, level) is Obstacle.MORE_URGENT_WAIT
    assert find_obstacle(loose, Level()) is None


def test_refusals_of_more_urgent_requests_shorten_the_wait_of_others():
    # Load pattern: a burst of the most urgent. Guards against engines that stay full of
    # less urgent requests, and against a level that changes for the urgent themselves.
    policy = PriorityAdmission()
    record(policy.demand, URGENT, 100, 14)
    assert policy.level(URGENT, 26, EPOCH) == Level()
    level = policy.level(LEAST, 26, EPOCH)
    assert level.pressure == pytest.approx(0.7)
    assert find_obstacle(make_applicant(), level) is Obstacle.LEVEL
    later = policy.level(LEAST, 26, EPOCH + timedelta(seconds=20))
    assert find_obstacle(make_applicant(), later) is None


def test_a_queued_request_counts_more_urgent_ones_that_come_later():
    # Guards against requests that are admitted and overtaken until they are late.
    busy = Level(busy_share=0.8, target=ms(400))
    assert find_obstacle(make_applicant(), busy) is Obstacle.WAIT
    running = make_applicant(queueing=ms(0))
    assert find_obstacle(running, busy) is None


def test_peers_make_up_the_same_level_until_they_fall_silent():
    # Failure: a peer freezes. Guards against entries that decide by different levels,
    # and against a level that stays after its cause.
    one, other = DemandTracker(), DemandTracker()
    record(one, URGENT, 90, 9)
    record(other, URGENT, 10, 1)
    for _ in range(3):
        one.update_peer("other", other.own(EPOCH), EPOCH)
        other.update_peer("one", one.own(EPOCH), EPOCH)
    for tracker in (one, other):
        (total,) = tracker.more_urgent(LEAST, EPOCH)
        assert (total.offered, total.refused) == pytest.approx((100, 10))
    assert one.more_urgent(LEAST, EPOCH + timedelta(seconds=30)) == []


def test_a_restarted_peer_replaces_what_it_reported():
    # Failure: an entry restarts within a burst. Guards against sums that keep growing
    # or become negative.
    tracker = DemandTracker()
    for at in range(50):
        now = EPOCH + ms(300 * at)
        offered = 40.0 if at % 7 else 0.5
        demand = Demand(offered, offered / 10, 1.0, ms(400))
        tracker.update_peer("other", {URGENT: demand}, now)
        (total,) = tracker.more_urgent(LEAST, now)
        assert total.offered == pytest.approx(offered, rel=0.15, abs=0.5)
        assert total.refused_share == pytest.approx(0.1, abs=0.05)


def test_each_group_keeps_its_minimum_share():
    # Failure: a team marks all of its requests as urgent. Guards against a priority or
    # a team that is refused entirely, and against shares that grow while unused.
    shares = MinimumShares()
    admitted = 0
    for _ in range(300):
        shares.offer("least", 1 / 3)
        if shares.available("least"):
            shares.admitted("least")
            admitted += 1
    assert admitted == pytest.approx(100, abs=2)
    for _ in range(100):
        shares.offer("calm", 1 / 3)
        shares.admitted("calm")
    assert not shares.available("calm")


def test_large_requests_keep_most_of_their_wait():
    # Guards against the largest tenth of requests that is refused always.
    assert work_factor(ms(400), ms(100)) == 0.85
    assert work_factor(ms(100), ms(100)) == 1
    assert 1 < work_factor(ms(10), ms(100)) <= 1.1


def test_refused_callers_return_by_priority():
    # Guards against callers of all priorities that return at once.
    windows = [retry_window(Rank(p, 3), ms(900), ms(2100)) for p in range(3)]
    assert windows == [
        (ms(900), ms(1300)),
        (ms(1300), ms(1700)),
        (ms(1700), ms(2100)),
    ]
