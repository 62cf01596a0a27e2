"""Decisions of one entry about requests of several priorities."""

from shallotpath.admission import DemandKey, Obstacle
from shallotpath.core import EPOCH
from shallotpath.gateway import EntryLoad, Placement, Team

from .helpers import (
    make_call,
    make_catalog,
    make_dispatcher,
    make_record,
    make_route,
    ms,
)

ROUTES = [make_route(priority=0), make_route(priority=1, target_latency=ms(800))]
URGENT, LEAST = DemandKey("llm", 0), DemandKey("llm", 1)


def make_ranked(requests=26, waiting=None, engines=1):
    """Return a dispatcher with equal numbers of requests at each engine."""
    records = [make_record(number + 1) for number in range(engines)]
    catalog = make_catalog(routes=ROUTES, cold_per_s=0.0)
    dispatcher = make_dispatcher(records, catalog=catalog)
    share = EntryLoad(requests, 0, waiting=waiting or {})
    shares = {record.id: share for record in records}
    dispatcher.loads.update_peer_loads("e2", shares, EPOCH)
    return dispatcher


def choose(dispatcher, route, excluded=(), **changes):
    call = make_call(route=route, **changes)
    return dispatcher.choose(call, excluded, EPOCH)


def refuse_urgent(dispatcher, refused):
    for number in range(100):
        dispatcher.demand.record(
            URGENT, target=ms(400), work=ms(1), refused=number < refused, now=EPOCH
        )


def test_an_urgent_request_waits_only_for_what_it_does_not_overtake():
    # Load pattern: a queue of the least urgent. Guards against an urgent request that
    # is refused for requests that the engine runs after it.
    queue = {2: (10, 9000)}
    placed = choose(make_ranked(waiting=queue), ROUTES[0])
    assert isinstance(placed, Placement)
    assert placed.priority == 0
    behind = choose(make_ranked(), ROUTES[0])
    assert behind.obstacle is Obstacle.WAIT


def test_the_least_urgent_are_refused_where_urgent_ones_would_be():
    # Guards against a looser target that admits what is least urgent.
    dispatcher = make_ranked()
    refuse_urgent(dispatcher, 0)
    refused = choose(dispatcher, ROUTES[1])
    assert refused.obstacle in (Obstacle.WAIT, Obstacle.MORE_URGENT_WAIT)
    assert refused.retry_after > choose(dispatcher, ROUTES[0]).retry_after


def test_a_stream_that_has_begun_is_not_refused_for_the_level():
    # Failure: an upstream is lost within a burst. Guards against streams that are given
    # up in their middle for new requests.
    dispatcher = make_ranked(requests=8, engines=2)
    refuse_urgent(dispatcher, 100)
    assert choose(dispatcher, ROUTES[1]).obstacle is Obstacle.LEVEL
    resumed = choose(dispatcher, ROUTES[1], excluded=["u2"])
    assert isinstance(resumed, Placement)


def test_a_minimum_share_is_served_under_full_pressure():
    # Guards against a rank or a team that is refused entirely while the urgent ones
    # are served, and against a team that uses the share of another.
    dispatcher = make_ranked(requests=8)
    refuse_urgent(dispatcher, 20)
    decisions = [choose(dispatcher, ROUTES[1], team="t") for _ in range(40)]
    placed = [one for one in decisions if isinstance(one, Placement)]
    assert 7 <= len(placed) <= 13
    assert all(one.minimum_share and one.priority == 0 for one in placed)


def test_routes_of_equal_priority_are_not_ordered_whatever_their_teams_have():
    # Guards against an order among requests of a deployment whose routes are all alike:
    # it refused requests there that were served late before.
    catalog = make_catalog(routes=ROUTES)
    assert [catalog.rank("llm", route).position for route in ROUTES] == [0, 1]
    alone = make_catalog(routes=[ROUTES[0]])
    teams = {f"k{n}": Team(f"t{n}", (), n, frozenset()) for n in (0, 1)}
    alone.teams_by_key.update(teams)
    alone.__post_init__()
    assert not alone.rank("llm", ROUTES[0]).ordered
