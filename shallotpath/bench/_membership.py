"""Cost and false positives of membership, over an in-memory link."""

from __future__ import annotations

import tracemalloc
from time import process_time

from ..core import DrainRequested
from ..membership import MemberState
from ._memory_link import Link, alive_ids, make_cluster

DOMAINS = ("d0", "d1", "d2", "d3", "d4")
SETTLE_S = 10.0


def run_membership(
    members: int, *, seconds: float = 30.0, loss: float = 0.0, leaving: int = 0
) -> dict:
    """Measure reducer time, encoded bytes and wrong suspicions per member."""
    link = Link(seed=1, loss=loss, measure_bytes=True)
    memberships = make_cluster(link, members, DOMAINS, joined=True)
    link.seconds(SETTLE_S)
    link.sent_bytes.clear()
    link.sent_messages.clear()
    link.effects_by_kind.clear()
    started = process_time()
    leavers = list(memberships)[members // 2 : members // 2 + leaving]
    for address in leavers:
        link.dispatch(address, DrainRequested())
        link.seconds(seconds / leaving)
    if not leaving:
        link.seconds(seconds)
    cpu_seconds = process_time() - started
    node_seconds = members * seconds
    sent = sorted(link.sent_bytes.values())
    leaver_views = [
        m.members_by_id[memberships[a].me.id]
        for m in memberships.values()
        for a in leavers
    ]
    return {
        "members": members,
        "loss": loss,
        "leaving": leaving,
        "core_share": cpu_seconds / node_seconds,
        "messages_per_second": sum(link.sent_messages.values()) / node_seconds,
        "bytes_per_second": sum(sent) / node_seconds,
        "bytes_per_second_max": sent[-1] / seconds,
        "suspicions_per_node_hour": link.effects_by_kind["member_suspicions"]
        / node_seconds
        * 3600,
        "wrong_deaths": link.effects_by_kind["member_deaths"],
        "unaware": sum(m.state is not MemberState.LEAVING for m in leaver_views),
        "alive_min": min(len(alive_ids(m)) for m in memberships.values()),
    }


def measure_memory(members: int) -> int:
    """Return the bytes that one process holds about all members."""
    link = Link()
    tracemalloc.start()
    memberships = make_cluster(link, members, DOMAINS)
    before = tracemalloc.get_traced_memory()[0]
    first = next(iter(memberships.values()))
    for other in memberships.values():
        update = other.me
        # Copies, because members that arrive in messages share no strings.
        copied = type(update)(
            *(
                str(bytes(v, "utf8"), "utf8") if type(v) is str else v
                for v in (getattr(update, name) for name in update.__slots__)
            )
        )
        first.roster_.put(copied)
    first.neighbours()
    first.roster_.relays()
    size = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return size
