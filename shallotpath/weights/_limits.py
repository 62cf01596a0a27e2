"""Limits and timeouts of chunk transfers."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

MIB = 1024 * 1024


@dataclass(slots=True, frozen=True)
class TransferLimits:
    """Hold the transfer limits of one agent.

    Sizes and bursts are in bytes, rates in bytes per second; a rate of 0 means no
    limit. `link_rate` limits each direction of the VM's link. `region_rate` is the
    rate of the link between two regions; weights may use the share of it that the
    preset sets. `control_rate` limits chunk maps to about a quarter of the control
    budget of 14 KB/s per node; update states have a limit of their own.
    `receivers` and `standbys` are numbers of agents per region. `chunk_timeout`
    must exceed the time that the receive and upload slots of two agents need at
    the link's rate; otherwise chunks that are only queued are requested twice.
    """

    chunk_buffer: int = 16 * MIB
    receive_slots: int = 4
    upload_slots: int = 4
    slots_per_peer: int = 1
    link_rate: float = 0.0
    region_rate: float = 0.0
    control_rate: float = 3_600.0
    control_burst: float = 16_000.0
    receivers: int = 4
    standbys: int = 2
    ring_neighbours: int = 8
    chunk_timeout: timedelta = timedelta(seconds=10)
    busy_backoff: timedelta = timedelta(milliseconds=150)
    failure_backoff: timedelta = timedelta(seconds=1)
    max_backoff: timedelta = timedelta(seconds=30)
    refresh_interval: timedelta = timedelta(seconds=2)
    silence_timeout: timedelta = timedelta(seconds=5)
    stall_timeout: timedelta = timedelta(seconds=30)
    max_corrupt_chunks: int = 3
    ban_duration: timedelta = timedelta(seconds=60)

    def slots(self, chunk_bytes: int) -> tuple[int, int]:
        """Return the numbers of receive and upload slots that the buffer can hold."""
        # One slot is reserved for an upload to another region.
        total = max(3, self.chunk_buffer // max(1, chunk_bytes)) - 1
        uploads = max(1, min(self.upload_slots, total // 2))
        return max(1, min(self.receive_slots, total - uploads)), uploads
