"""Simulation of a transfer over narrow links, in small steps of time."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta
from hashlib import sha256
from random import Random

from shallotpath.core import EPOCH
from shallotpath.swarm import ORIGIN, Fetch, SwarmMember, SwarmPlan, UploadPacer

STEP = timedelta(milliseconds=5)
NEAR_NEWS = timedelta(milliseconds=120)
FAR_NEWS = timedelta(milliseconds=300)
# A mate that has died counts as alive for this time.
SILENT_AFTER = timedelta(seconds=3)
CHUNK_BYTES = 24_576
LINK = 3.65e6 / 8
ORIGIN_LINK = 7.3e6 / 8


@dataclass
class Transfer:
    source: str
    receiver: str
    fetch: Fetch
    starts_at: object
    left: float = CHUNK_BYTES


@dataclass
class Result:
    seconds_by_id: dict[str, float] = field(default_factory=dict)
    origin_chunks: int = 0
    far_chunks: int = 0

    @property
    def last(self) -> float:
        return max(self.seconds_by_id.values())


class Swarm:
    """Run the plans of all mates of a model against simulated links."""

    def __init__(
        self,
        regions: dict[str, int],
        *,
        chunks: int = 96,
        seed: int = 1,
        origin_region: str = "",
        origin_until: float = 1e9,
        corrupt: float = 0.0,
        silent: frozenset[str] = frozenset(),
        slow: dict[str, float] | None = None,
        cut: str = "",
        cut_at: float = 0.0,
    ) -> None:
        self.random = Random(seed)
        self.origin_region = origin_region
        self.origin_until = origin_until
        self.corrupt = corrupt
        self.slow = slow or {}
        self.cut = cut
        self.cut_at = cut_at
        self.payloads = [f"chunk {i}".encode() for i in range(chunks)]
        digests = [sha256(payload).hexdigest() for payload in self.payloads]
        members = [
            SwarmMember(f"{region}-{number}", region)
            for region, count in regions.items()
            for number in range(count)
        ]
        self.members_by_id = {m.id: m for m in members if m.id not in silent}
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
            # Mates that have just died still count as alive for a while.
            plan.set_members(members)
            self.plans_by_id[member.id] = plan
            self.pacers_by_id[member.id] = UploadPacer(LINK)
        self.transfers: list[Transfer] = []
        self.result = Result()

    def run(self, limit: timedelta = timedelta(seconds=20)) -> Result:
        now = EPOCH
        near_at = {m: now + NEAR_NEWS * self.random.random() for m in self.plans_by_id}
        far_at = {m: now + FAR_NEWS * self.random.random() for m in self.plans_by_id}
        while now - EPOCH < limit and len(self.result.seconds_by_id) < len(
            self.plans_by_id
        ):
            for member_id in self.plans_by_id:
                if now >= near_at[member_id]:
                    near_at[member_id] = now + NEAR_NEWS
                    self._tell(member_id, now, far=False)
                if now >= far_at[member_id]:
                    far_at[member_id] = now + FAR_NEWS
                    self._tell(member_id, now, far=True)
            self._move(now)
            if now - EPOCH == SILENT_AFTER:
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

    def _tell(self, member_id: str, now, *, far: bool) -> None:
        sender = self.members_by_id[member_id]
        bitmap = self.plans_by_id[member_id].bitmap
        for other, plan in self.plans_by_id.items():
            same = self.members_by_id[other].region == sender.region
            if self._is_cut(sender.region, self.members_by_id[other].region, now):
                continue
            if other != member_id and (far or same):
                plan.peer_has(sender, bitmap, now)

    def _start(self, member_id: str, fetch: Fetch, now) -> None:
        starts_at = now
        region = self.members_by_id[member_id].region
        if fetch.source == ORIGIN:
            away = (now - EPOCH).total_seconds() > self.origin_until
            if away or self._is_cut(self.origin_region, region, now):
                self.plans_by_id[member_id].failed(fetch, now)
                return
        elif self._is_cut(self.members_by_id[fetch.source].region, region, now):
            self.plans_by_id[member_id].failed(fetch, now)
            return
        else:
            wait = self.pacers_by_id[fetch.source].reserve(CHUNK_BYTES, now)
            if wait is None:
                self.plans_by_id[member_id].busy(fetch, now)
                return
            starts_at = now + wait
        self.transfers.append(Transfer(fetch.source, member_id, fetch, starts_at))

    def _is_cut(self, one: str, other: str, now) -> bool:
        """Check whether a cut region lies between two regions."""
        if not self.cut or (now - EPOCH).total_seconds() < self.cut_at:
            return False
        return (one == self.cut) != (other == self.cut)

    def _move(self, now) -> None:
        active = [t for t in self.transfers if t.starts_at <= now]
        up: dict[str, int] = {}
        down: dict[str, int] = {}
        for transfer in active:
            up[transfer.source] = up.get(transfer.source, 0) + 1
            down[transfer.receiver] = down.get(transfer.receiver, 0) + 1
        for transfer in active:
            link = ORIGIN_LINK if transfer.source == ORIGIN else LINK
            link *= self.slow.get(transfer.source, 1.0)
            receiving = LINK * self.slow.get(transfer.receiver, 1.0)
            rate = min(link / up[transfer.source], receiving / down[transfer.receiver])
            transfer.left -= rate * STEP.total_seconds()
            if transfer.left <= 0:
                self._deliver(transfer, now)

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
            self.result.far_chunks += 1
        payload = self.payloads[fetch.index]
        if transfer.source == ORIGIN and self.random.random() < self.corrupt:
            payload = b"spoilt"
        plan.received(fetch, payload, now)
