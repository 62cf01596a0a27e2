"""Test processes under callers that do not stay inside the limits.

What is checked does not depend on the speed of the machine: the process lives, its
memory and descriptors stay under a bound, and an ordinary request is answered while
the connections of the crowd are still open.
"""

import pytest

from .crowds import (
    FILE_DESCRIPTORS,
    MAX_DESCRIPTORS,
    MEMORY_MB,
    MIXED,
    Crowd,
    edge,
    entry,
    large_answer,
    long_fields,
    pieces,
    pipelining,
    short_fields,
    silence,
    single_bytes,
    whole_body,
)

ALL_KEYS = ("none", "wrong", "valid")
BODIES = (whole_body, pieces, single_bytes)
# Kinds of callers, number of connections and keys.
CROWDS = [
    ([whole_body], 60, ["valid"]),
    ([pieces], 60, ["valid"]),
    ([single_bytes], 40, ["valid"]),
    (BODIES, 60, ["none", "wrong"]),
    ([long_fields], 60, ALL_KEYS),
    ([short_fields], 200, ALL_KEYS),
    ([silence], 700, ALL_KEYS),
    ([pipelining], 60, ["valid"]),
    ([large_answer], 100, ["valid"]),
    ([*MIXED, silence, large_answer], 240, ALL_KEYS),
]
# Listeners that serve no callers share the process's memory and descriptors.
OTHER_CROWDS = [
    ([silence], 700, ALL_KEYS),
    ([*MIXED, silence], 240, ALL_KEYS),
]


def cases(listener, crowds):
    """Return the parameters of the crowds that a listener meets."""
    for crowd in crowds:
        names = [kind.__name__ for kind in crowd[0]]
        name = names[0] if len(names) == 1 else f"{len(names)}_kinds"
        yield pytest.param(listener, *crowd, id=f"{listener}-{name}")


async def check(listeners, listener, kinds, count, keys):
    """Send a crowd to one listener and check the process and its callers."""
    target = listeners[listener]
    async with Crowd(target, kinds, count, keys) as crowd:
        process = target.process
        assert process.alive
        figures = {"peak MB": process.peak_mb, "descriptors": crowd.most_descriptors}
        figures["answer"] = await target.answer()
        if figures["answer"] == 200:
            figures["callers"] = await listeners["callers"].answer()
        if process.alive:
            figures["peak MB"] = process.peak_mb
        print(figures)
    assert process.alive
    assert figures["answer"] == 200, figures
    assert figures["callers"] == 200, figures
    assert figures["peak MB"] < MEMORY_MB, figures
    assert figures["descriptors"] <= MAX_DESCRIPTORS - FILE_DESCRIPTORS, figures


@pytest.mark.parametrize(
    ("listener", "kinds", "count", "keys"),
    [
        *cases("callers", CROWDS),
        *(
            c
            for name in ("readiness", "peers", "metrics")
            for c in cases(name, OTHER_CROWDS)
        ),
    ],
)
async def test_edge_outlives_callers_beyond_the_limits(
    listener, kinds, count, keys, tmp_path
):
    # Guards against callers that end the process for want of memory, or leave no
    # descriptors or parsing time for ordinary callers.
    async with edge(tmp_path) as listeners:
        await check(listeners, listener, kinds, count, keys)


@pytest.mark.parametrize(
    ("listener", "kinds", "count", "keys"),
    [
        *cases("callers", CROWDS),
        *(c for name in ("control", "agent") for c in cases(name, OTHER_CROWDS)),
    ],
)
async def test_entry_and_agent_outlive_callers_beyond_the_limits(
    listener, kinds, count, keys, tmp_path
):
    # Guards against the same failures of the programs outside the platform.
    async with entry(tmp_path) as listeners:
        await check(listeners, listener, kinds, count, keys)
