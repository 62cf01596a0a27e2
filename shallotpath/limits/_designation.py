"""Choice of the two upstreams a request prefers and of the one for a suspect."""

from __future__ import annotations

from collections.abc import Collection, Mapping

from ..core import rendezvous_choice, rendezvous_score
from ._model import Call

# Keys share slots, so that an entry ranks the agents once for each slot and not for
# each call. More slots spread calls more evenly but take longer to rank.
SLOT_COUNT = 1024


def affinity_slot(key: str) -> str:
    """Return the slot of a prefix or a fingerprint."""
    return str(rendezvous_score(key, "slot") % SLOT_COUNT)


def affinity_slots(call: Call) -> tuple[str, str]:
    """Return the slots that determine the first and the second upstream."""
    return (
        affinity_slot(call.prefix or call.fingerprint),
        affinity_slot(call.fingerprint or call.prefix),
    )


def designated_agent(
    call: Call, domains_by_agent: Mapping[str, str], crash_sites: Collection[str]
) -> str | None:
    """Return the agent that runs a suspect request.

    It is the agent of the request's preferred pair that has not crashed with it, in the
    failure domain of the first crash, as a resend may already run there. So a request
    that is resent before all entries know of the crash reaches no third upstream. If
    both of the pair crashed, another agent is chosen, and a service without another
    agent runs the request where it crashed.
    """
    first_domain = next(
        (domains_by_agent[id_] for id_ in crash_sites if id_ in domains_by_agent), None
    )
    same_domain = [
        id_ for id_, domain in domains_by_agent.items() if domain == first_domain
    ]
    for agents in (same_domain, list(domains_by_agent)):
        choice = _first_without_crash(call, agents, crash_sites)
        if choice is not None:
            return choice
    return rendezvous_choice(call.fingerprint, domains_by_agent)


def _first_without_crash(
    call: Call, agents: Collection[str], crash_sites: Collection[str]
) -> str | None:
    if not agents:
        return None
    by_prefix, by_call = affinity_slots(call)
    first = rendezvous_choice(by_prefix, agents)
    second = rendezvous_choice(by_call, [id_ for id_ in agents if id_ != first])
    others = [id_ for id_ in agents if id_ not in crash_sites]
    for id_ in (first, second, rendezvous_choice(by_call, others)):
        if id_ is not None and id_ not in crash_sites:
            return id_
    return None
