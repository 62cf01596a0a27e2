"""Peer discovery through seed addresses and the store."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from datetime import timedelta

import msgspec

from ..core import Clock, PlatformError
from ..platform import MEMBER_TOPIC, ProcessSettings, StoreClient
from ..replication import KeyedRecord, PeerAddress, PeerTable
from ..settings import check_host_port
from ._reporter import LineReporter

# Seeds may be outdated or down, so members also find each other through the store.
MEMBERS_INTERVAL = timedelta(seconds=15)
NO_PEERS_INTERVAL = timedelta(seconds=1)

SendGossip = Callable[[list[PeerAddress]], None]


class Discovery:
    """Register this process's address and learn the addresses of its peers."""

    def __init__(
        self,
        settings: ProcessSettings,
        *,
        address: PeerAddress,
        peers: PeerTable,
        store: StoreClient,
        send_gossip: SendGossip,
        clock: Clock,
        reporter: LineReporter,
    ) -> None:
        self.settings = settings
        self.address = address
        self.peers = peers
        self.store = store
        self.send_gossip = send_gossip
        self.clock = clock
        self.reporter = reporter

    async def find_members(self) -> None:
        """Contact the seeds, register in the store and read the other members."""
        self._contact_seeds()
        value = msgspec.json.encode(self.address)
        registered = False
        while True:
            try:
                if not registered:
                    await self.store.put(MEMBER_TOPIC, self.settings.node, value)
                    registered = True
                page = await self.store.newest(MEMBER_TOPIC)
                # The store may have lost it; the next round is soon enough, as seeds
                # and peers know this process.
                registered = any(
                    record.key == self.settings.node and record.value == value
                    for record in page.records
                )
                self._learn(page.records)
                self.send_gossip(self.peers.unseen())
            except PlatformError as error:
                self.reporter.event("members_unread", detail=error.message)
            without_peers = not self.peers.live(self.clock.now())
            if without_peers:
                self._contact_seeds()
            pause = NO_PEERS_INTERVAL if without_peers else MEMBERS_INTERVAL
            await asyncio.sleep(pause.total_seconds())

    def _contact_seeds(self) -> None:
        for seed in self.settings.seeds:
            if seed.host != self.settings.host:
                address = PeerAddress(
                    f"seed-{seed.host}", seed.host, self.settings.peer_port, True
                )
                self.send_gossip([address])

    def _learn(self, records: Iterable[KeyedRecord]) -> None:
        for record in records:
            try:
                address = msgspec.json.decode(record.value or b"", type=PeerAddress)
                check_host_port(f"{address.host}:{address.port}")
            except (msgspec.DecodeError, RecursionError, ValueError) as error:
                self.reporter.event("bad_member", key=record.key, detail=repr(error))
                continue
            self.peers.learn(address)
