"""Test requests whose agent is silent or whose engine has crashed."""

import asyncio
from random import Random

from shallotpath.config import StaticConfiguration
from shallotpath.routing import RetryPolicy
from shallotpath.runtime import EntryTimeouts

from .parts import PausedLink, Upstream, expected_stream, member_at, system, until


async def test_stream_of_a_crashed_engine_is_resumed_under_the_retry_policy():
    # Guards against a stream that ends with an error though another agent could go on,
    # as its first part counts as a run that must not be repeated.
    upstreams = [Upstream(name, "fold-model", token_interval_s=0.02) for name in "ab"]
    async with system(upstreams) as entry:
        policy = RetryPolicy(StaticConfiguration(), Random(1))
        entry.retries.started, entry.retries.next = policy.started, policy.next
        answer = asyncio.create_task(entry.generate(max_tokens=40))
        await until(lambda: upstreams[0].engine.counters_["tokens"] >= 10)
        upstreams[0].engine.crash()
        assert await answer == expected_stream("crane", 40)


async def test_a_silent_agent_is_kept_if_no_other_one_can_take_its_request():
    # Guards against a stream that ends with an error because the only agent was silent
    # for a second.
    upstream = Upstream("a", "fold-model", token_interval_s=0.02)
    async with (
        system([upstream], timeouts=EntryTimeouts()) as entry,
        PausedLink(upstream.shell.peer.address_) as link,
    ):
        entry.router.members[0] = member_at(upstream.member, link.address)
        answer = asyncio.create_task(entry.generate(max_tokens=60))
        await until(lambda: upstream.engine.counters_["tokens"] >= 10)
        link.flowing.clear()
        await asyncio.sleep(1.0)
        link.flowing.set()
        assert await answer == expected_stream("crane", 60)
        assert upstream.engine.counters_["runs"] == 1
