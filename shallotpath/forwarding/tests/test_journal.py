from datetime import timedelta

from shallotpath.core import EPOCH
from shallotpath.forwarding._journal import RequestJournal
from shallotpath.gateway import WeightsAnnounced, WriteTime
from shallotpath.gateway.tests.helpers import (
    make_call,
    make_dispatcher,
    make_record,
    ms,
)


class RecordingReporter:
    """Keep the fields of events instead of writing them."""

    def __init__(self):
        self.fields = []

    def event(self, kind, **fields):
        self.fields.append(fields)

    def count(self, name, **labels):
        pass

    def observe(self, name, duration, **labels):
        pass


def test_request_line_shows_how_long_outdated_weights_may_be_used():
    # Guards against a request log line without the time limit that the entry applied
    # to an upstream with outdated weights.
    dispatcher = make_dispatcher([make_record(1)])
    reporter = RecordingReporter()
    journal = RequestJournal(reporter, "q1", EPOCH)
    journal.placed(dispatcher.choose(make_call(1), (), EPOCH), EPOCH)
    dispatcher.operator.apply(WeightsAnnounced("m", 2), WriteTime(EPOCH))
    now = EPOCH + ms(2000)
    journal.placed(dispatcher.choose(make_call(2), (), now), now)
    journal.close("served", 200, now + timedelta(seconds=1), None, 1)
    current, outdated = reporter.fields[0]["steps"]
    assert "begin_within" not in current
    assert outdated.endswith(" begin_within=5650.0")
