"""Limits that entries divide among themselves without coordination."""

from datetime import timedelta
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from shallotpath.core import EPOCH
from shallotpath.gateway import (
    Breaker,
    BudgetLimit,
    ColdLimit,
    ColdLimiter,
    CrashSuspects,
    Failure,
    FailureKind,
    Retries,
    RetryBudget,
    RouteKind,
)

from .helpers import lost_request, make_call, make_route, make_subsets, ms

WINDOW = timedelta(seconds=10)
# Start time of an entry that has its full share of the budget when a test begins.
LONG_RUNNING = EPOCH - WINDOW


def cold_shares(entries, limit):
    """Return the shares of a cold upstream's limit, one for each entry."""
    return [
        make_subsets(number, entries).upstream_share("u", "a", limit.planned)
        for number in range(entries)
    ]


@given(st.integers(1, 40), st.integers(0, 2**32))
def test_cold_upstream_gets_no_more_than_its_limit_in_any_second(entries, seed):
    # Load pattern: all entries choose the same upstream at once because it looks idle.
    limit = ColdLimit(requests_per_s=26, excess=1.5, slack=5)
    random = Random(seed)
    shares = cold_shares(entries, limit)
    limiters = [ColdLimiter() for _ in range(entries)]
    sent = []
    now = EPOCH
    for _ in range(600):
        now += ms(random.expovariate(1 / 5))
        number = random.randrange(entries)
        if limiters[number].try_acquire("u", shares[number], now):
            sent.append(now)
    for start in sent:
        within = sum(start <= at <= start + ms(1000) for at in sent)
        assert within <= limit.total


@pytest.mark.parametrize("entries", [8, 33, 100, 350])
def test_cold_upstream_keeps_its_limit_with_more_entries_than_it_has_requests(entries):
    # Guards against the minimum of one request a second for each entry, which exceeds
    # the limit of a cold upstream in a large fleet, and against a limit of which a part
    # is lost to rounding.
    limit = ColdLimit(requests_per_s=14, excess=1.5, slack=5)
    limiters = [ColdLimiter() for _ in range(entries)]
    taken = sum(
        limiter.try_acquire("u", share, EPOCH)
        for limiter, share in zip(limiters, cold_shares(entries, limit), strict=True)
        for _ in range(30)
    )
    assert taken == limit.planned <= limit.total


@given(st.integers(1, 12), st.integers(0, 2**32))
def test_retries_of_all_entries_stay_within_the_budget(entries, seed):
    # Guards against retries that multiply the load, where each entry spends the budget
    # of all.
    limit = BudgetLimit(ratio=0.2, extra=102, window=WINDOW)
    random = Random(seed)
    budgets = [
        RetryBudget(limit, make_subsets(number, entries), LONG_RUNNING)
        for number in range(entries)
    ]
    requests, retries = [], []
    now = EPOCH
    for _ in range(1500):
        now += ms(random.expovariate(1 / 20))
        budget = random.choice(budgets)
        budget.record_request("s", now)
        requests.append(now)
        for _ in range(random.randrange(4)):
            if budget.try_spend("s", now):
                retries.append(now)
    for start in retries[::7]:
        end = start + WINDOW
        request_count = sum(start <= at < end for at in requests)
        assert sum(start <= at < end for at in retries) <= 0.2 * request_count + 102


def make_retries():
    """Return the retries of the only entry."""
    limit = BudgetLimit(0.2, 102, WINDOW)
    return Retries(RetryBudget(limit, make_subsets(), LONG_RUNNING))


def test_request_that_may_run_once_is_never_retried_after_it_was_sent():
    # Guards against a request that runs twice although its route doesn't allow it.
    retries = make_retries()
    call = make_call(route=make_route(kind=RouteKind.ONCE, max_attempts=3))
    for kind in FailureKind:
        allowed = retries.try_acquire(call, Failure(kind, ""), 1, EPOCH)
        not_run = kind in (
            FailureKind.UNREACHABLE,
            FailureKind.REFUSED,
            FailureKind.REPLACED,
            FailureKind.MISDIRECTED,
            FailureKind.EXPIRED,
        )
        assert allowed == not_run


def test_stream_that_may_not_resume_is_not_retried():
    # Guards against a stream that runs twice although its route doesn't allow it.
    retries = make_retries()
    call = make_call(route=make_route(resumable=False))
    assert not retries.try_acquire(call, Failure(FailureKind.LOST, ""), 1, EPOCH)


def test_retries_are_limited_by_attempts_and_time_left():
    # Guards against retries without end, and against one that can't finish in time.
    retries = make_retries()
    lost = Failure(FailureKind.LOST, "")
    call = make_call()
    assert retries.try_acquire(call, lost, 1, EPOCH)
    assert not retries.try_acquire(call, lost, 2, EPOCH)
    assert not retries.try_acquire(call, lost, 1, EPOCH + ms(5950))


def test_breaker_pause_doubles_with_each_loss_and_resets_after_an_answer():
    # Guards against frequent probes of an upstream that is down, and against long
    # pauses of one that has recovered.
    breaker = Breaker()
    first, second = (
        breaker.record_unreachable("u", EPOCH),
        breaker.record_unreachable("u", EPOCH),
    )
    assert second == 2 * first
    assert not breaker.is_available("u", EPOCH)
    assert breaker.is_available("u", EPOCH + second)
    breaker.record_success("u")
    assert breaker.record_unreachable("u", EPOCH + second) == first


def test_reachable_upstream_that_fails_requests_counts_as_faulty():
    # Guards against requests sent to an upstream that can be reached but fails them.
    breaker = Breaker()
    for _ in range(4):
        breaker.record_failure("u", EPOCH)
    assert breaker.faulty("u", EPOCH)
    for _ in range(10):
        breaker.record_success("u")
    assert not breaker.faulty("u", EPOCH)


def test_request_that_crashed_two_upstreams_is_refused_everywhere():
    # Guards against a request that crashes upstreams through one entry after another,
    # and against refusing requests that were only running there.
    reporting, receiving = CrashSuspects(), CrashSuspects()
    for upstream in ("u1", "u2"):
        reporting.record_lost_connection(lost_request("poison", upstream, EPOCH))
        reporting.record_lost_connection(
            lost_request(f"unrelated at {upstream}", upstream, EPOCH)
        )
        reporting.record_crash(upstream, EPOCH + ms(100))
    for fingerprint, upstreams in reporting.recent(EPOCH, 10).items():
        receiving.merge(fingerprint, upstreams, EPOCH)
    for suspects in (reporting, receiving):
        assert suspects.is_refused("poison", EPOCH)
        assert not suspects.is_refused("unrelated at u1", EPOCH)


def test_connection_lost_long_before_a_crash_makes_no_suspect():
    # Guards against refusing a request because connections broke for other reasons.
    suspects = CrashSuspects()
    for upstream in ("u1", "u2", "u3"):
        suspects.record_lost_connection(lost_request("f", upstream, EPOCH))
        suspects.record_crash(upstream, EPOCH + timedelta(seconds=10))
    assert not suspects.is_refused("f", EPOCH)
