"""Age of replicas that are filled by peers."""

import asyncio
from datetime import timedelta

from shallotpath.fleet import EdgeProcess
from shallotpath.platform import OPERATOR_TOPIC

from .processes import make_config, make_settings, running, stores, until
from .standins import Log


async def test_page_of_a_peer_without_a_store_read_confirms_nothing():
    # Guards against outdated records that count as fresh, because a process that has
    # just started reports the age of a store read that it never made.
    log = Log()
    log.put(OPERATOR_TOPIC, "config", make_config(1))
    async with (
        stores(log, 2) as ((store_a, port_a), (store_b, port_b)),
        running(EdgeProcess, make_settings("edge-a", port_a)) as a,
    ):
        await until(lambda: a.ready)
        store_a.refusing = store_b.refusing = True
        topic = a.operator_topic_
        await until(lambda: topic.store_lost_at_ is not None)
        await asyncio.sleep(0.5)
        async with running(EdgeProcess, make_settings("edge-b", port_b)) as b:
            await topic.catch_up(b.address, topic.end + 1, remote=False)
            assert topic.age(a.clock.now()) >= timedelta(milliseconds=500)
