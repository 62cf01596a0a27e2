from collections import Counter
from datetime import timedelta
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from shallotpath.config import DomainState, Preset, StaticConfiguration
from shallotpath.core import (
    EPOCH,
    Code,
    ConfigurationChanged,
    EngineLost,
    Load,
    MemberChanged,
    RunState,
)
from shallotpath.limits import Call, Suspects
from shallotpath.membership import Member, MemberState, Role, StaticMembership
from shallotpath.routing import (
    AffinityRule,
    LeastLoadedRule,
    RandomRule,
    RetryPolicy,
    Router,
    TwoChoicesRule,
)
from shallotpath.routing._retry import FLOOR_RETRIES

SECOND = timedelta(seconds=1)


def make_member(name, domain="a", state=MemberState.ALIVE):
    return Member(name, Role.AGENT, domain, "r", name, "i1", state, "s")


def make_router(members, rule=AffinityRule, seed=1, **fields):
    configuration = StaticConfiguration(
        domains_by_id={name: DomainState(name, "r") for name in "ab"}
    )
    membership = StaticMembership({member.id: member for member in members})
    return Router(
        entry_id=f"e{seed}",
        domain="a",
        region="r",
        configuration=configuration,
        membership=membership,
        rng=Random(seed),
        rule=rule,
        **fields,
    )


def make_call(name="c1", team="t", **fields):
    return Call(name, "s", team, EPOCH + 30 * SECOND, **fields)


@pytest.mark.parametrize(
    "rule", [RandomRule, LeastLoadedRule, TwoChoicesRule, AffinityRule]
)
def test_rules_choose_no_excluded_refusing_suspect_or_leaving_member(rule):
    # Guards against calls to upstreams that will not serve them.
    members = [make_member(f"m{n}") for n in range(5)]
    members[1] = make_member("m1", state=MemberState.SUSPECT)
    members[2] = make_member("m2", state=MemberState.LEAVING)
    router = make_router(members, rule)
    router.observe_failure("m3", Code.OVERLOADED, EPOCH, SECOND)
    for n in range(50):
        call = make_call(f"c{n}", prefix=f"p{n}", fingerprint=f"f{n}")
        assert router.choose(call, ["m0"], EPOCH).id == "m4"
    assert router.choose(make_call(), ["m0", "m4"], EPOCH) is None
    assert router.choose(make_call(), ["m0", "m4"], EPOCH + 2 * SECOND).id == "m3"


def test_equal_requests_reach_at_most_two_upstreams_through_all_entries():
    # Guards against a request that crashes upstreams and reaches more when repeated.
    members = [make_member(f"m{n}") for n in range(40)]
    chosen = set()
    for seed in range(20):
        router = make_router(members, seed=seed)
        for n in range(6):
            call = make_call(f"c{seed}-{n}", prefix="p", fingerprint="f")
            member = router.choose(call, [], EPOCH)
            router.started(member.id)
            chosen.add(member.id)
    assert len(chosen) <= 2


def test_domain_out_of_service_gets_no_calls_and_ramps_up_on_return():
    # Guards against calls to a domain in maintenance and against full traffic to its
    # cold agents right after it returns.
    router = make_router([make_member("m1", "a"), make_member("m2", "b")])
    domains = router.ramp.configuration.domains_by_id
    domains["a"] = DomainState("a", "r", out=True)
    router.reduce(ConfigurationChanged(1), EPOCH)
    assert all(router.choose(make_call(), [], EPOCH).id == "m2" for _ in range(50))
    domains["a"] = DomainState("a", "r")
    router.reduce(ConfigurationChanged(2), EPOCH)
    shares = [
        sum(router.choose(make_call(), [], now).id == "m1" for _ in range(400)) / 400
        for now in (EPOCH, EPOCH + 10 * SECOND, EPOCH + 20 * SECOND)
    ]
    assert shares[0] < 0.2 < shares[1] < 0.8 < shares[2]


def test_calls_leave_the_domain_of_the_entry_only_when_it_is_full():
    # Guards against needless calls across domains and against overload of the near one.
    router = make_router([make_member("m1", "a"), make_member("m2", "b")])
    router.observe_load("m1", Load(4, 3), EPOCH)
    assert router.choose(make_call(), [], EPOCH).id == "m1"
    router.started("m1")
    assert router.choose(make_call(), [], EPOCH).id == "m2"


