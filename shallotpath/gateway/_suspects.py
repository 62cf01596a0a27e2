"""Detection of requests that crash the upstreams that run them."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field
from datetime import datetime, timedelta

from ._part_suspects import PartSuspects

# Crashes at different upstreams after which a request is refused. One crash also breaks
# unrelated requests; an unrelated one is unlikely to be part of two crashes.
REFUSAL_CRASHES = 2
# A lost connection counts as a crash if the upstream is found gone within this time.
CRASH_CONFIRMATION_TIME = timedelta(seconds=3)
SUSPECT_LIFETIME = timedelta(minutes=2)
# Bounds memory; the oldest are dropped.
MAX_FINGERPRINTS = 2000


@dataclass(slots=True)
class _Suspect:
    changed_at: datetime
    upstream_ids: set[str] = field(default_factory=set)


@dataclass(slots=True, frozen=True)
class LostRequest:
    """Describe a request that lost its connection to an upstream."""

    fingerprint: str
    upstream_id: str
    # Identifies this start of the upstream, which may keep its id over a crash.
    crash_id: str
    lost_at: datetime
    # Parts of the prompt; empty if the upstream had begun to answer.
    unanswered_parts: tuple[str, ...] = ()


class CrashSuspects:
    """Track crashes by request fingerprint and by part of a prompt, also of peers."""

    __slots__ = ("losses_by_upstream_id_", "parts", "suspects_by_fingerprint_")

    def __init__(self, parts: PartSuspects | None = None) -> None:
        self.parts = parts or PartSuspects()
        self.suspects_by_fingerprint_: dict[str, _Suspect] = {}
        self.losses_by_upstream_id_: dict[str, list[LostRequest]] = {}

    def record_lost_connection(self, lost: LostRequest) -> None:
        """Record that a request lost its connection to an upstream."""
        losses = self.losses_by_upstream_id_.setdefault(lost.upstream_id, [])
        losses[:] = [
            loss
            for loss in losses
            if lost.lost_at - loss.lost_at <= CRASH_CONFIRMATION_TIME
        ]
        losses.append(lost)

    def clear_losses(self, upstream_id: str, until: datetime) -> None:
        """Forget losses up to a time at which the upstream was found alive."""
        losses = self.losses_by_upstream_id_.get(upstream_id, [])
        losses[:] = [loss for loss in losses if loss.lost_at > until]
        if not losses:
            self.losses_by_upstream_id_.pop(upstream_id, None)

    def record_crash(self, upstream_id: str, now: datetime) -> int:
        """Suspect the requests lost in an upstream's crash; return their number."""
        losses = [
            loss
            for loss in self.losses_by_upstream_id_.pop(upstream_id, ())
            if now - loss.lost_at <= CRASH_CONFIRMATION_TIME
        ]
        prompts_by_crash: dict[str, list[tuple[str, ...]]] = {}
        for loss in losses:
            self.merge(loss.fingerprint, [loss.crash_id], now)
            prompts = prompts_by_crash.setdefault(loss.crash_id, [])
            prompts.append(loss.unanswered_parts)
        for crash_id, prompts in prompts_by_crash.items():
            self.parts.record_crash(crash_id, prompts, now)
        return len(losses)

    def merge(
        self, fingerprint: str, upstream_ids: Collection[str], now: datetime
    ) -> None:
        """Record crashes that this process or a peer saw."""
        suspect = self.suspects_by_fingerprint_.pop(fingerprint, None)
        if suspect is None:
            suspect = _Suspect(now)
        if not suspect.upstream_ids.issuperset(upstream_ids):
            suspect.changed_at = now
            suspect.upstream_ids.update(upstream_ids)
        self.suspects_by_fingerprint_[fingerprint] = suspect
        if len(self.suspects_by_fingerprint_) > MAX_FINGERPRINTS:
            oldest = next(iter(self.suspects_by_fingerprint_))
            del self.suspects_by_fingerprint_[oldest]

    def completed(self, fingerprint: str) -> None:
        """Clear a request that completed."""
        self.suspects_by_fingerprint_.pop(fingerprint, None)

    def is_refused(self, fingerprint: str, now: datetime) -> bool:
        """Check whether a request is refused because of the crashes it caused."""
        suspect = self.suspects_by_fingerprint_.get(fingerprint)
        if suspect is None or now - suspect.changed_at > SUSPECT_LIFETIME:
            return False
        return len(suspect.upstream_ids) >= REFUSAL_CRASHES

    def recent(self, now: datetime, limit: int) -> dict[str, list[str]]:
        """Return the newest suspects, to be sent to peers."""
        newest = sorted(
            self.suspects_by_fingerprint_.items(),
            key=lambda item: item[1].changed_at,
            reverse=True,
        )
        return {
            fingerprint: sorted(suspect.upstream_ids)
            for fingerprint, suspect in newest[:limit]
            if now - suspect.changed_at <= SUSPECT_LIFETIME
        }
