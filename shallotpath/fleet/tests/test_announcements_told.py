"""How long processes tell their peers of announcements."""

from datetime import timedelta

from shallotpath.core import EPOCH, ManualClock
from shallotpath.fleet import EdgeProcess
from shallotpath.gateway import WeightsAnnounced, WriteTime

from .announcements import make_bound_settings


async def test_announcements_are_sent_until_the_bound_ends():
    # Guards against a bound that is cut short at a start since peers stop telling of
    # the announcement before it ends.
    bound = timedelta(seconds=120)
    settings = make_bound_settings("edge-a", 1, bound=bound)
    edge = EdgeProcess(settings, clock=ManualClock())
    edge.operator.apply(WeightsAnnounced("m", 2), WriteTime(EPOCH))
    edge.clock.advance(timedelta(seconds=90))
    assert edge.gossip_message().announcements
