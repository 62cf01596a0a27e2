"""Tests of the findings and differences of `shallotctl config check`."""

import base64
import json

import msgspec
import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer
from hypothesis import given
from hypothesis import strategies as st

from shallotpath.cli import ctl
from shallotpath.platform import RecordError, decode_configuration
from shallotpath.validation import Deployment, check_configuration

ROUTE = {
    "name": "r1",
    "host": "a.example",
    "pathPrefix": "/x/",
    "kind": "streaming",
    "timeoutMs": 6000,
    "targetLatencyMs": 400,
    "priority": 0,
    "service": "s1",
    "maxAttempts": 2,
}
SERVICE = {"name": "s1", "healthPath": "/h", "maxConns": 10}
ENGINE = {
    "slots": 4,
    "step_ms": 7,
    "read_per_s": 30000,
    "chunk": 2048,
    "kvTokens": 90000,
    "models": [{"name": "m1"}],
}
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 65536,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}
TEAM = {"name": "t1", "apiKeys": ["k1"]}
DEPLOYMENT = Deployment({"d1": "north"}, 1_000_000, 0.0, 0.0)


def configuration(**changes):
    fields = {
        "version": 1,
        "routes": [ROUTE | {"maxAttempts": 1}],
        "services": [SERVICE],
        "limits": LIMITS,
        "tenants": [TEAM],
    }
    return json.dumps(fields | changes).encode()


def codes(value, deployment=DEPLOYMENT):
    file = decode_configuration(value)
    found = check_configuration(file.catalog, file.teams, file.service_ids, deployment)
    return {finding.code for finding in found}


def routes(*changes):
    return {"routes": [ROUTE | {"maxAttempts": 1} | change for change in changes]}


def test_sound_configuration_has_no_findings():
    assert codes(configuration()) == set()


@pytest.mark.parametrize(
    ("changes", "code"),
    [
        (routes({}, {"host": "b.example"}), "route-twice"),
        (routes({"pathPrefix": "x/"}), "prefix-form"),
        (routes({"host": "a.example:80"}), "never-matches"),
        (routes({}, {"name": "r2", "host": "A.example"}), "hidden-route"),
        (routes({"service": "s2"}), "unknown-service"),
        (routes({"split": [{"service": "s1", "weight": -1}]}), "negative-weight"),
        (routes({"split": [{"service": "s1", "weight": 0}]}), "no-weight"),
        (routes({"timeoutMs": 0}), "no-timeout"),
        (routes({"targetLatencyMs": 6001}), "target-above-timeout"),
        (routes({"targetLatencyMs": 0}), "no-target"),
        (routes({"gapTargetMs": 6001}), "gap-above-timeout"),
        (routes({"kind": "idempotent", "canResume": True}), "resume-without-stream"),
        (routes({"maxAttempts": -1}), "no-attempt"),
        (routes({"maxAttempts": 2}), "attempts-without-budget"),
        (routes({"priority": 10}), "priority-range"),
        (
            {"tenants": [TEAM, {"name": "t2", "apiKeys": ["k2"], "priority": 0}]},
            "team-priority-unused",
        ),
        ({"services": [SERVICE, SERVICE]}, "service-twice"),
        ({"services": [SERVICE, SERVICE | {"name": "s2"}]}, "unreached-service"),
        ({"services": [SERVICE | {"maxConns": -1}]}, "connections"),
        ({"services": [SERVICE | {"coldS": -1}]}, "cold-range"),
        ({"services": [SERVICE | {"coldS": 3}]}, "cold-without-rate"),
        ({"services": [SERVICE | {"coldPerS": 3}]}, "rate-without-cold"),
        ({"services": [SERVICE | {"engine": ENGINE | {"slots": 0}}]}, "no-slots"),
        (
            {"services": [SERVICE | {"engine": ENGINE | {"kvTokens": 9}}]},
            "engine-memory",
        ),
        ({"services": [SERVICE | {"engine": ENGINE | {"models": []}}]}, "no-model"),
        ({"services": [{"name": "s1", "origin": "1.2.3.4:5"}]}, "origin-as-service"),
        ({"tenants": []}, "no-teams"),
        ({"tenants": [TEAM, TEAM]}, "team-twice"),
        ({"tenants": [TEAM | {"apiKeys": []}]}, "no-keys"),
        ({"tenants": [TEAM, TEAM | {"name": "t2"}]}, "shared-key"),
        ({"tenants": [TEAM | {"apiKeys": ["k1", "k1"]}]}, "key-twice"),
        (routes({"allowedRegions": ["south"]}), "unknown-region"),
        (
            routes({"allowedRegions": ["north"]})
            | {"tenants": [TEAM | {"allowedRegions": ["south"]}]},
            "regions-exclude",
        ),
        ({"limits": LIMITS | {"idleTimeoutMs": 2000}}, "idle-below-header"),
        ({"limits": LIMITS | {"maxHeaderBytes": 0}}, "limit-range"),
        ({"limits": LIMITS | {"maxBodyBytes": 1_000_001}}, "body-above-memory"),
    ],
)
def test_fault_is_found(changes, code):
    # Guards against a rule that never fires: each case has just the fault it names.
    assert code in codes(configuration(**changes))


