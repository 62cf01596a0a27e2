"""Limits that entries share, while entries restart."""

from bisect import bisect_left
from datetime import timedelta
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from shallotpath.core import EPOCH
from shallotpath.gateway import (
    BudgetLimit,
    ColdLimit,
    ColdLimiter,
    CrashSuspects,
    RetryBudget,
    UpstreamTable,
)

from .helpers import lost_request, make_record, make_subsets, ms

WINDOW = timedelta(seconds=10)
LIMIT = BudgetLimit(ratio=0.2, extra=102, window=WINDOW)
# Requests over two and a half windows; the extra is used up early in each window.
REQUEST_COUNT, REQUEST_INTERVAL = 1250, ms(20)
FIRST_START = EPOCH + timedelta(seconds=12)


# The retries in a window are compared with the requests of the busiest of the windows
# that begin this much earlier.
WINDOWS_AGO = (timedelta(), WINDOW / 2, WINDOW)


def within(times, start, span=WINDOW):
    """Return how many of the sorted times lie in a span."""
    return bisect_left(times, start + span) - bisect_left(times, start)


def worst_excess(entries, starts, seed):
    """Return by how much the retries of the worst window exceed its budget.

    Load pattern: nearly all requests fail, and each is retried as long as the budget
    of its entry allows it. `starts` holds the times at which entries restart.
    """
    random = Random(seed)
    pending = sorted(starts)
    budgets = [
        RetryBudget(LIMIT, make_subsets(number, entries), EPOCH - WINDOW)
        for number in range(entries)
    ]
    requests, retries = [], []
    now = EPOCH
    for _ in range(REQUEST_COUNT):
        now += REQUEST_INTERVAL * random.uniform(0, 2)
        while pending and pending[0][0] <= now:
            started_at, entry = pending.pop(0)
            subsets = make_subsets(entry, entries)
            budgets[entry] = RetryBudget(LIMIT, subsets, started_at)
        budget = random.choice(budgets)
        budget.record_request("s", now)
        requests.append(now)
        for _ in range(random.randrange(4)):
            if budget.try_spend("s", now):
                retries.append(now)
    return max(
        within(retries, start)
        - LIMIT.ratio * max(within(requests, start - ago) for ago in WINDOWS_AGO)
        - LIMIT.extra
        for start in retries[::7]
    )


@pytest.mark.parametrize("gap", [ms(0), ms(300), ms(1500)])
def test_entries_that_restart_in_turn_stay_within_the_budget(gap):
    # Guards against an entry that gets its whole share of the extra with each restart.
    starts = [(FIRST_START + gap * number, number) for number in range(7)]
    assert worst_excess(7, starts, seed=1) <= 0


@given(st.integers(1, 12), st.integers(0, 20), st.integers(0, 2**32))
def test_restarts_at_any_time_stay_within_the_budget(entries, starts, seed):
    # Guards against an entry that gets its whole share of the extra with each restart.
    random = Random(seed)
    at = [
        (EPOCH + ms(random.uniform(5_000, 20_000)), random.randrange(entries))
        for _ in range(starts)
    ]
    assert worst_excess(entries, at, seed) <= 0


def test_started_entry_may_retry_by_the_ratio_of_its_own_requests():
    # Guards against a started entry that can't retry at all for a window.
    budgets = [RetryBudget(LIMIT, make_subsets(n, 7), EPOCH) for n in range(7)]
    later = EPOCH + WINDOW
    extra = 0
    for budget in budgets:
        assert not budget.try_spend("s", EPOCH)
        for _ in range(50):
            budget.record_request("s", EPOCH + ms(100))
        spent = sum(budget.try_spend("s", EPOCH + ms(200)) for _ in range(100))
        assert spent == 8
        extra += sum(budget.try_spend("s", later) for _ in range(100))
    # Four fifths of the extra, of which nothing is lost to rounding.
    assert extra == 81


COLD_LIMIT = ColdLimit(requests_per_s=26, excess=1.5, slack=5)
SECOND = timedelta(seconds=1)


def sent_while_starting(entries, starts, down):
    """Return when a cold upstream got requests from entries that restart.

    Load pattern: each entry sends whatever its share allows; `starts` holds when an
    entry serves again after it was down.
    """
    limiters = [ColdLimiter() for _ in range(entries)]
    shares = [
        make_subsets(number, entries).upstream_share("u", "a", COLD_LIMIT.planned)
        for number in range(entries)
    ]
    pending = sorted(starts)
    up_at = [EPOCH] * entries
    sent = []
    for tick in range(3000):
        now = EPOCH + ms(tick)
        while pending and pending[0][0] - down <= now:
            started_at, entry = pending.pop(0)
            up_at[entry] = started_at
            limiters[entry] = ColdLimiter()
            limiters[entry].started(started_at)
        for entry, limiter in enumerate(limiters):
            if now >= up_at[entry] and limiter.try_acquire("u", shares[entry], now):
                sent.append(now)
    return sent


@pytest.mark.parametrize("gap", [ms(0), ms(40), ms(130)])
def test_entries_that_restart_keep_the_limit_of_a_cold_upstream(gap):
    # Guards against an entry that gets its whole share with each restart.
    starts = [(EPOCH + ms(700) + gap * number, number) for number in range(7)]
    sent = sent_while_starting(7, starts, down=ms(100))
    assert max(within(sent, at, SECOND) for at in sent) <= COLD_LIMIT.total


def test_upstream_that_registers_again_keeps_its_window():
    # Guards against a second share of an upstream whose lease expired for a moment.
    limiter, share = ColdLimiter(), 10
    while limiter.try_acquire("u", share, EPOCH):
        pass
    limiter.prune(set(), EPOCH + ms(5))
    assert not limiter.has_capacity("u", share, EPOCH + ms(10))
    limiter.prune(set(), EPOCH + ms(100) + SECOND)
    assert not limiter.sent_by_id_


def crash(suspects, upstream_id, now):
    suspects.record_lost_connection(lost_request("poison", upstream_id, now))
    suspects.record_crash(upstream_id, now)


def test_request_that_crashes_upstreams_stays_refused_while_entries_restart_in_turn():
    # Guards against a request that crashes upstreams again after each entry's restart.
    entries = [CrashSuspects() for _ in range(3)]
    for upstream_id in ("u1", "u2"):
        crash(entries[0], upstream_id, EPOCH)
    for turn, number in enumerate((1, 2, 0)):
        # The first message of a peer contains its newest suspects.
        now = EPOCH + timedelta(seconds=10 * turn)
        started = entries[number] = CrashSuspects()
        for fingerprint, upstream_ids in entries[number - 1].recent(now, 10).items():
            started.merge(fingerprint, upstream_ids, now)
        assert started.is_refused("poison", now)


def test_upstream_whose_lease_expired_stays_usable_at_an_entry_that_just_started():
    # Guards against a grace period that depends only on gaps between own reads.
    table = UpstreamTable()
    # The state comes from a peer that last read the store five seconds before.
    table.record_read(EPOCH - timedelta(seconds=5))
    table.apply(make_record(1), EPOCH)
    back_at = EPOCH + timedelta(seconds=1)
    table.record_read(back_at)
    table.remove("u1", back_at)
    assert list(table.usable("llm", back_at + ms(1900)))
    assert not list(table.usable("llm", back_at + ms(2000)))
