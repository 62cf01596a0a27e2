"""Helpers for tests of announced weight versions."""

import dataclasses
from datetime import timedelta

from shallotpath.gateway import Rejection, RejectReason
from shallotpath.gateway.tests.helpers import make_call
from shallotpath.platform import OPERATOR_TOPIC, UPSTREAM_TOPIC

from .processes import make_config, make_server, make_settings, until
from .standins import Log

BOUND = timedelta(seconds=2)


def make_log():
    """Return a log with an upstream that holds version 1 and no announcement."""
    log = Log()
    log.put(OPERATOR_TOPIC, "config", make_config(1))
    models = [{"name": "m", "version": 1}]
    log.put(UPSTREAM_TOPIC, "u1", make_server(models=models))
    return log


def announce_version(log, version):
    log.put(OPERATOR_TOPIC, "version/m", {"model": "m", "version": version})


def make_bound_settings(*args, bound=BOUND):
    return dataclasses.replace(make_settings(*args), version_bound=bound)


def knows_version(process, version):
    target = process.operator.target("m")
    return target is not None and target.version == version


async def until_informed(edge, version):
    await until(
        lambda: edge.upstreams.upstreams_by_id_ and knows_version(edge, version)
    )


def refuses_old_weights(edge):
    now = edge.clock.now()
    placed = edge.dispatcher.choose(make_call(now=now), (), now)
    return isinstance(placed, Rejection) and placed.reason is RejectReason.NO_WEIGHTS