def test_configuration_without_teams_is_open():
    fields = json.loads(configuration())
    del fields["tenants"]
    assert codes(json.dumps(fields).encode()) == {"open-routes"}


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["a.x", "A.X", "b.x", "b.x:80"]),
            st.sampled_from(["/", "/a/", "/a/b/", "a/"]),
        ),
        max_size=6,
    )
)
def test_only_routes_that_never_match_are_reported(pairs):
    # Guards against a check that says something else than the matcher of the entries.
    changes = [
        {"name": f"r{number}", "host": host, "pathPrefix": prefix}
        for number, (host, prefix) in enumerate(pairs)
    ]
    file = decode_configuration(configuration(**routes(*changes)))
    reported = {
        finding.place.removeprefix("route ")
        for finding in check_configuration(file.catalog, file.teams, (), Deployment())
        if finding.code in ("hidden-route", "never-matches", "prefix-form")
    }
    paths = {prefix + "z" for _, prefix in pairs if prefix.startswith("/")}
    matched = {
        found.id
        for host, _ in pairs
        for path in paths
        if (found := file.catalog.match(host, path))
    }
    assert reported == {f"r{number}" for number in range(len(pairs))} - matched


@given(st.recursive(st.none() | st.integers() | st.text(), st.lists))
def test_odd_records_are_unreadable_and_raise_nothing_else(value):
    with pytest.raises(RecordError):
        decode_configuration(msgspec.json.encode(value))


@pytest.fixture
def files(tmp_path):
    def write(name, value):
        path = tmp_path / name
        path.write_bytes(value)
        return str(path)

    return write


async def run_check(capsys, *arguments):
    code = await ctl.run(["config", "check", *arguments, "--output", "json"])
    return code, capsys.readouterr()


async def test_exit_codes(files, capsys):
    sound = files("sound.json", configuration())
    faulty = files("faulty.json", configuration(tenants=[], extra=1))
    assert (await run_check(capsys, sound))[0] == 0
    code, output = await run_check(capsys, faulty)
    found = {item["code"] for item in json.loads(output.out)["findings"]}
    assert (code, found) == (1, {"no-teams", "unknown-field"})
    assert (await run_check(capsys, files("odd.json", b"[]")))[0] == 2
    assert (await run_check(capsys, sound, "--against", "http://127.0.0.1:1"))[0] == 3


async def test_differences_hide_keys(files, capsys):
    # Guards against secrets in the output, which goes to terminals and tickets.
    changed = configuration(
        version=2,
        routes=[ROUTE | {"maxAttempts": 1, "timeoutMs": 5000}],
        tenants=[TEAM | {"apiKeys": ["secret-2"]}],
    )
    code, output = await run_check(
        capsys,
        files("new.json", changed),
        "--against",
        files("old.json", configuration()),
    )
    places = {item["place"] for item in json.loads(output.out)["differences"]}
    assert (code, places) == (0, {"route r1", "team t1"})
    assert "secret" not in output.out and "k1" not in output.out


async def test_version_that_is_ignored_is_an_error(files, capsys):
    sound = files("sound.json", configuration())
    code, output = await run_check(capsys, sound, "--against", sound)
    assert code == 1
    assert [f["code"] for f in json.loads(output.out)["findings"]] == ["stale-version"]


async def test_version_in_force_is_read_from_the_store(files, capsys):
    value = base64.b64encode(configuration()).decode()
    items = [{"key": "config", "value": value, "offset": 3}]

    async def newest(request):
        assert request.path == "/log-newest"
        return web.json_response({"end": 4, "items": items})

    app = web.Application()
    app.router.add_get("/{path}", newest)
    async with TestServer(app) as server:
        url = f"http://{server.host}:{server.port}"
        newer = files("new.json", configuration(version=2, tenants=[]))
        code, output = await run_check(capsys, newer, "--against", url)
    places = [item["place"] for item in json.loads(output.out)["differences"]]
    assert (code, places) == (1, ["team t1"])
