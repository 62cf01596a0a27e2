"""Decision whether a transfer is abandoned for a newer version."""

from __future__ import annotations

from datetime import timedelta

from ._plan import SwarmPlan

# A transfer is finished first unless the newer version was announced within this share
# of the time that a transfer takes. The older version then serves until the bound of
# the newer one, also if the origin fails meanwhile, and a version completes even if
# newer ones are announced all the time. Members decide by the announcements rather than
# by their progress, since a swarm that transfers two versions at once completes both
# late.
FINISH_FIRST_SHARE = 0.25
# Without the times of the announcements the progress decides.
FINISH_FIRST_PROGRESS = 0.25
# Below this progress nothing is lost by a change.
MIN_PROGRESS_TO_FINISH = 0.1
# Time of a transfer in times of one copy over the link of a VM.
TRANSFER_COPIES = 1.3


def abandons_transfer(
    plan: SwarmPlan, gap: timedelta | None, link_bytes_per_s: float
) -> bool:
    """Check whether to abandon a transfer for a version announced a gap later."""
    if plan.stalled or plan.progress < MIN_PROGRESS_TO_FINISH:
        return True
    if gap is None:
        return plan.progress < FINISH_FIRST_PROGRESS
    copy_time = timedelta(seconds=plan.size_bytes / link_bytes_per_s)
    return gap < FINISH_FIRST_SHARE * TRANSFER_COPIES * copy_time
