"""Registered upstreams and whether they accept new requests."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime, timedelta

from ._notices import UpstreamNotices
from ._upstream_record import UpstreamRecord

# Upstreams whose lease expired during an outage of the store register again within 2 s
# of its recovery.
LEASE_EXPIRY_GRACE = timedelta(seconds=2)
# Three heartbeats of 1.2 s; during a longer gap between reads, leases may expire
# unnoticed.
MAX_READ_GAP = timedelta(milliseconds=3600)


@dataclass(slots=True)
class Upstream:
    """Hold the state of one upstream as this process knows it."""

    record: UpstreamRecord
    received_at: datetime
    first_received_at: datetime
    cold_until: datetime
    remove_at: datetime | None = None

    @property
    def id(self) -> str:
        """Return the upstream's id."""
        return self.record.id

    def is_cold(self, now: datetime) -> bool:
        """Check whether the upstream is cold and can take only part of its load."""
        return now < self.cold_until


class UpstreamTable:
    """Hold the upstreams that are registered, built from their records."""

    __slots__ = (
        "last_read_at_",
        "notices",
        "revision",
        "store_recovered_at_",
        "upstreams_by_id_",
    )

    def __init__(self) -> None:
        self.upstreams_by_id_: dict[str, Upstream] = {}
        self.notices = UpstreamNotices()
        # Changes with the set of upstreams, their services and their domains.
        self.revision = 0
        self.last_read_at_: datetime | None = None
        self.store_recovered_at_: datetime | None = None

    def record_read(self, read_at: datetime) -> None:
        """Record a successful read of the store, before its records are applied."""
        if self.last_read_at_ and read_at - self.last_read_at_ > MAX_READ_GAP:
            self.store_recovered_at_ = read_at
        self.last_read_at_ = read_at

    def apply(self, record: UpstreamRecord, now: datetime) -> bool:
        """Apply a record and return whether anything but its time changed."""
        known = self.upstreams_by_id_.get(record.id)
        cold_until = now + record.cold_remaining
        if known is None or known.record.started_ms != record.started_ms:
            self.upstreams_by_id_[record.id] = Upstream(record, now, now, cold_until)
            self.revision += 1
            return True
        if (known.record.service, known.record.domain) != (
            record.service,
            record.domain,
        ):
            self.revision += 1
        changed = known.record != record or known.remove_at is not None
        known.record = record
        known.received_at = now
        known.cold_until = cold_until
        known.remove_at = None
        return changed

    def remove(self, upstream_id: str, now: datetime) -> bool:
        """Apply the removal of a record and return whether it was known.

        After a gap in the reads the removal may only mean that the lease expired while
        the store was unavailable, so the upstream is kept for the time in which a live
        one registers again.
        """
        known = self.upstreams_by_id_.get(upstream_id)
        if known is None or known.remove_at is not None:
            return False
        recovered_at = self.store_recovered_at_
        may_have_expired = (
            recovered_at is not None and now - recovered_at < LEASE_EXPIRY_GRACE
        )
        if may_have_expired and not known.record.draining:
            known.remove_at = recovered_at + LEASE_EXPIRY_GRACE
        else:
            self.drop(upstream_id)
        return True

    def drop(self, upstream_id: str) -> None:
        """Remove an upstream, such as one whose address now belongs to another."""
        if self.upstreams_by_id_.pop(upstream_id, None) is not None:
            self.revision += 1

    def of_service(self, service: str) -> list[Upstream]:
        """Return all upstreams of a service, usable or not."""
        return [
            u for u in self.upstreams_by_id_.values() if u.record.service == service
        ]

    def is_usable(self, upstream: Upstream, now: datetime) -> bool:
        """Check whether an upstream is registered and wants requests."""
        if upstream.remove_at is not None and now >= upstream.remove_at:
            self.drop(upstream.id)
            return False
        if upstream.record.draining:
            return False
        # Most upstreams have said nothing, and decisions ask for many of them.
        has_said = upstream.record.id in self.notices.notices_by_id_
        return not (has_said and self.notices.is_closed(upstream.record, now))

    def is_current(self, upstream: Upstream, now: datetime) -> bool:
        """Check whether an upstream that was chosen earlier may still be used."""
        known = self.upstreams_by_id_.get(upstream.id)
        return known is upstream and self.is_usable(upstream, now)

    def service_id(self, upstream_id: str) -> str | None:
        """Return the id of the service of an upstream, `None` if it is not known."""
        known = self.upstreams_by_id_.get(upstream_id)
        return None if known is None else known.record.service

    def usable(self, service: str, now: datetime) -> Iterable[Upstream]:
        """Return the upstreams of a service that want requests."""
        return [u for u in self.of_service(service) if self.is_usable(u, now)]

    def opens_at(self, service: str) -> datetime | None:
        """Return when the first upstream that wants no requests for a time opens."""
        times = [
            self.notices.opens_at(upstream.record)
            for upstream in self.of_service(service)
            if not upstream.record.draining
        ]
        return min((time for time in times if time is not None), default=None)
