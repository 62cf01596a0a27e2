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


def test_the_priority_of_a_team_takes_precedence_over_that_of_the_route():
    # Guards against routes that count for nothing where all teams have a priority, and
    # against a route that lifts a request above those of a more urgent team.
    teams = {
        f"key-{priority}": Team(f"t{priority}", (), priority, frozenset())
        for priority in (1, 2)
    }
    catalog = make_catalog(routes=ROUTES)
    catalog.teams_by_key.update(teams)
    catalog.__post_init__()
    order = [(1, 0), (1, 1), (2, 0), (2, 1)]
    ranks = [
        catalog.rank(
            "llm", make_call(route=ROUTES[r], team_priority=t).combined_priority
        )
        for t, r in order
    ]
    assert [rank.position for rank in ranks] == [0, 1, 2, 3]
    alone = make_catalog(routes=[ROUTES[0]])
    assert not alone.rank("llm", (0, 0)).ordered
