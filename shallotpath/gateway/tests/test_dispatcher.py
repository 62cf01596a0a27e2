"""Placement and admission control, without a network."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from shallotpath.core import EPOCH
from shallotpath.gateway import (
    DomainDisabled,
    EngineReport,
    EntryLoad,
    Placement,
    Rejection,
    RejectReason,
    WeightsAnnounced,
    WriteTime,
)
from shallotpath.gateway._loads import UNREAD_MAX_AGE

from .helpers import (
    make_call,
    make_catalog,
    make_dispatcher,
    make_record,
    make_route,
    make_subsets,
    ms,
)


def report(number, **changes):
    values = {
        "address": f"10.0.0.{number}:80",
        "model": "m",
        "version": 1,
        "accepting": True,
        "queued": 0,
        "active": 0,
        "pace": 1.0,
    }
    return EngineReport(**(values | changes))


def test_disabled_domain_gets_no_requests():
    # Guards against requests to a domain that the operators have disabled.
    dispatcher = make_dispatcher([make_record(1, "a-1"), make_record(2, "b-1")])
    dispatcher.operator.apply(DomainDisabled("a-1"), WriteTime(EPOCH))
    for number in range(10):
        placement = dispatcher.choose(make_call(number), (), EPOCH + ms(600 * number))
        assert placement.upstream.id == "u2"


@pytest.mark.parametrize("restricted_by", ["route", "team"])
def test_request_stays_in_its_regions(restricted_by):
    # Guards against a request body that leaves the regions its route or team allows.
    dispatcher = make_dispatcher([make_record(1, "a-1"), make_record(2, "b-1")])
    allowed = frozenset({"c"})
    call = (
        make_call(route=make_route(regions=allowed))
        if restricted_by == "route"
        else make_call(regions=allowed)
    )
    rejection = dispatcher.choose(call, (), EPOCH)
    assert rejection.reason is RejectReason.NO_UPSTREAM


def test_regions_of_route_and_team_both_apply():
    # Guards against a region that only one of the two allows.
    dispatcher = make_dispatcher([make_record(1, "a-1"), make_record(2, "b-1")])
    call = make_call(
        route=make_route(regions=frozenset({"a", "b"})), regions=frozenset({"b"})
    )
    assert dispatcher.choose(call, (), EPOCH).upstream.id == "u2"


def test_outdated_weights_are_used_until_the_bound_of_the_first_newer_version():
    # Guards against a second announcement that extends the bound of the first one.
    dispatcher = make_dispatcher([make_record(1)])
    dispatcher.operator.apply(WeightsAnnounced("m", 2), WriteTime(EPOCH))
    dispatcher.operator.apply(WeightsAnnounced("m", 3), WriteTime(EPOCH + ms(4000)))
    early = dispatcher.choose(make_call(1), (), EPOCH + ms(7000))
    assert isinstance(early, Placement)
    assert early.version == 1
    late = dispatcher.choose(make_call(2), (), EPOCH + ms(7700))
    assert late.reason is RejectReason.NO_WEIGHTS


def test_request_that_would_start_after_the_version_bound_is_not_sent():
    # Guards against a request that waits at a full engine beyond its version bound.
    dispatcher = make_dispatcher([make_record(1)])
    dispatcher.operator.apply(WeightsAnnounced("m", 2), WriteTime(EPOCH))
    now = EPOCH + ms(7000)
    dispatcher.loads.update_engine_report(report(1, active=10), now)
    assert isinstance(dispatcher.choose(make_call(), (), now), Placement)
    dispatcher.loads.update_engine_report(report(1, active=16, queued=4), now)
    retry = make_call(caller_timeout=ms(4000), now=now)
    rejection = dispatcher.choose(retry, (), now)
    assert rejection.reason is RejectReason.NO_WEIGHTS


def test_request_on_outdated_weights_leaves_time_to_withdraw_it_from_a_region():
    # Load pattern: new weights fill the links between regions as the bound of the old
    # ones ends. Guards against a request that arrives late and begins because its
    # withdrawal waits behind the same queue.
    dispatcher = make_dispatcher([make_record(1, "b-1")])
    dispatcher.operator.apply(WeightsAnnounced("m", 2), WriteTime(EPOCH))
    early = dispatcher.choose(make_call(1), (), EPOCH + ms(6000))
    assert early.start_deadline == EPOCH + ms(7000)
    late = dispatcher.choose(make_call(2), (), EPOCH + ms(7100))
    assert late.reason is RejectReason.NO_WEIGHTS


def test_engine_that_is_loading_weights_gets_no_requests():
    # Guards against requests to an engine that doesn't accept any.
    dispatcher = make_dispatcher([make_record(1), make_record(2)])
    dispatcher.loads.update_engine_report(report(1, accepting=False), EPOCH)
    for number in range(3):
        assert dispatcher.choose(make_call(number), (), EPOCH).upstream.id == "u2"


@pytest.mark.parametrize("number", range(12))
def test_only_engine_with_new_weights_is_found_among_many(number):
    # Load pattern: new weights reach the first of 45 engines as the bound of the old
    # ones ends. Guards against a rejection by an entry that does not prefer it.
    records = [make_record(n, version=2 if n == 7 else 1) for n in range(45)]
    dispatcher = make_dispatcher(
        records,
        catalog=make_catalog(cold_per_s=0.0),
        subsets=make_subsets(number, 100),
        domain=f"{'abc'[number % 3]}-1",
    )
    dispatcher.operator.apply(WeightsAnnounced("m", 2), WriteTime(EPOCH))
    now = EPOCH + ms(7600)
    placement = dispatcher.choose(make_call(now=now), (), now)
    assert placement.upstream.id == "u7"
    assert placement.version == 2


def test_loads_of_peers_take_no_memory_while_no_request_arrives():
    # Guards against prompts of peers that are only forgotten with the next decision.
    loads = make_dispatcher().loads
    for step in range(200):
        loads.update_peer_loads("e2", {"u1": EntryLoad(1, 979)}, EPOCH + ms(300 * step))
    assert len(loads.unread_) <= 2


def test_upstream_without_weights_gets_no_model_request():
    # Guards against requests that an upstream can't serve yet.
    dispatcher = make_dispatcher([make_record(1, version=0)])
    rejection = dispatcher.choose(make_call(), (), EPOCH)
    assert rejection.reason is RejectReason.NO_WEIGHTS


def test_failed_upstream_is_used_only_when_no_other_is_left():
    # Guards against attempts wasted on a failed upstream, and against a rejection where
    # it is the only one.
    dispatcher = make_dispatcher([make_record(1), make_record(2)])
    dispatcher.breaker.record_unreachable("u1", EPOCH)
    assert dispatcher.choose(make_call(), (), EPOCH).upstream.id == "u2"
    assert dispatcher.choose(make_call(), {"u2"}, EPOCH).upstream.id == "u1"


def offer(dispatcher, calls, per_s, now=EPOCH):
    """Offer calls that never end at a constant rate and return the decisions."""
    decisions = []
    for number in range(calls):
        at = now + ms(1000 * number / per_s)
        call = make_call(number, at)
        decision = dispatcher.choose(call, (), at)
        if isinstance(decision, Placement):
            dispatcher.loads.sent(call.request_id, decision.upstream.id, 979, at)
        decisions.append(decision)
    return decisions


def test_steady_overload_is_rejected_at_once_with_spread_retries():
    # Load pattern: more calls than the engines have slots for, none of which ends.
    dispatcher = make_dispatcher([make_record(1), make_record(2)])
    decisions = offer(dispatcher, 80, per_s=40)
    refused = [d for d in decisions if isinstance(d, Rejection)]
    assert len(refused) >= 80 - 2 * (16 + 4)
    waits = {d.retry_after for d in refused}
    assert all(ms(150) <= wait <= ms(2026) for wait in waits)
    # Callers that retry together would be rejected together again.
    assert len(waits) > len(refused) / 2


def test_long_prompts_are_admitted_as_often_as_short_ones():
    # Load pattern: engines close to full. Guards against starving the longest tenth of
    # the prompts.
    admitted = {}
    for tokens in (300, 3800):
        dispatcher = make_dispatcher([make_record(1)])
        dispatcher.loads.update_engine_report(report(1, active=17), EPOCH)
        call = make_call(prompt_tokens=tokens)
        admitted[tokens] = isinstance(dispatcher.choose(call, (), EPOCH), Placement)
    assert admitted[300] == admitted[3800]


def test_retry_may_wait_behind_first_attempts():
    # Load pattern: engines that are full for a moment. Guards against a retry that is
    # rejected although it can be served before its timeout.
    dispatcher = make_dispatcher([make_record(1)])
    dispatcher.loads.update_engine_report(report(1, active=16, queued=4), EPOCH)
    first = dispatcher.choose(make_call(1), (), EPOCH)
    assert first.reason is RejectReason.OVERLOADED
    retry = dispatcher.choose(make_call(2, caller_timeout=ms(4000)), (), EPOCH)
    assert isinstance(retry, Placement)
    assert retry.priority > 5


def test_sustained_overload_leaves_the_slots_to_first_attempts():
    # Load pattern: sustained overload. Guards against retries, which are late already,
    # that take the slots of callers that can still be served on time.
    dispatcher = make_dispatcher([make_record(1)])
    retry = make_call(1000, caller_timeout=ms(4000))
    dispatcher.loads.update_engine_report(report(1, active=16, queued=4), EPOCH)
    for number in range(20):
        dispatcher.choose(make_call(number), (), EPOCH)
    assert isinstance(dispatcher.choose(retry, (), EPOCH), Rejection)
    dispatcher.loads.update_engine_report(report(1, active=12), EPOCH)
    assert dispatcher.choose(retry, (), EPOCH).yielding
    # Once first attempts are served again, retries may wait again.
    for number in range(28):
        dispatcher.choose(make_call(number), (), EPOCH + ms(50 * number))
    later = EPOCH + ms(1400)
    dispatcher.loads.update_engine_report(report(1, active=16, queued=4), later)
    assert dispatcher.choose(retry, (), later).yielding


def test_first_attempts_do_not_wait_for_queued_retries():
    # Load pattern: full engines with queues of retries. Guards against first attempts
    # that are rejected although they overtake the queue.
    dispatcher = make_dispatcher([make_record(1)])
    for number in range(16):
        dispatcher.loads.sent(f"r{number}", "u1", 979, EPOCH)
        dispatcher.loads.first_token(f"r{number}")
    dispatcher.loads.update_peer_loads("e2", {"u1": EntryLoad(6, 6000, 6, 6000)}, EPOCH)
    later = EPOCH + ms(500)
    assert isinstance(dispatcher.choose(make_call(1), (), later), Placement)
    dispatcher.loads.update_peer_loads("e2", {"u1": EntryLoad(6, 6000)}, later)
    assert isinstance(dispatcher.choose(make_call(1), (), later), Rejection)


def test_overload_delays_retries_until_they_are_recognizable():
    # Guards against callers that retry at once and are taken for first attempts.
    dispatcher = make_dispatcher([make_record(1)])
    dispatcher.loads.update_engine_report(report(1, active=16, queued=20), EPOCH)
    for number in range(50):
        call = make_call(number)
        rejection = dispatcher.choose(call, (), EPOCH)
        assert rejection.reason is RejectReason.OVERLOADED
        assert rejection.retry_after <= call.caller_timeout / 3
        retry = make_call(
            number, caller_timeout=call.caller_timeout - rejection.retry_after
        )
        assert retry.is_retry


def test_requests_that_peers_have_just_sent_are_counted():
    # Load pattern: a burst at several entries between two gossip rounds. Guards against
    # requests of peers that go unnoticed until the next round, or count twice after it.
    loads = make_dispatcher().loads
    address = "10.0.0.1:80"
    loads.add_peer_placement("e2", "u1", EntryLoad(1, 979), EPOCH)
    assert loads.load("u1", address, EPOCH).requests == 0
    loads.update_peer_loads("e2", {"u1": EntryLoad(2, 979)}, EPOCH)
    loads.add_peer_placement("e2", "u1", EntryLoad(1, 979), EPOCH)
    assert loads.load("u1", address, EPOCH).requests == 3
    # The next message of the peer contains its whole load.
    loads.update_peer_loads("e2", {"u1": EntryLoad(2, 0)}, EPOCH)
    assert loads.load("u1", address, EPOCH).requests == 2


@given(st.data())
def test_sums_of_peer_loads_agree_with_their_messages(data):
    # Guards against load that stays counted after its entry has stopped reporting it.
    loads = make_dispatcher().loads
    shares = st.builds(EntryLoad, *[st.integers(0, 5)] * 4)
    ids = st.sampled_from(["u1", "u2"])
    # For each peer, when it reported its loads, and what it sent up to then and since.
    now, reports_by_peer = EPOCH, {}
    for _ in range(data.draw(st.integers(0, 12))):
        now += ms(data.draw(st.integers(0, 900)))
        peer = data.draw(st.sampled_from(["e1", "e2", "e3"]))
        if data.draw(st.booleans()):
            reported = data.draw(st.dictionaries(ids, shares))
            loads.update_peer_loads(peer, reported, now)
            sent = [(now, upstream, share) for upstream, share in reported.items()]
            reports_by_peer[peer] = (now, sent)
        else:
            upstream, share = data.draw(ids), data.draw(shares)
            loads.add_peer_placement(peer, upstream, share, now)
            if peer in loads.peers_by_id_:
                reports_by_peer[peer][1].append((now, upstream, share))
    now += ms(200)
    for upstream in ("u1", "u2"):
        load = loads.load(upstream, "10.0.0.9:80", now)
        fresh = [
            (sent_at, share)
            for at, sent in reports_by_peer.values()
            for sent_at, id_, share in sent
            if now - at <= ms(2000) and id_ == upstream
        ]
        requests = sum(share.requests for _, share in fresh)
        # Prompts count as read after a while without another message.
        unread = sum(s.unread_tokens for at, s in fresh if now - at < UNREAD_MAX_AGE)
        assert (load.requests, load.unread_tokens) == (requests, unread)


def test_peers_are_notified_of_each_sent_request():
    # Guards against peers that learn of a request only with the next gossip round.
    reported = []
    loads = make_dispatcher().loads
    loads.on_sent = lambda upstream, share: reported.append((upstream, share))
    loads.sent("q", "u1", 500, EPOCH, yielding=True)
    assert reported == [("u1", EntryLoad(1, 500, 1, 500))]


@pytest.mark.parametrize("entries", [8, 40])
def test_entries_with_stale_loads_do_not_overload_one_engine(entries):
    # Load pattern: a burst within one gossip interval, in which each entry knows only
    # its own requests. Guards against entries that all choose the same engine.
    dispatchers = [
        make_dispatcher(
            [make_record(n) for n in range(10)],
            seed=n,
            subsets=make_subsets(n, entries),
            domain=f"{'abc'[n % 3]}-1",
        )
        for n in range(entries)
    ]
    counts = dict.fromkeys((f"u{n}" for n in range(10)), 0)
    for number in range(80):
        dispatcher = dispatchers[number % entries]
        call = make_call(number)
        placement = dispatcher.choose(call, (), EPOCH)
        if isinstance(placement, Placement):
            counts[placement.upstream.id] += 1
            dispatcher.loads.sent(call.request_id, placement.upstream.id, 979, EPOCH)
    # 80 calls over 10 engines: none gets more than it has slots.
    assert max(counts.values()) <= 16


def test_first_attempt_with_a_shorter_timeout_is_not_taken_for_a_retry():
    # Guards against first attempts that wait behind others because their timeout is a
    # little shorter than the route's.
    assert not make_call(caller_timeout=ms(5200)).is_retry
    assert make_call(caller_timeout=ms(4900)).is_retry


def test_loads_of_peers_are_counted_until_they_expire():
    # Guards against requests to an engine that another entry has filled.
    dispatcher = make_dispatcher([make_record(1), make_record(2)])
    dispatcher.loads.update_peer_loads("e2", {"u1": EntryLoad(16, 4000)}, EPOCH)
    for number in range(5):
        assert dispatcher.choose(make_call(number), (), EPOCH).upstream.id == "u2"
    # Expired loads are ignored.
    later = EPOCH + ms(5000)
    ids = {dispatcher.choose(make_call(n), (), later).upstream.id for n in range(10)}
    assert ids == {"u1", "u2"}
