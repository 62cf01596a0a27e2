import json
from datetime import timedelta

from shallotpath.platform import decode_operator_record
from soak._ledger import Kind
from soak._operator import Change, Configuration


def decoded(configuration):
    value = json.dumps(configuration.record()).encode()
    return decode_operator_record("config", value).catalog


def test_every_change_gives_a_configuration_that_serves_all_callers():
    # Guards against configurations that entries refuse, so that no change takes effect.
    for change in Change:
        configuration = Configuration(origin_port=1)
        before = configuration.record()
        configuration.apply(change)
        catalog = decoded(configuration)
        assert catalog.version == before["version"] + 1
        prefixes = {route.prefix for route in catalog.routes}
        assert {f"/{kind}/" for kind in Kind} <= prefixes


def test_limits_and_routes_follow_the_changes():
    # Guards against changes that have no effect.
    configuration = Configuration(origin_port=1)
    for change in (Change.LOWER_LIMITS, Change.MOVE_STREAMS, Change.ADD_MANY_ROUTES):
        configuration.apply(change)
    catalog = decoded(configuration)
    assert catalog.limits.idle_timeout == configuration.idle_timeout
    assert configuration.idle_timeout < timedelta(seconds=2)
    services = {
        route.prefix: [part.service for part in route.shares]
        for route in catalog.routes
    }
    assert services["/stream/"] == ["spare-llm"]
    assert services["/order/"] == ["desk"]
    assert len(services) > 400
