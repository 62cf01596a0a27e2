"""Time for which processes send an announcement to their peers."""

from datetime import timedelta

from shallotpath.core import EPOCH, ManualClock
from shallotpath.fleet import EdgeProcess
from shallotpath.gateway import WeightsAnnounced, WriteTime

from .announcements import make_bound_settings


async def test_announcements_are_sent_until_the_bound_ends():
    # Guards against a process that starts and ends the bound too early, because its
    # peers no longer send the announcement.
    bound = timedelta(seconds=120)
    settings = make_bound_settings("edge-a", 1, bound=bound)
    edge = EdgeProcess(settings, clock=ManualClock())
    edge.operator.apply(WeightsAnnounced("m", 2), WriteTime(EPOCH))
    edge.clock.advance(timedelta(seconds=90))
    assert edge.gossip_message().announcements
