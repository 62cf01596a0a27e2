import asyncio

from shallotpath.bench._claims import HANDOVER_S, SETTINGS, WARM_UP_S, OrderLoad
from shallotpath.bench._claims_world import ClaimsWorld


async def test_orders_run_exactly_once_with_and_without_the_log():
    # Guards against orders that are lost or run twice because claim tables, witnesses
    # and log tailers are connected wrongly.
    world = ClaimsWorld(SETTINGS, naive=False, seed=1)
    await world.start(["a1", "a2", "b1"], ["ae1", "ae2", "be1", "be2"])
    try:
        load = OrderLoad(world, 1)
        await asyncio.sleep(WARM_UP_S / 2)
        await load.run_phase("healthy", 0.3)
        await load.finish()
        world.platform.faults.log_down = True
        await asyncio.sleep(HANDOVER_S)
        await load.run_phase("outage", 0.3)
        await load.finish()
        outcomes = {order.outcome for order in load.totals.orders}
        runs = [world.runs(order.key) for order in load.totals.orders]
        assert outcomes <= {"run", "known"}
        assert set(runs) == {1}
    finally:
        await world.stop()