def test_joins_and_leaves_remap_no_requests_of_other_members():
    # Guards against prefix caches that go cold throughout when membership changes.
    members = [make_member(f"m{n}") for n in range(10)]
    router = make_router(members[:9])
    calls = [make_call(f"c{n}", prefix=f"p{n}") for n in range(100)]
    before = [router.choose(call, [], EPOCH).id for call in calls]
    router.directory.membership.members_by_id["m9"] = members[9]
    router.reduce(MemberChanged("m9", "alive", "i1"), EPOCH)
    joined = [router.choose(call, [], EPOCH).id for call in calls]
    assert all(new in (old, "m9") for old, new in zip(before, joined, strict=True))
    del router.directory.membership.members_by_id["m9"]
    router.reduce(MemberChanged("m9", "dead", "i1"), EPOCH)
    assert [router.choose(call, [], EPOCH).id for call in calls] == before


def test_suspect_request_reaches_one_agent_and_quarantined_request_none():
    # Guards against a request that crashes one upstream after another.
    suspects = Suspects(node_id="e1", incarnation="i")
    router = make_router([make_member(f"m{n}") for n in range(9)], suspects=suspects)
    suspects.reduce(EngineLost(["f"]), EPOCH)
    call = make_call(fingerprint="f")
    member = router.choose(call, [], EPOCH)
    assert {router.choose(call, [], EPOCH).id for _ in range(20)} == {member.id}
    assert router.choose(call, [member.id], EPOCH) is None
    suspects.reduce(EngineLost(["f"]), EPOCH)
    assert router.choose(call, [], EPOCH) is None


def make_retry_policy(share=0.1):
    configuration = StaticConfiguration(preset=Preset("p", retry_share=share))
    return RetryPolicy(configuration, Random(1))


@pytest.mark.parametrize(
    ("run", "repeatable", "retried"),
    [
        (RunState.NO, False, True),
        (RunState.UNKNOWN, True, True),
        (RunState.UNKNOWN, False, False),
        (RunState.YES, True, False),
    ],
)
def test_calls_are_retried_only_if_a_second_run_does_no_harm(run, repeatable, retried):
    # Guards against a call that must not be repeated but runs twice.
    call = make_call(repeatable=repeatable)
    delay = make_retry_policy().next(call, Code.UPSTREAM_LOST, run, 1, EPOCH)
    assert (delay is not None) == retried


def test_retries_respect_retry_after_and_the_deadline():
    # Guards against retries that come too early for the upstream or too late for the
    # caller.
    call = make_call()
    arguments = (call, Code.OVERLOADED, RunState.NO, 1)
    policy = make_retry_policy()
    assert policy.next(*arguments, EPOCH, retry_after=2 * SECOND) >= 2 * SECOND
    assert policy.next(*arguments, call.deadline - SECOND / 1000) is None


def test_retries_stay_within_the_share_of_first_attempts_plus_the_floor():
    # Guards against a retry storm while every attempt is refused.
    policy = make_retry_policy()
    granted = 0
    for _ in range(1000):
        policy.started(make_call())
        arguments = (make_call(), Code.OVERLOADED, RunState.NO, 1)
        granted += policy.next(*arguments, EPOCH) is not None
    assert 100 <= granted <= 103


@given(
    st.lists(
        st.tuples(st.sampled_from(["first", "retry"]), st.sampled_from("ab")),
        max_size=200,
    ),
    st.floats(0, 0.5),
)
def test_no_sequence_of_attempts_exceeds_the_retry_budget(attempts, share):
    # Guards against a retry storm. The time is fixed, so the floor is not refilled.
    policy = make_retry_policy(share)
    first, granted = Counter(), Counter()
    for action, team in attempts:
        call = make_call(team=team)
        if action == "first":
            policy.started(call)
            first[team] += 1
            continue
        arguments = (call, Code.OVERLOADED, RunState.NO, 1, EPOCH)
        granted[team] += policy.next(*arguments) is not None
        assert granted[team] <= share * first[team] + FLOOR_RETRIES + 1e-6
