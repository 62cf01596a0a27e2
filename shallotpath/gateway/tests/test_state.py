"""State built from the records of operators and upstreams."""

from datetime import timedelta

import pytest

from shallotpath.core import EPOCH
from shallotpath.gateway import (
    UNIX_EPOCH,
    CatalogAnnounced,
    DomainDisabled,
    DomainEnabled,
    EngineLoad,
    OperatorState,
    UpstreamTable,
    VersionAnnouncement,
    WeightedService,
    WeightsAnnounced,
    WriteTime,
    predict_first_token,
)

from .helpers import RATES, make_catalog, make_record, make_route, ms


def test_older_configuration_is_ignored():
    # Guards against a return to an old configuration whose record arrives late.
    state = OperatorState()
    assert state.apply(CatalogAnnounced(make_catalog(7)), WriteTime(EPOCH))
    assert not state.apply(CatalogAnnounced(make_catalog(5)), WriteTime(EPOCH))
    assert state.catalog.version == 7


def test_domain_is_disabled_and_enabled():
    # Guards against a domain that stays disabled, and against repeated records that
    # count as changes.
    state = OperatorState()
    assert state.apply(DomainDisabled("a-1"), WriteTime(EPOCH))
    assert not state.apply(DomainDisabled("a-1"), WriteTime(EPOCH))
    assert state.apply(DomainEnabled("a-1"), WriteTime(EPOCH))
    assert state.disabled_domains_ == set()


def test_merged_announcements_keep_the_time_of_the_first_newer_version():
    # Guards against memory that grows with each announcement, and against the loss of
    # the time of a merged one.
    state = OperatorState()
    for version in range(2, 40):
        state.apply(WeightsAnnounced("m", version), WriteTime(EPOCH + ms(version)))
    target = state.target("m")
    assert len(state.announcements_after(EPOCH)["m"]) == 8
    assert target.outdated_since(1) == EPOCH + ms(2)
    assert target.outdated_since(38) == EPOCH + ms(39)
    assert target.outdated_since(39) is None
    # An announcement from a peer that was merged here already changes nothing.
    assert not state.merge_announcement(
        VersionAnnouncement("m", 2, WriteTime(EPOCH + ms(2)))
    )
    assert target.outdated_since(1) == EPOCH + ms(2)


def test_announcement_of_unknown_time_counts_as_long_ago():
    # Guards against a version bound that restarts when a process starts.
    state = OperatorState()
    state.apply(WeightsAnnounced("m", 2), None)
    assert state.target("m").outdated_since(1) == UNIX_EPOCH
    assert state.target("m").outdated_since(2) is None
    assert state.announcements_after(UNIX_EPOCH) == {}


def test_earliest_known_time_of_an_announcement_is_kept():
    # Guards against times that move later with each process that passes them on.
    state = OperatorState()
    state.apply(WeightsAnnounced("m", 3), None)
    assert state.merge_announcement(
        VersionAnnouncement("m", 3, WriteTime(EPOCH + ms(900)))
    )
    assert state.merge_announcement(
        VersionAnnouncement("m", 3, WriteTime(EPOCH + ms(500)))
    )
    assert not state.merge_announcement(
        VersionAnnouncement("m", 3, WriteTime(EPOCH + ms(600)))
    )
    assert not state.merge_announcement(VersionAnnouncement("m", 3, None))
    assert state.target("m").outdated_since(1) == EPOCH + ms(500)
    # A peer that has followed the records for longer knows of an earlier version.
    assert state.merge_announcement(VersionAnnouncement("m", 2, WriteTime(EPOCH)))
    assert state.target("m").outdated_since(1) == EPOCH
    assert state.target("m").outdated_since(2) == EPOCH + ms(500)
    assert state.announcements_after(EPOCH) == {
        "m": [
            VersionAnnouncement("m", 3, WriteTime(EPOCH + ms(500))),
            VersionAnnouncement("m", 2, WriteTime(EPOCH)),
        ]
    }


def test_lower_bound_of_a_time_is_used_until_the_exact_time_is_known():
    # Guards against a version bound that starts only at the read after a gap, and
    # against one that stays too short once a peer knows the exact time.
    state = OperatorState()
    state.apply(WeightsAnnounced("m", 2), WriteTime(EPOCH, exact=False))
    assert state.target("m").outdated_since(1) == EPOCH
    later = WriteTime(EPOCH + ms(800))
    assert state.merge_announcement(VersionAnnouncement("m", 2, later))
    assert state.target("m").outdated_since(1) == later.at
    assert not state.merge_announcement(
        VersionAnnouncement("m", 2, WriteTime(EPOCH, exact=False))
    )
    assert state.target("m").outdated_since(1) == later.at


