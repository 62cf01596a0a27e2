"""Replay of decisions that were recorded before priorities decided anything.

The file beside this one was written on revision 86bddd3 by running this module:
`python -m shallotpath.gateway.tests.test_decision_replay > FILE`.
"""

from pathlib import Path
from random import Random

from shallotpath.core import EPOCH
from shallotpath.gateway import EngineReport, EntryLoad, Placement

from .helpers import make_call, make_dispatcher, make_record, make_route, ms

RECORDED = Path(__file__).with_name("recorded_decisions.txt")
DECISIONS = 1600
# Prompt tokens and target latency in ms of each kind of request.
KINDS = ((1330, 506), (827, 406), (647, 405), (607, 805))


def decisions():
    """Yield decisions for random calls and loads of two services."""
    random = Random(46)
    records = [
        make_record(n, f"{'abc'[n % 3]}-1", version=1 + (n % 4 > 0)) for n in range(9)
    ]
    plain = [make_record(n, service="desk", slots=2) for n in (20, 21)]
    dispatcher = make_dispatcher([*records, *plain], seed=46)
    now, running = EPOCH, []
    for number in range(DECISIONS):
        # The rate varies, so that there are calm and overloaded spells.
        now += ms(random.expovariate(1 / (4 if number // 200 % 2 else 16)))
        if random.random() < 0.05:
            report(dispatcher, random, records, now)
        # Most requests go to the engines.
        service = "desk" if random.random() < 0.2 else "llm"
        prompt, target = random.choice(KINDS)
        call = make_call(
            number,
            now,
            service=service,
            model="m" if service == "llm" else "",
            route=make_route(target_latency=ms(target)),
            caller_timeout=ms(random.choice((6078, 6078, 6078, 4500, 2500))),
            prompt_tokens=prompt,
        )
        excluded = ["u1", "u2"] if random.random() < 0.05 else []
        decision = dispatcher.choose(call, excluded, now)
        yield describe(decision, now)
        if isinstance(decision, Placement):
            key, upstream_id = call.request_id, decision.upstream.id
            yielding = decision.yielding
            dispatcher.loads.sent(key, upstream_id, prompt, now, yielding=yielding)
            running.append((now + ms(random.uniform(300, 1500)), key))
            if random.random() < 0.02:
                dispatcher.breaker.record_failure(upstream_id, now)
        for ends_at, key in [run for run in running if run[0] <= now]:
            dispatcher.loads.ended(key)
            running.remove((ends_at, key))
        for _, key in random.sample(running, len(running) // 20):
            dispatcher.loads.first_token(key)


def report(dispatcher, random, records, now):
    """Pass on what a peer and an engine report."""
    record = random.choice(records)
    requests = random.randrange(12)
    share = EntryLoad(requests, random.randrange(3000))
    dispatcher.loads.update_peer_loads("e1", {record.id: share}, now)
    version = record.versions_by_model["m"]
    pace = random.choice((1.0, 1.0, 1.6))
    dispatcher.loads.update_engine_report(
        EngineReport(record.address, "m", version, True, 0, requests, pace), now
    )


def describe(decision, now):
    """Return a decision as one word."""
    if isinstance(decision, Placement):
        wait = decision.prediction.first_token / ms(1)
        return f"{decision.upstream.id}/{decision.priority}/{wait:.1f}"
    return f"{decision.reason}/{decision.retry_after / ms(1):.1f}"


def test_equal_priorities_leave_each_decision_as_recorded():
    # Guards against a change of placement, of rejections or of random choices in
    # deployments whose routes have equal priorities.
    assert list(decisions()) == RECORDED.read_text().split()


if __name__ == "__main__":
    print("\n".join(decisions()))
