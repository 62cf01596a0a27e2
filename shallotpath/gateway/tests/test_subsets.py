"""Primary entries and shares of limits in large fleets, without a network."""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from shallotpath.gateway import BudgetLimit, ColdLimit, EntrySubsets, RetryBudget
from shallotpath.gateway._subsets import PRIMARY_ENTRIES

from .helpers import make_regions, make_subsets
from .test_limits import LONG_RUNNING, WINDOW

LIMIT = ColdLimit(requests_per_s=17, excess=1.5, slack=5)


def make_view(number, regions, missing):
    """Return the subsets of an entry that has not heard of some others."""
    own = f"e{number}"
    subsets = EntrySubsets(own, regions[own])
    subsets.update({e: region for e, region in regions.items() if e not in missing})
    return subsets


def total_share(views):
    return sum(view.upstream_share("u", "a", LIMIT.planned) for view in views)


@pytest.mark.parametrize("entries", [1, 8, 37, 100, 350])
def test_shares_of_equal_lists_add_up_to_the_limit(entries):
    # Guards against parts of a limit that are lost to rounding or counted twice.
    views = [make_subsets(number, entries) for number in range(entries)]
    assert total_share(views) == LIMIT.planned
    assert sum(view.share("s", 904) for view in views) == 904


@given(st.sampled_from([8, 37, 100]), st.integers(0, 2**32))
def test_cold_limit_holds_with_entries_that_know_different_lists(entries, seed):
    # Load pattern: each entry misses some tenth of the others, as after a start or
    # behind lost messages. Guards against entries that all take the share of others.
    random = Random(seed)
    regions = make_regions(entries)
    missing = max(1, entries // 10)
    views = [
        make_view(n, regions, set(random.sample(sorted(regions), missing)))
        for n in range(entries)
    ]
    assert total_share(views) <= LIMIT.total


@pytest.mark.parametrize("entries", [8, 37, 100])
def test_entry_that_leaves_hardly_changes_the_shares_of_the_others(entries):
    # Guards against a change of the list that moves most shares, so that old and new
    # lists in use at the same time exceed the limit.
    regions = make_regions(entries)
    before = [make_view(n, regions, ()) for n in range(1, entries)]
    after = [make_view(n, regions, {"e0"}) for n in range(1, entries)]
    moved = sum(
        abs(
            old.upstream_share("u", "a", LIMIT.planned)
            - new.upstream_share("u", "a", LIMIT.planned)
        )
        for old, new in zip(before, after, strict=True)
    )
    assert moved <= 2 * (LIMIT.planned // entries + 2)


def test_primary_entries_are_of_the_region_of_the_upstream():
    # Guards against requests that cross regions although entries beside the upstream
    # could send theirs.
    subsets = make_subsets(0, 100)
    for number in range(50):
        primaries = subsets.primaries(f"u{number}", "b")
        assert len(primaries) == PRIMARY_ENTRIES
        assert {subsets.regions_by_id_[entry] for entry in primaries} == {"b"}


def test_each_upstream_has_primaries_that_may_send_to_it():
    # Guards against an upstream that its primary entries must not use.
    regions = make_regions(350)
    for number in range(0, 350, 7):
        subsets = make_subsets(number, 350)
        for upstream in (f"u{n}" for n in range(40)):
            if subsets.is_primary(upstream, regions[subsets.own]):
                share = subsets.upstream_share(
                    upstream, regions[subsets.own], LIMIT.planned
                )
                assert share >= 1


@pytest.mark.parametrize("entries", [8, 100, 350])
def test_retry_budget_is_used_whole_by_any_number_of_entries(entries):
    # Load pattern: all requests of a service fail at once. Guards against retries that
    # are lost to rounding where a share is only a few.
    limit = BudgetLimit(ratio=0.2, extra=1130, window=WINDOW)
    spent = 0
    for number in range(entries):
        budget = RetryBudget(limit, make_subsets(number, entries), LONG_RUNNING)
        while budget.try_spend("s", LONG_RUNNING + 2 * WINDOW):
            spent += 1
    assert spent == 904
