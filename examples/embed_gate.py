"""Embed the admission gate without sockets, event loop or a clock of its own."""

from __future__ import annotations

from datetime import timedelta

from shallotpath.config import Service, ServiceKind, StaticConfiguration
from shallotpath.core import EngineObserved, ManualClock
from shallotpath.limits import Admit, Call, Gate, Suspects
from shallotpath.membership import StaticMembership

WARM_AFTER_ROUNDS = 4


def make_gate(clock: ManualClock) -> Gate:
    """Return the gate of one upstream that has just started."""
    services = {"desk": Service("desk", ServiceKind.PLAIN)}
    gate = Gate(
        node_id="vm-1",
        domain="a",
        service="desk",
        configuration=StaticConfiguration(services_by_id=services),
        membership=StaticMembership(),
        suspects=Suspects(node_id="vm-1", incarnation="1"),
    )
    gate.reduce(observe(cold=True), clock.now())
    return gate


def observe(*, cold: bool) -> EngineObserved:
    """Return what the upstream reports about itself."""
    return EngineObserved(
        incarnation="e1",
        digest="",
        cold=cold,
        running=0,
        held_bytes=0,
        memory_bytes=1024**2,
    )


def main() -> list[int]:
    """Send more calls than the upstream admits and print how many run per round."""
    clock = ManualClock()
    gate = make_gate(clock)
    running: list[Call] = []
    running_by_round = []
    for round_number in range(12):
        if round_number == WARM_AFTER_ROUNDS:
            gate.reduce(observe(cold=False), clock.now())
        for index in range(4):
            call = Call(
                request_id=f"{round_number}-{index}",
                service="desk",
                team="halls",
                deadline=clock.now() + timedelta(seconds=10),
            )
            if isinstance(gate.request(call, clock.now()), Admit):
                running.append(call)
        running_by_round.append(len(running))
        clock.advance(timedelta(milliseconds=20))
        # Each release may admit queued calls.
        ended, running = running, []
        for call in ended:
            running += gate.release(call.request_id, True, clock.now())
    print(running_by_round)
    return running_by_round


if __name__ == "__main__":
    main()
