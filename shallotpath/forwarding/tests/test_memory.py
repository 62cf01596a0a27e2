"""Test the budget of bytes held for requests, without network."""

import pytest

from shallotpath.forwarding import HeldKind, MemoryBudget
from shallotpath.forwarding._memory import (
    BODY_FREE_SHARE,
    FREE_SHARE,
    MIN_ALLOWANCE_BYTES,
)

LIMIT = 64 * 1024 * 1024
KIB = 1024


def hold(budget, kind, size, ended):
    """Return the lease of a request that adds itself to `ended` when it is shed."""
    lease = budget.open()
    lease.on_shed = lambda: ended.append(lease)
    lease.hold(kind, size)
    return lease


def test_closed_lease_returns_all_kinds():
    # Guards against bytes that stay counted after their request.
    budget = MemoryBudget(LIMIT)
    lease = budget.open()
    for size, kind in enumerate(HeldKind, 1):
        lease.hold(kind, size)
        lease.hold(kind, 2 * size)
    assert budget.held_bytes == lease.held_bytes > 0
    lease.close()
    lease.close()
    assert budget.held_bytes == 0
    assert not any(budget.held_by_kind.values())


@pytest.mark.parametrize("count", [10, 100, 1000])
@pytest.mark.parametrize("share", [FREE_SHARE, BODY_FREE_SHARE])
def test_requests_within_their_allowance_do_not_use_up_the_budget(share, count):
    # Guards against many requests that together exceed what one of them may not.
    budget, ended = MemoryBudget(LIMIT), []
    for _ in range(count):
        hold(budget, HeldKind.RESPONSE, budget.allowance(share), ended)
    assert not ended
    assert not budget.is_tight


def test_small_requests_keep_an_allowance_in_a_tight_budget():
    # Guards against refusing small answers because of large ones.
    budget = MemoryBudget(LIMIT)
    budget.open().hold(HeldKind.UNREAD, LIMIT)
    small = budget.open()
    small.hold(HeldKind.RESPONSE, MIN_ALLOWANCE_BYTES)
    assert not small.exceeds_allowance
    small.hold(HeldKind.RESPONSE, MIN_ALLOWANCE_BYTES + 1)
    assert small.exceeds_allowance


def test_body_of_a_request_does_not_slow_its_response():
    # Guards against waiting for the caller of a large request while memory is free.
    lease = MemoryBudget(LIMIT).open()
    lease.hold(HeldKind.REQUEST, LIMIT // 8)
    lease.hold(HeldKind.UNSENT, 64 * KIB)
    assert not lease.exceeds_allowance


def test_least_useful_bytes_are_shed_first_and_largest_first():
    # Guards against ending sound requests while bytes without use are held.
    budget, ended = MemoryBudget(LIMIT), []
    share = LIMIT // 8
    request = hold(budget, HeldKind.REQUEST, 3 * share, ended)
    small = hold(budget, HeldKind.DISCARDED, MIN_ALLOWANCE_BYTES, ended)
    other = hold(budget, HeldKind.DISCARDED, share, ended)
    error = hold(budget, HeldKind.ERROR, share, ended)
    larger_error = hold(budget, HeldKind.ERROR, share + KIB, ended)
    assert not ended
    request.hold(HeldKind.REQUEST, 6 * share)
    assert ended == [other, larger_error]
    assert [lease.is_shed for lease in ended] == [True, True]
    other.close()
    larger_error.close()
    request.hold(HeldKind.REQUEST, 6 * share + share // 2)
    assert ended == [other, larger_error, error]
    assert not small.is_shed
    assert not request.is_shed


def test_shed_request_is_not_ended_twice_and_counts_as_freed():
    # Guards against ending all requests before the first one has given back.
    budget, ended = MemoryBudget(LIMIT), []
    for _ in range(16):
        hold(budget, HeldKind.UNSENT, LIMIT // 16, ended)
    count = len(ended)
    assert count == 2
    hold(budget, HeldKind.REQUEST, KIB, ended)
    assert len(ended) == count


def test_new_requests_are_refused_only_above_the_limit():
    # Guards against refusals while ending others still frees memory.
    budget = MemoryBudget(LIMIT)
    lease = budget.open()
    lease.hold(HeldKind.REQUEST, LIMIT)
    assert not budget.is_full
    lease.hold(HeldKind.REQUEST, LIMIT + 1)
    assert budget.is_full
    lease.close()
    assert not budget.is_full


def test_tight_state_is_reported_once_and_has_a_hysteresis():
    # Guards against a log line for each request near the bound.
    budget, changes = MemoryBudget(LIMIT), []
    budget.on_change = changes.append
    lease = budget.open()
    for share in (0.8, 0.91, 0.95, 0.85, 0.91, 0.74, 0.8):
        lease.hold(HeldKind.UNREAD, int(share * LIMIT))
    assert changes == [True, False]


@pytest.mark.parametrize("memory_mb", [64, 256, 300, 4000])
def test_budget_leaves_room_for_the_process_itself(memory_mb):
    # Guards against a limit near the VM's memory, or none on a small VM.
    budget = MemoryBudget.for_process(memory_mb * 1_000_000)
    assert 0 < budget.limit_bytes <= memory_mb * 500_000
