import asyncio

import pytest
from aiohttp import ClientSession

from shallotpath.bench._config_nodes import ControlNode, make_member
from shallotpath.config import BringDomainIn, encode_record
from shallotpath.config.tests.helpers import make_record
from shallotpath.runtime import PlatformClient, status_of
from shallotpath.standins import PlatformApp, serve


class Site:
    """Run control nodes of one domain over real sockets with a platform stand-in."""

    def __init__(self, platform, session, url):
        self.platform = platform
        self.session = session
        self.client = PlatformClient(session, url)
        self.nodes = []

    async def start(self, name, seeds=(), readers=1):
        member = make_member(name, "d0", "tcp://127.0.0.1:0", f"{name}/1")
        node = ControlNode(member, platform=self.client, seeds=seeds)
        node.configuration.readers_per_domain = readers
        await node.start()
        self.nodes.append(node)
        return node

    async def until(self, condition):
        for _ in range(750):
            if condition():
                return
            await asyncio.sleep(0.02)
        raise AssertionError("the condition was not met within 15 s")

    async def append(self, id="a", base=-1):
        record = make_record(BringDomainIn(id, "r"), base)
        await self.client.append("config", [encode_record(record)])


@pytest.fixture
async def site():
    platform = PlatformApp()
    async with serve(platform.build()) as url, ClientSession() as session:
        site = Site(platform, session, url)
        yield site
        for node in site.nodes:
            await node.stop()


def is_reading(node):
    tailer = node.control.tailer_
    return tailer is not None and not tailer.done()


async def test_only_the_reader_tails_the_log_and_another_takes_over(site):
    # Guards against several readers of the log, and none after the reader stops.
    first = await site.start("n1")
    seed = first.shell.peer.address_
    await site.start("n2", [seed])
    await site.start("n3", [seed])
    await site.until(lambda: sum(map(is_reading, site.nodes)) == 1)
    await site.append()
    await site.until(lambda: all(n.configuration.offset == 0 for n in site.nodes))
    reader = next(node for node in site.nodes if is_reading(node))
    site.nodes.remove(reader)
    await reader.stop()
    await site.until(lambda: sum(map(is_reading, site.nodes)) == 1)
    await site.append("b", 0)
    await site.until(lambda: all(n.configuration.offset == 1 for n in site.nodes))


async def test_process_without_seeds_joins_through_the_vm_list(site):
    # Guards against a process that stays alone because it has no seed addresses.
    first = await site.start("n1")
    await site.session.put(
        f"{site.client.url}/vms/n1",
        json={"state": "live", "address": first.shell.peer.address_},
    )
    second = await site.start("n2")
    await site.until(
        lambda: status_of(second.configuration, second.membership)["members"] == 2
    )


async def test_tailer_continues_after_an_outage_of_the_log(site):
    # Guards against a tailer that ends when the log is unavailable.
    node = await site.start("n1")
    site.platform.faults.log_down = True
    await asyncio.sleep(1)
    assert node.configuration.offset == -1
    site.platform.faults.log_down = False
    await site.append()
    await site.until(lambda: node.configuration.offset == 0)
    status = status_of(node.configuration, node.membership)
    assert status["config_offset"] == 0
    assert status["preset"] == "ordinary"


async def test_silent_connection_is_replaced(site):
    # Guards against a connection whose state an intermediary (such as NAT) has lost.
    first = await site.start("n1")
    second = await site.start("n2", [first.shell.peer.address_])
    address = second.shell.peer.address_
    await site.until(lambda: address in first.shell.peer.dealers_by_address_)
    first.membership.prober_.misses_by_address_[address] = 2
    first.shell.peer.received_at_by_peer_[address] = 0.0
    before = first.shell.peer.dealers_by_address_[address]
    first.control._replace_connections()
    assert first.shell.peer.dealers_by_address_[address] is not before
    assert before.socket.closed
