"""Direct and indirect probes (SWIM) of the neighbours of a member."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime, timedelta

from ..core import Ping, PingRequest, Pong, Send

# Three times the longest round trip between regions plus one tick.
DIRECT_PROBE_TIMEOUT = timedelta(milliseconds=500)
INDIRECT_PROBE_TIMEOUT = timedelta(milliseconds=800)
INDIRECT_PROBES = 3


@dataclass(slots=True)
class Probe:
    """Describe a probe that has not been answered."""

    member_id: str
    incarnation: str
    address: str
    deadline: datetime
    indirect: bool = False


@dataclass(slots=True, frozen=True)
class ForwardedPing:
    """Describe an indirect probe, to return its answer to the requester."""

    requester: str
    nonce: int
    deadline: datetime


class Prober:
    """Keep the open probes of this member and those it sends for others."""

    __slots__ = (
        "forwarded_by_nonce_",
        "misses_by_address_",
        "nonce_",
        "probes_by_nonce_",
    )

    def __init__(self, first_nonce: int) -> None:
        self.nonce_ = first_nonce
        self.probes_by_nonce_: dict[int, Probe] = {}
        self.forwarded_by_nonce_: dict[int, ForwardedPing] = {}
        self.misses_by_address_: dict[str, int] = {}

    @property
    def has_open_probes(self) -> bool:
        """Check whether any probe is open."""
        return bool(self.probes_by_nonce_ or self.forwarded_by_nonce_)

    def probe(
        self, member_id: str, incarnation: str, address: str, now: datetime
    ) -> Send:
        """Open a probe."""
        self.nonce_ += 1
        self.probes_by_nonce_[self.nonce_] = Probe(
            member_id, incarnation, address, now + DIRECT_PROBE_TIMEOUT
        )
        return Send(address, Ping(self.nonce_))

    def forward(self, request: PingRequest, requester: str, now: datetime) -> Send:
        """Send a probe on behalf of another member."""
        self.nonce_ += 1
        self.forwarded_by_nonce_[self.nonce_] = ForwardedPing(
            requester, request.nonce, now + INDIRECT_PROBE_TIMEOUT
        )
        return Send(request.address, Ping(self.nonce_))

    def handle_pong(self, pong: Pong) -> tuple[Probe | None, list[Send]]:
        """Close the probe of an answer, or return the answer to its requester."""
        forwarded = self.forwarded_by_nonce_.pop(pong.nonce, None)
        if forwarded is not None:
            answer = Pong(forwarded.nonce, pong.load, pong.id, pong.incarnation)
            return None, [Send(forwarded.requester, answer)]
        probe = self.probes_by_nonce_.pop(pong.nonce, None)
        if probe is not None and not probe.indirect:
            self.misses_by_address_.pop(probe.address, None)
        return probe, []

    def expire(
        self, intermediaries: list[str], now: datetime
    ) -> tuple[list[Probe], list[Send]]:
        """Return the failed probes and the messages that start indirect ones."""
        failed: list[Probe] = []
        sends: list[Send] = []
        for nonce, probe in list(self.probes_by_nonce_.items()):
            if now < probe.deadline:
                continue
            if probe.indirect or not intermediaries:
                failed.append(self.probes_by_nonce_.pop(nonce))
                continue
            probe.indirect = True
            probe.deadline = now + INDIRECT_PROBE_TIMEOUT
            misses = self.misses_by_address_.get(probe.address, 0)
            self.misses_by_address_[probe.address] = misses + 1
            # A second direct probe covers the loss of a single message.
            sends.append(Send(probe.address, Ping(nonce)))
            request = PingRequest(probe.address, nonce)
            sends += [
                Send(intermediary, request)
                for intermediary in intermediaries
                if intermediary != probe.address
            ]
        for nonce, forwarded in list(self.forwarded_by_nonce_.items()):
            if now >= forwarded.deadline:
                del self.forwarded_by_nonce_[nonce]
        return failed, sends

    def reset(self) -> None:
        """Forget all open probes, for example after this process was paused."""
        self.probes_by_nonce_.clear()
        self.forwarded_by_nonce_.clear()