def test_announcement_that_a_peer_found_at_its_start_counts_as_long_ago():
    # Guards against the time of a later version being used where no process saw when
    # an earlier one was announced.
    state = OperatorState()
    state.merge_announcement(VersionAnnouncement("m", 2, None))
    state.merge_announcement(VersionAnnouncement("m", 3, WriteTime(EPOCH)))
    state.apply(WeightsAnnounced("m", 3), WriteTime(EPOCH))
    assert state.target("m").outdated_since(1) == UNIX_EPOCH
    assert state.target("m").outdated_since(2) == EPOCH


@pytest.mark.parametrize("host", ["[::1]", "[::1]:80", "[::1]:"])
def test_route_of_an_ipv6_host_matches_with_and_without_a_port(host):
    # Guards against an address cut at its last colon when no port follows.
    catalog = make_catalog(routes=[make_route(host="[::1]", prefix="/")])
    assert catalog.match(host, "/a/") is not None


def test_route_with_the_longest_prefix_matches():
    # Guards against requests sent to the service of a less specific route.
    routes = [
        make_route(id="short", prefix="/a/"),
        make_route(id="long", prefix="/a/b/"),
        make_route(id="other", host="x.example", prefix="/"),
    ]
    catalog = make_catalog(routes=routes)
    assert catalog.match("h.example", "/a/b/c").id == "long"
    assert catalog.match("H.EXAMPLE:80", "/a/bc").id == "short"
    assert catalog.match("h.example", "/a") is None
    assert catalog.match("y.example", "/a/") is None


def test_requests_are_split_among_services_by_weight():
    # Guards against a wrong split, and against retries that go to another service.
    route = make_route(shares=(WeightedService("x", 90), WeightedService("y", 10)))
    chosen = [route.service_for(f"q{n}") for n in range(2000)]
    assert 0.86 < chosen.count("x") / 2000 < 0.94
    assert chosen == [route.service_for(f"q{n}") for n in range(2000)]


def test_draining_upstream_gets_no_new_requests():
    # Guards against requests that are lost when an upstream stops.
    table = UpstreamTable()
    table.apply(make_record(1), EPOCH)
    table.apply(make_record(1, draining=True), EPOCH)
    assert list(table.usable("llm", EPOCH)) == []


def test_removed_upstream_is_dropped_at_once_while_the_store_is_available():
    # Guards against requests to an upstream that has gone, within the grace period for
    # an outage of the store.
    table = UpstreamTable()
    table.record_read(EPOCH)
    table.apply(make_record(1), EPOCH)
    table.record_read(EPOCH + ms(600))
    assert table.remove("u1", EPOCH + ms(600))
    assert list(table.usable("llm", EPOCH + ms(600))) == []


def test_upstream_whose_lease_expired_in_a_store_outage_may_register_again():
    # Guards against an empty table right after an outage in which all leases expired.
    table = UpstreamTable()
    table.record_read(EPOCH)
    table.apply(make_record(1), EPOCH)
    table.apply(make_record(2), EPOCH)
    recovered_at = EPOCH + timedelta(seconds=9)
    table.record_read(recovered_at)
    table.remove("u1", recovered_at)
    table.remove("u2", recovered_at)
    assert len(list(table.usable("llm", recovered_at))) == 2
    table.apply(make_record(1), recovered_at + ms(1500))
    after = recovered_at + ms(2001)
    assert [u.id for u in table.usable("llm", after)] == ["u1"]


def test_upstream_that_restarts_under_its_id_is_cold_and_new():
    # Guards against a restarted upstream that is treated as the old, warm one.
    table = UpstreamTable()
    table.apply(make_record(1), EPOCH)
    restarted = make_record(1, started_ms=2, cold_remaining=ms(3000))
    table.apply(restarted, EPOCH + ms(500))
    upstream = table.upstreams_by_id_["u1"]
    assert upstream.first_received_at == EPOCH + ms(500)
    assert upstream.is_cold(EPOCH + ms(3400))


@pytest.mark.parametrize("requests", [0, 4, 15])
def test_prediction_for_an_engine_with_free_slots_is_short(requests):
    # Guards against rejections because an engine with free slots is predicted as slow.
    prediction = predict_first_token(RATES, EngineLoad(requests), 979)
    assert ms(45) < prediction.first_token < ms(160)


def test_prediction_grows_with_load_pace_and_prompt():
    # Guards against a loaded or slow engine that looks as fast as an idle one.
    usual = predict_first_token(RATES, EngineLoad(8, 2000), 979).first_token
    assert predict_first_token(RATES, EngineLoad(20, 2000), 979).first_token > usual
    assert predict_first_token(RATES, EngineLoad(8, 9000), 979).first_token > usual
    assert predict_first_token(RATES, EngineLoad(8, 2000), 3800).first_token > usual
    slow = predict_first_token(RATES, EngineLoad(8, 2000, 4.0), 979).first_token
    assert slow == 4 * usual
