"""Recovery of upstreams whose failures are long past."""

from datetime import timedelta

from shallotpath.core import EPOCH

from .helpers import make_call, make_dispatcher, make_record, ms


def test_upstream_that_failed_an_hour_ago_is_tried_again():
    # Guards against an upstream that never gets a request again after some failures in
    # a row, because only its answers lower its failure ratio.
    dispatcher = make_dispatcher([make_record(1), make_record(2)])
    for step in range(4):
        dispatcher.breaker.record_failure("u1", EPOCH + ms(step))
    chosen = set()
    for number in range(100):
        now = EPOCH + timedelta(hours=1) + number * ms(100)
        placement = dispatcher.choose(make_call(number, now=now), (), now)
        chosen.add(placement.upstream.id)
    assert "u1" in chosen


def test_faulty_upstream_is_tried_ever_more_rarely():
    # Guards against entries that each send a request to a faulty upstream every few
    # seconds.
    dispatcher = make_dispatcher([make_record(1), make_record(2)])
    breaker = dispatcher.breaker
    tried_at = []
    for number in range(1200):
        now = EPOCH + number * ms(100)
        if not breaker.faulty("u1", now):
            tried_at.append(now)
            breaker.record_failure("u1", now)
    gaps = [later - at for at, later in zip(tried_at[2:], tried_at[3:], strict=False)]
    assert len(tried_at) <= 8
    assert gaps == sorted(gaps)
