"""Configuration of a process: folded from the log and replicated between peers."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from datetime import datetime, timedelta
from functools import singledispatchmethod
from random import Random

from ..core import (
    Append,
    AppendFailed,
    ConfigPull,
    ConfigPush,
    ConfigurationChanged,
    Count,
    Effect,
    Emit,
    Event,
    Gauge,
    Gossip,
    LogRecord,
    MemberChanged,
    Message,
    Received,
    RecordsRead,
    Send,
    Tick,
    rendezvous_order,
)
from ..membership import MembershipView, MemberState
from ._fold import Verdict, judge
from ._model import DomainState, ModelVersion, Preset, Service, Team
from ._records import STREAM, Header, Record, Snapshot, encode_record
from ._replica import MAX_PUSH_RECORDS, Replica
from ._state import Outcome, digest_state

READERS_PER_DOMAIN = 3
# A push reaches a domain of 250 members in about 5 hops. Records that the push
# misses are pulled by offset.
PUSH_FANOUT = 4
PULL_TIMEOUT = timedelta(seconds=1)
MAX_FORWARD_BYTES = 8 * 1024
# A snapshot is appended well before the log drops the records that follow the last
# one; the log limits both their number and their age.
SNAPSHOT_RECORDS = 200
SNAPSHOT_INTERVAL = timedelta(hours=4)
SNAPSHOT_TAKEOVER_DELAY = timedelta(seconds=10)


class Configuration:
    """Hold the configuration in force and replicate it to peers."""

    __slots__ = (
        "digest_",
        "domain",
        "highest_peer_offset_",
        "id",
        "membership",
        "neighbours",
        "next_pull_at_",
        "random",
        "readers_by_domain_",
        "readers_per_domain",
        "replica_",
        "snapshot_due_at_",
        "snapshot_interval",
        "snapshot_records",
        "last_snapshot_offset_",
        "last_snapshot_at_",
        "append_token_",
    )

    def __init__(
        self,
        *,
        id: str,
        domain: str,
        membership: MembershipView,
        random: Random,
        neighbours: Callable[[], Sequence[str]] | None = None,
        readers_per_domain: int = READERS_PER_DOMAIN,
        snapshot_records: int = SNAPSHOT_RECORDS,
        snapshot_interval: timedelta = SNAPSHOT_INTERVAL,
    ) -> None:
        self.id = id
        self.domain = domain
        self.membership = membership
        self.random = random
        self.neighbours = neighbours
        self.readers_per_domain = readers_per_domain
        self.snapshot_records = snapshot_records
        self.snapshot_interval = snapshot_interval
        self.replica_ = Replica()
        self.readers_by_domain_: dict[str, list[str]] | None = None
        self.highest_peer_offset_ = -1
        self.next_pull_at_: datetime | None = None
        self.last_snapshot_offset_ = -1
        self.last_snapshot_at_: datetime | None = None
        self.snapshot_due_at_: datetime | None = None
        self.append_token_ = 0
        self.digest_ = (-1, "")

    @property
    def offset(self) -> int:
        """Return the log offset of the configuration, or -1 if there is none."""
        return self.replica_.offset

    @property
    def preset(self) -> Preset:
        """Return the preset in force."""
        state = self.replica_.state_
        return state.presets_by_id[state.preset_id]

    @property
    def presets_by_id(self) -> Mapping[str, Preset]:
        """Return all presets."""
        return self.replica_.state_.presets_by_id

    @property
    def teams_by_id(self) -> Mapping[str, Team]:
        """Return all teams."""
        return self.replica_.state_.teams_by_id

    @property
    def services_by_id(self) -> Mapping[str, Service]:
        """Return all services."""
        return self.replica_.state_.services_by_id

    @property
    def versions_by_id(self) -> Mapping[str, ModelVersion]:
        """Return all published versions."""
        return self.replica_.state_.versions_by_id

    @property
    def domains_by_id(self) -> Mapping[str, DomainState]:
        """Return all failure domains."""
        return self.replica_.state_.domains_by_id

    @property
    def paused_services(self) -> Sequence[str]:
        """Return the services whose rolling updates are paused."""
        return self.replica_.state_.paused_services

    @property
    def history(self) -> list[Outcome]:
        """Return the recent accepted and rejected records by offset."""
        outcomes = self.replica_.state_.outcomes_by_command_id.values()
        return sorted(outcomes, key=lambda outcome: outcome.offset)

    @property
    def digest(self) -> str:
        """Return a digest that is equal on all processes at one offset."""
        if self.digest_[0] != self.offset:
            self.digest_ = (self.offset, digest_state(self.replica_.state_))
        return self.digest_[1]

    @property
    def is_reader(self) -> bool:
        """Check whether this process reads the log for its domain."""
        return self.id in self._readers()[self.domain]

    def apply(self, offset: int, record: Record) -> Verdict:
        """Return the verdict on a record at an offset, without applying it."""
        return judge(self.replica_.state_, offset, record)

    @singledispatchmethod
    def reduce(self, event: Event, now: datetime) -> list[Effect]:
        """Handle an event and return effects."""
        return []

    @reduce.register
    def _(self, event: RecordsRead, now: datetime) -> list[Effect]:
        if event.stream != STREAM:
            return []
        return self._apply_push(ConfigPush(event.records), "", now)

    @reduce.register
    def _(self, event: Received, now: datetime) -> list[Effect]:
        return self._receive(event.message, event.peer, now)

    @reduce.register
    def _(self, event: MemberChanged, now: datetime) -> list[Effect]:
        self.readers_by_domain_ = None
        return []

    @reduce.register
    def _(self, event: AppendFailed, now: datetime) -> list[Effect]:
        if event.stream == STREAM and event.token == self.append_token_:
            self.snapshot_due_at_ = now
        return []

    @reduce.register
    def _(self, event: Tick, now: datetime) -> list[Effect]:
        effects = self._pull_missing(now)
        effects += self._append_snapshot(now)
        return effects

    @singledispatchmethod
    def _receive(self, message: Message, peer: str, now: datetime) -> list[Effect]:
        return []

    @_receive.register
    def _(self, message: ConfigPush, peer: str, now: datetime) -> list[Effect]:
        return self._apply_push(message, peer, now)

    @_receive.register
    def _(self, message: ConfigPull, peer: str, now: datetime) -> list[Effect]:
        push = self.replica_.push_after(message.after_offset)
        return [] if push is None else [Send(peer, push)]

    @_receive.register
    def _(self, message: Gossip, peer: str, now: datetime) -> list[Effect]:
        self.highest_peer_offset_ = max(
            self.highest_peer_offset_, message.config_offset
        )
        if message.config_offset > self.offset:
            return self._pull(peer, now) if self._may_pull(now) else []
        push = self.replica_.push_after(message.config_offset)
        if push is None or push.snapshot:
            return []
        return [Send(peer, push)]

    def _apply_push(self, push: ConfigPush, source: str, now: datetime) -> list[Effect]:
        previous_offset = self.offset
        previous_counts = self.replica_.outcomes_.copy()
        if push.snapshot:
            self.replica_.add_snapshot(push.snapshot_offset, push.snapshot)
        self.replica_.add(push.records)
        effects = self._count_outcomes(previous_counts)
        if self.offset == previous_offset:
            return effects
        self.next_pull_at_ = None
        if source and self.offset < self.highest_peer_offset_:
            effects += self._pull(source, now)
        effects += self._forward(previous_offset, push.records)
        effects.append(Gauge("config_offset", float(self.offset)))
        effects.append(Emit(ConfigurationChanged(self.offset)))
        return effects

    def _count_outcomes(self, previous_counts: Mapping[str, int]) -> list[Effect]:
        return [
            Count(
                "config_records",
                {"outcome": name},
                amount - previous_counts.get(name, 0),
            )
            for name, amount in self.replica_.outcomes_.items()
            if amount != previous_counts.get(name, 0)
        ]

    def _forward(self, previous_offset: int, records: list[LogRecord]) -> list[Effect]:
        fresh = [record for record in records if record.offset > previous_offset]
        if not fresh:
            return []
        size = sum(len(record.data) for record in fresh)
        push: Message = ConfigPush(fresh)
        if size > MAX_FORWARD_BYTES or len(fresh) > MAX_PUSH_RECORDS:
            # Large records, such as snapshots, are only announced. A peer pulls them
            # once instead of receiving them from several peers.
            push = Gossip(self.id, config_offset=self.offset)
        return [Send(peer, push) for peer in self._sample_peers(PUSH_FANOUT)]

    def _sample_peers(self, count: int) -> list[str]:
        if self.neighbours is not None:
            peers = list(self.neighbours())
        else:
            peers = self._domain_peers() or self._all_peers()
        return self.random.sample(peers, min(count, len(peers)))

    def _domain_peers(self) -> list[str]:
        return [
            member.address
            for member in self.membership.members_by_id.values()
            if member.domain == self.domain and self._is_live_peer(member)
        ]

    def _all_peers(self) -> list[str]:
        return [
            member.address
            for member in self.membership.members_by_id.values()
            if self._is_live_peer(member)
        ]

    def _is_live_peer(self, member) -> bool:
        return member.id != self.id and member.state is not MemberState.DEAD

    def _pull_missing(self, now: datetime) -> list[Effect]:
        if self.offset >= 0 and not self.replica_.has_gap:
            return []
        if not self._may_pull(now):
            return []
        peers = self._sample_peers(1) or self._all_peers()[:1]
        return self._pull(peers[0], now) if peers else []

    def _may_pull(self, now: datetime) -> bool:
        at = self.next_pull_at_
        # A clock that was set back must not stop the pulls.
        return at is None or not now < at <= now + PULL_TIMEOUT

    def _pull(self, peer: str, now: datetime) -> list[Effect]:
        self.next_pull_at_ = now + PULL_TIMEOUT
        return [Send(peer, ConfigPull(self.offset))]

    def _readers(self) -> dict[str, list[str]]:
        if self.readers_by_domain_ is None:
            ids_by_domain: dict[str, list[str]] = {self.domain: [self.id]}
            for member in self.membership.members_by_id.values():
                if member.state is MemberState.ALIVE and member.id != self.id:
                    ids_by_domain.setdefault(member.domain, []).append(member.id)
            self.readers_by_domain_ = {
                domain: rendezvous_order(f"config readers {domain}", ids)[
                    : self.readers_per_domain
                ]
                for domain, ids in ids_by_domain.items()
            }
        return self.readers_by_domain_

    def _append_snapshot(self, now: datetime) -> list[Effect]:
        due_at = self._snapshot_due_at(now)
        if due_at is None or not self.is_reader:
            return []
        readers = [id for ids in self._readers().values() for id in ids]
        order = rendezvous_order(
            f"snapshot after {self.last_snapshot_offset_}", readers
        )
        # If a reader does not append in time, the next one in the order takes over.
        if now < due_at + SNAPSHOT_TAKEOVER_DELAY * order.index(self.id):
            return []
        self.snapshot_due_at_ = now + SNAPSHOT_TAKEOVER_DELAY * len(order)
        self.append_token_ += 1
        return [Append(STREAM, self.append_token_, [self._encode_snapshot(now)])]

    def _snapshot_due_at(self, now: datetime) -> datetime | None:
        state = self.replica_.state_
        if state.snapshot_record_offset != self.last_snapshot_offset_:
            self.last_snapshot_offset_ = state.snapshot_record_offset
            self.last_snapshot_at_ = now
            self.snapshot_due_at_ = None
        if self.offset < 0:
            return None
        if self.last_snapshot_at_ is None or now < self.last_snapshot_at_:
            self.last_snapshot_at_ = now
        if self.snapshot_due_at_ is None:
            records = self.offset - self.last_snapshot_offset_
            age = now - self.last_snapshot_at_
            if records >= self.snapshot_records or age >= self.snapshot_interval:
                self.snapshot_due_at_ = now
        return self.snapshot_due_at_

    def _encode_snapshot(self, now: datetime) -> bytes:
        snapshot = Snapshot(self.offset, self.replica_.encode_snapshot())
        header = Header(f"snapshot-{self.offset}-{self.id}", self.id, now, self.offset)
        return encode_record(Record(header, snapshot))
