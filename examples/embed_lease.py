"""Hold a duty through a log of one's own, without sockets, event loop or clock."""

from __future__ import annotations

from datetime import timedelta

from shallotpath.core import ManualClock
from shallotpath.duties import Lease, LeaseRecord, LeaseRules

RULES = LeaseRules.within(timedelta(seconds=3), timedelta(milliseconds=300))


class MemoryLog:
    """Keep records; append only at the current end."""

    def __init__(self) -> None:
        self.records: list[LeaseRecord] = []

    def read(self, lease: Lease, clock: ManualClock) -> None:
        """Pass the last record to a lease."""
        end = len(self.records)
        last = self.records[-1] if end else None
        lease.observe(last, end - 1 if end else None, end, clock.now())

    def append(self, lease: Lease, clock: ManualClock) -> bool:
        """Append a record of a lease and return whether its holder may act."""
        if not lease.may_propose(clock.now()):
            return False
        started_at = clock.now()
        proposal = lease.propose()
        if proposal.at != len(self.records):
            return False
        self.records.append(proposal.record)
        lease.accepted(proposal, started_at, clock.now())
        return lease.holds(clock.now())


def main() -> list[tuple[str, bool, int]]:
    """Hand a duty over and return which process may act, and with which token."""
    clock, log = ManualClock(), MemoryLog()
    first, second = (Lease(f"vm-{n}", 1, RULES) for n in (1, 2))
    seen = []
    for lease in (first, second):
        log.read(lease, clock)
        seen.append((lease.node, log.append(lease, clock), lease.token))
    log.read(second, clock)
    clock.advance(RULES.takeover_time)
    seen.append((first.node, first.holds(clock.now()), first.token))
    seen.append((second.node, log.append(second, clock), second.token))
    return seen


if __name__ == "__main__":
    for line in main():
        print(*line)
