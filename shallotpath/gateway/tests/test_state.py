"""Folding of operators' and upstreams' records."""

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


def test_configuration_never_goes_back():
    state = OperatorState()
    assert state.apply(CatalogAnnounced(make_catalog(7)), WriteTime(EPOCH))
    assert not state.apply(CatalogAnnounced(make_catalog(5)), WriteTime(EPOCH))
    assert state.catalog.version == 7


def test_domain_goes_out_and_comes_back():
    state = OperatorState()
    assert state.apply(DomainDisabled("a-1"), WriteTime(EPOCH))
    assert not state.apply(DomainDisabled("a-1"), WriteTime(EPOCH))
    assert state.apply(DomainEnabled("a-1"), WriteTime(EPOCH))
    assert state.domains_out_ == set()


def test_many_announcements_keep_the_time_of_the_first_newer_one():
    # Guards against memory that grows with each announcement, and against losing its
    # time.
    state = OperatorState()
    for version in range(2, 40):
        state.apply(WeightsAnnounced("m", version), WriteTime(EPOCH + ms(version)))
    target = state.target("m")
    assert len(state.announcements_after(EPOCH)["m"]) == 8
    assert target.outdated_since(1) == EPOCH + ms(2)
    assert target.outdated_since(38) == EPOCH + ms(39)
    assert target.outdated_since(39) is None
    # A peer that still holds one of the merged announcements tells nothing new.
    assert not state.merge_announcement(
        VersionAnnouncement("m", 2, WriteTime(EPOCH + ms(2)))
    )
    assert target.outdated_since(1) == EPOCH + ms(2)


def test_announcement_of_unknown_time_leaves_no_time_for_old_weights():
    # Guards against a bound that begins when a process starts.
    state = OperatorState()
    state.apply(WeightsAnnounced("m", 2), None)
    assert state.target("m").outdated_since(1) == UNIX_EPOCH
    assert state.target("m").outdated_since(2) is None
    assert state.announcements_after(UNIX_EPOCH) == {}


def test_earliest_known_time_of_an_announcement_holds():
    # Guards against times that move on with each process that hands them over.
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
    # A peer that followed the records for longer knows of an earlier version.
    assert state.merge_announcement(VersionAnnouncement("m", 2, WriteTime(EPOCH)))
    assert state.target("m").outdated_since(1) == EPOCH
    assert state.target("m").outdated_since(2) == EPOCH + ms(500)
    assert state.announcements_after(EPOCH) == {
        "m": [
            VersionAnnouncement("m", 3, WriteTime(EPOCH + ms(500))),
            VersionAnnouncement("m", 2, WriteTime(EPOCH)),
        ]
    }


def test_last_time_without_an_announcement_holds_until_an_exact_one_is_known():
    # Guards against a bound that begins as late as the read after a gap, and against
    # one that stays shorter than it is once a peer knows better.
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
    # Guards against the time of a later version where nobody saw an earlier
    # announcement.
    state = OperatorState()
    state.merge_announcement(VersionAnnouncement("m", 2, None))
    state.merge_announcement(VersionAnnouncement("m", 3, WriteTime(EPOCH)))
    state.apply(WeightsAnnounced("m", 3), WriteTime(EPOCH))
    assert state.target("m").outdated_since(1) == UNIX_EPOCH
    assert state.target("m").outdated_since(2) == EPOCH


def test_route_with_the_longest_prefix_matches():
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


def test_split_follows_its_weights():
    route = make_route(shares=(WeightedService("x", 90), WeightedService("y", 10)))
    chosen = [route.service_for(f"q{n}") for n in range(2000)]
    assert 0.86 < chosen.count("x") / 2000 < 0.94
    assert chosen == [route.service_for(f"q{n}") for n in range(2000)]


def test_leaving_upstream_takes_no_new_work():
    table = UpstreamTable()
    table.apply(make_record(1), EPOCH)
    table.apply(make_record(1, draining=True), EPOCH)
    assert list(table.usable("llm", EPOCH)) == []


def test_removed_entry_is_gone_at_once_while_the_store_answers():
    table = UpstreamTable()
    table.read_succeeded(EPOCH)
    table.apply(make_record(1), EPOCH)
    table.read_succeeded(EPOCH + ms(600))
    assert table.remove("u1", EPOCH + ms(600))
    assert list(table.usable("llm", EPOCH + ms(600))) == []


def test_entry_that_lapsed_while_the_store_was_away_gets_time_to_come_back():
    # Guards against an empty table right after an outage in which all leases ended.
    table = UpstreamTable()
    table.read_succeeded(EPOCH)
    table.apply(make_record(1), EPOCH)
    table.apply(make_record(2), EPOCH)
    recovered_at = EPOCH + timedelta(seconds=9)
    table.read_succeeded(recovered_at)
    table.remove("u1", recovered_at)
    table.remove("u2", recovered_at)
    assert len(list(table.usable("llm", recovered_at))) == 2
    table.apply(make_record(1), recovered_at + ms(1500))
    after = recovered_at + ms(2001)
    assert [u.id for u in table.usable("llm", after)] == ["u1"]


def test_upstream_that_starts_again_under_its_id_is_cold_and_new():
    table = UpstreamTable()
    table.apply(make_record(1), EPOCH)
    restarted = make_record(1, started_ms=2, cold_remaining=ms(3000))
    table.apply(restarted, EPOCH + ms(500))
    upstream = table.upstreams_by_id_["u1"]
    assert upstream.first_received_at == EPOCH + ms(500)
    assert upstream.is_cold(EPOCH + ms(3400))


@pytest.mark.parametrize("requests", [0, 4, 15])
def test_prediction_of_a_free_engine_is_its_passes_and_the_prompt(requests):
    prediction = predict_first_token(RATES, EngineLoad(requests), 979)
    assert ms(45) < prediction.first_token < ms(160)


def test_prediction_grows_with_work_pace_and_prompt():
    usual = predict_first_token(RATES, EngineLoad(8, 2000), 979).first_token
    assert predict_first_token(RATES, EngineLoad(20, 2000), 979).first_token > usual
    assert predict_first_token(RATES, EngineLoad(8, 9000), 979).first_token > usual
    assert predict_first_token(RATES, EngineLoad(8, 2000), 3800).first_token > usual
    slow = predict_first_token(RATES, EngineLoad(8, 2000, 4.0), 979).first_token
    assert slow == 4 * usual
