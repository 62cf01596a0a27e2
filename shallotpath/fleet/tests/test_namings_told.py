"""How long processes tell their peers of namings."""

import dataclasses
from datetime import timedelta

from shallotpath.core import EPOCH, ManualClock
from shallotpath.fleet import EdgeProcess
from shallotpath.gateway import WeightsNamed

from .processes import make_settings


async def test_namings_are_told_as_long_as_the_bound_lasts():
    # Guards against a bound that is cut short at a start since peers stop telling of
    # the naming before it ends.
    bound = timedelta(seconds=120)
    settings = dataclasses.replace(make_settings("edge-a", 1), version_bound=bound)
    edge = EdgeProcess(settings, clock=ManualClock())
    edge.operator.apply(WeightsNamed("m", 2), EPOCH)
    edge.clock.advance(timedelta(seconds=90))
    assert edge.news().namings
