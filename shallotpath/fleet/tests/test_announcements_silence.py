"""Bound on outdated weights where open connections to the store stall."""

import asyncio

from shallotpath.fleet import EdgeProcess
from shallotpath.gateway._eligibility import VERSION_MARGIN
from shallotpath.platform import OPERATOR_TOPIC

from .processes import make_config, make_settings, running, until
from .standins import Log, StoreStandIn, listen

STALL_S = 4


class StalledConnectionsStore(StoreStandIn):
    """Delay answers on the connections in `stalled`; serve all others."""

    def __init__(self, log):
        super().__init__(log)
        self.open = set()
        self.stalled = set()

    async def handle(self, request):
        if request.transport in self.stalled:
            await asyncio.sleep(STALL_S)
        self.open.add(request.transport)
        return await super().handle(request)


async def test_bound_counts_from_the_announcement_after_a_lost_read():
    # Guards against a bound that starts with the read after a lost one, although the
    # store was up: all entries may lose a read at the same time.
    log = Log()
    log.put(OPERATOR_TOPIC, "config", make_config(1))
    store = StalledConnectionsStore(log)
    runner, port = await listen(store.handle)
    async with running(EdgeProcess, make_settings("edge-a", port)) as edge:
        await until(lambda: edge.ready)
        store.stalled = set(store.open)
        await asyncio.sleep(0.1)
        log.put(OPERATOR_TOPIC, "version/m", {"model": "m", "version": 2})
        announced_at = edge.clock.now()
        await until(lambda: edge.operator.target("m"))
        assert edge.operator.outdated_since("m", 1) <= announced_at + VERSION_MARGIN
    await runner.cleanup()
