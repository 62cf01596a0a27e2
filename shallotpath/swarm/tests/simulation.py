"""Discrete-time simulation of a transfer over narrow links."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta
from hashlib import sha256
from random import Random

from shallotpath.core import EPOCH
from shallotpath.swarm import ORIGIN, Fetch, SwarmMember, SwarmPlan, UploadPacer

STEP = timedelta(milliseconds=5)
REGIONAL_GOSSIP_INTERVAL = timedelta(milliseconds=120)
GLOBAL_GOSSIP_INTERVAL = timedelta(milliseconds=300)
# A dead member counts as alive for this time.
DEAD_AFTER = timedelta(seconds=3)
# Time after which the requests in flight are adapted to the links.
WARM_UP = timedelta(seconds=3)
CHUNK_BYTES = 24_576
LINK_BYTES_PER_S = 3.65e6 / 8
ORIGIN_LINK_BYTES_PER_S = 7.3e6 / 8


@dataclass
class Transfer:
    source: str
    receiver: str
    fetch: Fetch
    starts_at: object
    bytes_left: float = CHUNK_BYTES


@dataclass
class Result:
    seconds_by_id: dict[str, float] = field(default_factory=dict)
    # Requests that timed out count with the part that was sent.
    origin_chunks: float = 0
    cross_region_chunks: int = 0

    # Longest time for which bytes that were sent to a member filled its link.
    queued_s_by_id: dict[str, float] = field(default_factory=dict)

    @property
    def last_s(self) -> float:
        return max(self.seconds_by_id.values())


class Swarm:
    """Run the plans of all members of a swarm against simulated links."""

    def __init__(
        self,
        regions: dict[str, int],
        *,
        chunks: int = 96,
        seed: int = 1,
        origin_region: str = "",
        origin_fails_at_s: float = 1e9,
        origin_is_back_at_s: float = 1e9,
        corrupt_fraction: float = 0.0,
        dead_ids: frozenset[str] = frozenset(),
        link_factor_by_id: dict[str, float] | None = None,
        partitioned_region: str = "",
        partitioned_at_s: float = 0.0,
    ) -> None:
        self.random = Random(seed)
        self.origin_region = origin_region
        self.origin_fails_at_s = origin_fails_at_s
        self.origin_is_back_at_s = origin_is_back_at_s
        self.corrupt_fraction = corrupt_fraction
        self.link_factor_by_id = link_factor_by_id or {}
        self.partitioned_region = partitioned_region
        self.partitioned_at_s = partitioned_at_s
        self.payloads = [f"chunk {i}".encode() for i in range(chunks)]
        digests = [sha256(payload).hexdigest() for payload in self.payloads]
        members = [
            SwarmMember(f"{region}-{number}", region)
            for region, count in regions.items()
            for number in range(count)
        ]
        self.members_by_id = {m.id: m for m in members if m.id not in dead_ids}
        self.plans_by_id = {}
        self.pacers_by_id = {}
        for member in self.members_by_id.values():
            plan = SwarmPlan(
                own=member,
                model="m",
                version=2,
                digests=digests,
                started_at=EPOCH,
                random=Random(self.random.random()),
            )
            # Members that have just died still count as alive until `DEAD_AFTER`.
            plan.set_members(members)
            self.plans_by_id[member.id] = plan
            self.pacers_by_id[member.id] = UploadPacer(LINK_BYTES_PER_S)
        self.transfers: list[Transfer] = []
        self.result = Result()

    def run(self, limit: timedelta = timedelta(seconds=20)) -> Result:
        now = EPOCH
        regional_gossip_at = {
            m: now + REGIONAL_GOSSIP_INTERVAL * self.random.random()
            for m in self.plans_by_id
        }
        global_gossip_at = {
            m: now + GLOBAL_GOSSIP_INTERVAL * self.random.random()
            for m in self.plans_by_id
        }
        while now - EPOCH < limit and len(self.result.seconds_by_id) < len(
            self.plans_by_id
        ):
            for member_id in self.plans_by_id:
                if now >= regional_gossip_at[member_id]:
                    regional_gossip_at[member_id] = now + REGIONAL_GOSSIP_INTERVAL
                    self._gossip(member_id, now, cross_region=False)
                if now >= global_gossip_at[member_id]:
                    global_gossip_at[member_id] = now + GLOBAL_GOSSIP_INTERVAL
                    self._gossip(member_id, now, cross_region=True)
            self._advance_transfers(now)
            if now - EPOCH == DEAD_AFTER:
                for plan in self.plans_by_id.values():
                    plan.set_members(self.members_by_id.values())
            for member_id, plan in self.plans_by_id.items():
                for fetch in plan.next_fetches(now):
                    self._start(member_id, fetch, now)
                if plan.complete:
                    elapsed = (now - EPOCH).total_seconds()
                    self.result.seconds_by_id.setdefault(member_id, elapsed)
            now += STEP
        return self.result

    def _gossip(self, member_id: str, now, *, cross_region: bool) -> None:
        sender = self.members_by_id[member_id]
        bitmap = self.plans_by_id[member_id].bitmap
        for other, plan in self.plans_by_id.items():
            same_region = self.members_by_id[other].region == sender.region
            if self._is_partitioned(
                sender.region, self.members_by_id[other].region, now
            ):
                continue
            if other != member_id and (cross_region or same_region):
                plan.peer_has(sender, bitmap, now)

    def _start(self, member_id: str, fetch: Fetch, now) -> None:
        starts_at = now
        region = self.members_by_id[member_id].region
        if fetch.source == ORIGIN:
            elapsed_s = (now - EPOCH).total_seconds()
            origin_failed = (
                self.origin_fails_at_s < elapsed_s < self.origin_is_back_at_s
            )
            if origin_failed or self._is_partitioned(self.origin_region, region, now):
                self.plans_by_id[member_id].failed(fetch, now)
                return
        elif self._is_partitioned(self.members_by_id[fetch.source].region, region, now):
            self.plans_by_id[member_id].failed(fetch, now)
            return
        else:
            wait = self.pacers_by_id[fetch.source].reserve(CHUNK_BYTES, now)
            if wait is None:
                self.plans_by_id[member_id].busy(fetch, now)
                return
            starts_at = now + wait
        self.transfers.append(Transfer(fetch.source, member_id, fetch, starts_at))

    def _is_partitioned(self, one: str, other: str, now) -> bool:
        """Check whether the partition separates two regions."""
        if (
            not self.partitioned_region
            or (now - EPOCH).total_seconds() < self.partitioned_at_s
        ):
            return False
        return (one == self.partitioned_region) != (other == self.partitioned_region)

    def _advance_transfers(self, now) -> None:
        active = [t for t in self.transfers if t.starts_at <= now]
        uploads_by_source: dict[str, int] = {}
        downloads_by_receiver: dict[str, int] = {}
        for transfer in active:
            uploads_by_source[transfer.source] = (
                uploads_by_source.get(transfer.source, 0) + 1
            )
            downloads_by_receiver[transfer.receiver] = (
                downloads_by_receiver.get(transfer.receiver, 0) + 1
            )
        for transfer in [t for t in active if t.source == ORIGIN]:
            plan = self.plans_by_id[transfer.receiver]
            if now - transfer.starts_at > plan.origin_timeout:
                active.remove(transfer)
                self.transfers.remove(transfer)
                self.result.origin_chunks += 1 - transfer.bytes_left / CHUNK_BYTES
                plan.failed(transfer.fetch, now)
        self._record_queues(active, now)
        for transfer in active:
            link = (
                ORIGIN_LINK_BYTES_PER_S
                if transfer.source == ORIGIN
                else LINK_BYTES_PER_S
            )
            link *= self.link_factor_by_id.get(transfer.source, 1.0)
            receiver_link = LINK_BYTES_PER_S * self.link_factor_by_id.get(
                transfer.receiver, 1.0
            )
            rate = min(
                link / uploads_by_source[transfer.source],
                receiver_link / downloads_by_receiver[transfer.receiver],
            )
            transfer.bytes_left -= rate * STEP.total_seconds()
            if transfer.bytes_left <= 0:
                self._deliver(transfer, now)

    def _record_queues(self, active: list[Transfer], now) -> None:
        """Record how long a caller's request would wait at the links of receivers."""
        if now - EPOCH < WARM_UP:
            return
        bytes_by_receiver: dict[str, float] = {}
        for transfer in active:
            queued = bytes_by_receiver.get(transfer.receiver, 0.0)
            bytes_by_receiver[transfer.receiver] = queued + transfer.bytes_left
        for receiver, queued in bytes_by_receiver.items():
            link = LINK_BYTES_PER_S * self.link_factor_by_id.get(receiver, 1.0)
            longest = self.result.queued_s_by_id.get(receiver, 0.0)
            self.result.queued_s_by_id[receiver] = max(longest, queued / link)

    def _deliver(self, transfer: Transfer, now) -> None:
        self.transfers.remove(transfer)
        fetch, plan = transfer.fetch, self.plans_by_id[transfer.receiver]
        receiver = self.members_by_id[transfer.receiver]
        if transfer.source == ORIGIN:
            self.result.origin_chunks += 1
            source_region = self.origin_region
        else:
            source_region = self.members_by_id[transfer.source].region
        if source_region != receiver.region:
            self.result.cross_region_chunks += 1
        payload = self.payloads[fetch.index]
        if transfer.source == ORIGIN and self.random.random() < self.corrupt_fraction:
            payload = b"corrupt"
        plan.received(fetch, payload, now)
