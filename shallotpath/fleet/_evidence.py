"""Messages about parts of prompts that may crash upstreams."""

from __future__ import annotations

from datetime import timedelta

from ..gateway import PartEvidence
from ..replication import PartItem


def encode_evidence(evidence: PartEvidence) -> PartItem:
    """Return the message for evidence about a part of a prompt."""
    return PartItem(
        evidence.part,
        list(evidence.crash_ids),
        list(evidence.cleared_ids),
        list(evidence.companions),
        evidence.answered,
        evidence.age.total_seconds(),
    )


def decode_evidence(item: PartItem) -> PartEvidence:
    """Return the evidence that a message carries."""
    return PartEvidence(
        item.part,
        tuple(item.crash_ids),
        tuple(item.cleared_ids),
        tuple(item.companions),
        item.answered,
        timedelta(seconds=item.age_s),
    )
