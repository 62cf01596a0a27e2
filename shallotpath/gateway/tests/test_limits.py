"""Limits that entries share without asking each other."""

from datetime import timedelta
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from shallotpath.core import EPOCH
from shallotpath.gateway import (
    Breaker,
    BudgetLimit,
    ColdBuckets,
    ColdLimit,
    CrashSuspects,
    Failure,
    FailureKind,
    Retries,
    RetryBudget,
    RouteKind,
)

from .helpers import make_call, make_route, ms

WINDOW = timedelta(seconds=10)
# Start of an entry that has all of its share at the time of a test.
LONG_RUNNING = EPOCH - WINDOW


@given(st.integers(1, 40), st.integers(0, 2**32))
def test_cold_upstream_gets_no_more_than_its_limit_in_any_second(entries, seed):
    # Load pattern: all entries find an upstream that looks idle at the same moment.
    limit = ColdLimit(requests_per_s=26, excess=1.5, slack=5)
    random = Random(seed)
    buckets = [ColdBuckets() for _ in range(entries)]
    sent = []
    now = EPOCH
    for _ in range(600):
        now += ms(random.expovariate(1 / 5))
        if random.choice(buckets).try_take("u", limit, entries, now):
            sent.append(now)
    for start in sent:
        within = sum(start <= at <= start + ms(1000) for at in sent)
        # Each entry may send at least one at a time, however many they are.
        assert within <= max(limit.total, 2 * entries)


def test_cold_upstream_keeps_its_limit_with_more_entries_than_it_has_requests():
    # Guards against the one request a second that each entry may send at least, which
    # together exceed the limit of a cold upstream in a large fleet.
    entries = 33
    limit = ColdLimit(requests_per_s=14, excess=1.5, slack=5)
    buckets = [ColdBuckets() for _ in range(entries)]
    taken = sum(bucket.try_take("u", limit, entries, EPOCH) for bucket in buckets)
    assert taken <= limit.total


@given(st.integers(1, 12), st.integers(0, 2**32))
def test_retries_of_all_entries_stay_within_the_budget(entries, seed):
    limit = BudgetLimit(ratio=0.2, extra=102, window=WINDOW)
    random = Random(seed)
    budgets = [RetryBudget(limit, LONG_RUNNING) for _ in range(entries)]
    requests, retries = [], []
    now = EPOCH
    for _ in range(1500):
        now += ms(random.expovariate(1 / 20))
        budget = random.choice(budgets)
        budget.first("s", now)
        requests.append(now)
        for _ in range(random.randrange(4)):
            if budget.try_spend("s", entries, now):
                retries.append(now)
    for start in retries[::7]:
        end = start + WINDOW
        asked = sum(start <= at < end for at in requests)
        assert sum(start <= at < end for at in retries) <= 0.2 * asked + 102


def test_request_that_may_run_once_is_never_repeated_after_it_was_sent():
    retries = Retries(RetryBudget(BudgetLimit(0.2, 102, WINDOW), LONG_RUNNING))
    call = make_call(route=make_route(kind=RouteKind.ONCE, max_attempts=3))
    for kind in FailureKind:
        allowed = retries.try_acquire(call, Failure(kind, ""), 1, 1, EPOCH)
        not_run = kind in (
            FailureKind.UNREACHABLE,
            FailureKind.REFUSED,
            FailureKind.REPLACED,
            FailureKind.MISDIRECTED,
        )
        assert allowed == not_run


def test_stream_that_may_not_resume_is_not_repeated():
    retries = Retries(RetryBudget(BudgetLimit(0.2, 102, WINDOW), LONG_RUNNING))
    call = make_call(route=make_route(resumable=False))
    assert not retries.try_acquire(call, Failure(FailureKind.LOST, ""), 1, 1, EPOCH)


def test_attempts_and_time_bound_retries():
    retries = Retries(RetryBudget(BudgetLimit(0.2, 102, WINDOW), LONG_RUNNING))
    lost = Failure(FailureKind.LOST, "")
    call = make_call()
    assert retries.try_acquire(call, lost, 1, 1, EPOCH)
    assert not retries.try_acquire(call, lost, 2, 1, EPOCH)
    assert not retries.try_acquire(call, lost, 1, 1, EPOCH + ms(5950))


def test_breaker_pauses_longer_with_each_loss_and_forgets_after_an_answer():
    breaker = Breaker()
    first, second = breaker.lost("u", EPOCH), breaker.lost("u", EPOCH)
    assert second == 2 * first
    assert not breaker.available("u", EPOCH)
    assert breaker.available("u", EPOCH + second)
    breaker.answered("u")
    assert breaker.lost("u", EPOCH + second) == first


def test_upstream_that_fails_while_its_health_is_good_counts_as_faulty():
    breaker = Breaker()
    for _ in range(4):
        breaker.failed("u", EPOCH)
    assert breaker.faulty("u")
    for _ in range(10):
        breaker.answered("u")
    assert not breaker.faulty("u")


def test_request_that_crashed_two_upstreams_is_refused_everywhere():
    reporting, receiving = CrashSuspects(), CrashSuspects()
    for upstream in ("u1", "u2"):
        reporting.lost("poison", upstream, EPOCH)
        reporting.lost(f"innocent at {upstream}", upstream, EPOCH)
        reporting.crashed(upstream, EPOCH + ms(100))
    for fingerprint, upstreams in reporting.recent(EPOCH, 10).items():
        receiving.merge(fingerprint, upstreams, EPOCH)
    for suspects in (reporting, receiving):
        assert suspects.refuses("poison", EPOCH)
        assert not suspects.refuses("innocent at u1", EPOCH)


def test_lost_answer_of_a_living_upstream_makes_no_suspect():
    suspects = CrashSuspects()
    for upstream in ("u1", "u2", "u3"):
        suspects.lost("f", upstream, EPOCH)
        suspects.crashed(upstream, EPOCH + timedelta(seconds=10))
    assert not suspects.refuses("f", EPOCH)
