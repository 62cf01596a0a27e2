import asyncio
import json
from contextlib import asynccontextmanager

import pytest
from aiohttp import ClientSession, web

from shallotpath.claims import STREAM as CLAIMS_STREAM
from shallotpath.claims import Contact, Join, Witness
from shallotpath.claims import encode_record as encode_claim
from shallotpath.cli._ctl_session import Session
from shallotpath.cli.ctl import run
from shallotpath.config import STREAM, Replica, decode_record
from shallotpath.core import LogRecord, PlatformError
from shallotpath.runtime import PlatformClient
from shallotpath.standins import PlatformApp, serve


class Operator:
    """Run commands against a platform stand-in and keep what they print."""

    def __init__(self, platform, url, capsys):
        self.platform = platform
        self.url = url
        self.capsys = capsys

    async def run(self, line, code=0):
        self.capsys.readouterr()
        tokens = [*line.split(), "--platform", self.url, "--output", "json"]
        assert await run(tokens) == code, self.capsys.readouterr()
        text = self.capsys.readouterr().out
        return json.loads(text) if text else None

    async def log(self):
        async with ClientSession() as session:
            page = await PlatformClient(session, self.url).read(STREAM, 0, wait_ms=0)
        return page.records


@pytest.fixture
async def ctl(capsys):
    platform = PlatformApp()
    async with serve(platform.build()) as url:
        yield Operator(platform, url, capsys)


@asynccontextmanager
async def process(ctl, id, status):
    app = web.Application()

    async def answer(request):
        body = {"id": id, "role": "agent", "domain": "a", "preset": "ordinary"}
        body |= {"digest": "", "progress": 1.0, "in_flight": 0, "members": 1}
        return web.json_response(body | status())

    app.router.add_get("/status", answer)
    async with serve(app) as url, ClientSession() as session:
        await session.put(f"{ctl.url}/vms/{id}", json={"state": "live", "http": url})
        yield url


async def test_the_objects_of_a_new_organisation_are_created(ctl):
    await ctl.run("domains in bne-a --region qld")
    await ctl.run("teams put archive --token secret --weight 3")
    await ctl.run("versions publish fold 1 --size 1MiB --chunk 64KiB")
    await ctl.run("services put fold-model --model fold --version 1")
    await ctl.run("presets define peak --min-priority 2")
    await ctl.run("presets apply peak --yes")
    await ctl.run("versions publish fold 2 --size 1MiB --base 1 --shared 0.9")
    await ctl.run("services set-version fold-model 2")
    await ctl.run("rollouts pause fold-model")
    await ctl.run("rollouts back fold-model")
    services = await ctl.run("services list")
    assert services[0]["version"] == "1"
    presets = await ctl.run("presets list")
    assert {p["id"]: p["in_force"] for p in presets} == {
        "ordinary": False,
        "peak": True,
    }
    assert (await ctl.run("presets show peak"))[0]["min_priority"] == 2
    # Guards against a token that everyone who reads the log can use.
    assert not any(b"secret" in record.data for record in await ctl.log())
    rows = await ctl.run("diff --since 4")
    assert ("preset in force", "id") in {(r["object"], r["field"]) for r in rows}
    assert len(await ctl.run("history")) == 10


async def test_a_rejected_change_names_reason_and_remedy_and_appends_nothing(ctl):
    result = await ctl.run("presets apply nothing", code=1)
    assert "does not exist" in result["reason"]
    assert "ordinary" in result["remedy"]
    assert await ctl.log() == []


async def test_a_racing_operator_is_told_who_won(ctl, monkeypatch):
    # The other operator's record enters the log between the read and the append.
    await ctl.run("presets define peak --operator ann")
    append = PlatformClient.append

    async def append_second(client, stream, records):
        monkeypatch.setattr(PlatformClient, "append", append)
        await run(
            ["presets", "define", "peak", "--queue-share", "0.1"]
            + ["--operator", "bo", "--platform", ctl.url]
        )
        return await append(client, stream, records)

    monkeypatch.setattr(PlatformClient, "append", append_second)
    ctl.capsys.readouterr()
    tokens = ["presets", "define", "peak", "--queue-share", "0.9"]
    assert await run([*tokens, "--operator", "ann", "--platform", ctl.url]) == 1
    said = ctl.capsys.readouterr().out
    assert "bo" in said
    assert "repeat the command" in said
    history = await ctl.run("history")
    assert [row["verdict"] for row in history] == ["accepted", "accepted", "rejected"]


async def test_a_lost_append_answer_is_looked_up_and_not_repeated(ctl):
    ctl.platform.faults.log_lose_answers = 1.0
    result = await ctl.run("presets define peak")
    assert result["accepted"]
    assert len(await ctl.log()) == 1


async def test_an_append_that_took_effect_twice_is_accepted_once(ctl):
    ctl.platform.faults.log_duplicate = 1.0
    await ctl.run("presets define peak")
    log = await ctl.log()
    assert len(log) == 2
    replica = Replica()
    replica.add(log)
    assert replica.outcomes_["repeated"] == 1


async def test_an_append_that_takes_effect_late_is_accepted_once(ctl, monkeypatch):
    # The look after the lost answer finds nothing, so the record is appended again.
    append = PlatformClient.append
    late = []

    async def append_late(client, stream, records):
        async def later():
            await asyncio.sleep(0.5)
            await append(client, stream, records)

        late.append(asyncio.create_task(later()))
        raise PlatformError("the answer was lost")

    monkeypatch.setattr(PlatformClient, "append", append_late)
    result = await ctl.run("presets define peak --command-id x")
    assert result["accepted"]
    assert len(late) == 2
    assert [row["command_id"] for row in await ctl.run("history")] == ["x"]


async def test_a_slow_log_delays_a_change_and_loses_nothing(ctl):
    ctl.platform.faults.log_delay_ms = 300
    assert (await ctl.run("presets define peak"))["accepted"]
    assert len(await ctl.log()) == 1


async def test_repeating_a_command_id_finds_the_earlier_outcome(ctl):
    first = await ctl.run("presets define peak --command-id x")
    again = await ctl.run("presets define peak --command-id x")
    assert again["offset"] == first["offset"]
    assert len(await ctl.log()) == 1


async def test_a_platform_that_is_down_gives_exit_code_3(ctl):
    ctl.platform.faults.log_down = True
    await ctl.run("presets define peak", code=3)
    ctl.platform.faults.log_down = False
    assert await ctl.log() == []


async def test_taking_out_capacity_needs_confirmation_and_the_last_domain_force(ctl):
    await ctl.run("domains in a --region r")
    await ctl.run("domains out a", code=2)
    result = await ctl.run("domains out a --yes", code=1)
    assert "last" in result["reason"]
    assert "--force" in result["remedy"]
    await ctl.run("domains out a --yes --force")
    assert (await ctl.run("domains list"))[0]["out"] is True


async def test_a_dry_run_appends_nothing(ctl):
    result = await ctl.run("presets define peak --dry-run")
    assert result["accepted"]
    await ctl.run("versions publish m 1 --size 1MiB --dry-run")
    assert await ctl.log() == []
    assert ctl.platform.versions_by_key_ == {}


async def test_waiting_ends_when_all_processes_have_the_change(ctl):
    offsets = iter([-1, -1, 0, 0, 0])
    async with process(ctl, "vm1", lambda: {"config_offset": next(offsets)}):
        result = await ctl.run("presets define peak --wait")
    assert result["lagging"] == []


async def test_a_lagging_process_is_named(ctl):
    async with process(ctl, "vm1", lambda: {"config_offset": -1}) as url:
        result = await ctl.run("presets define peak --wait --timeout 300ms", code=3)
        assert result["lagging"] == [url]
        rows = await ctl.run("status")
    assert rows[0]["lag"] == 1


async def test_a_version_is_watched_until_all_agents_hold_it(ctl):
    await ctl.run("versions publish m 1 --size 1MiB")
    digest = decode_record((await ctl.log())[0].data).change.version.digest
    shares = iter([0.2, 0.6, 1.0])

    def status():
        return {"config_offset": 0, "digest": digest, "progress": next(shares)}

    async with process(ctl, "vm1", status):
        result = await ctl.run("versions watch m/1")
    assert result == {"version": "m/1", "done": True, "progress_by_id": {"vm1": 1.0}}


async def test_usage_and_settings_faults_give_exit_code_2(ctl, tmp_path):
    file = tmp_path / "ctl.ini"
    file.write_text("[platform]\nurl = nonsense\nspeed = 3\n[what]\n")
    assert await run(["--check-config", "--config", str(file)]) == 2
    said = ctl.capsys.readouterr().err
    assert "speed" in said
    assert "[what]" in said
    file.write_text(f"[platform]\nurl = {ctl.url}\n")
    assert await run(["--check-config", "--config", str(file)]) == 0
    assert await run(["presets", "list", "--config", str(file)]) == 0
    assert await run(["no-such-command"]) == 2
    assert await run(["presets", "list", "--platform", "ftp://x"]) == 2


async def test_a_log_without_its_start_and_without_snapshot_is_reported(ctl):
    # Guards against changes that are judged by an incomplete configuration.
    ctl.platform.faults.log_retention = 1
    await ctl.run("presets define peak")
    stream = ctl.platform.streams_by_name_[STREAM]
    stream.append(["eA=="], 0.0, 1)
    assert [r.offset for r in await ctl.log()] == [1]
    assert isinstance((await ctl.log())[0], LogRecord)
    await ctl.run("presets list", code=3)


async def test_a_change_derived_from_an_old_read_does_not_overwrite(ctl, monkeypatch):
    # Guards against a lost update between reading a service and replacing it.
    await ctl.run("services put s --kind plain")
    submit = Session.submit

    async def submit_second(session, change, base=None):
        monkeypatch.setattr(Session, "submit", submit)
        put = [
            "services",
            "put",
            "s",
            "--kind",
            "plain",
            "--min-ready",
            "4",
            "--operator",
            "bo",
        ]
        assert await run([*put, "--platform", ctl.url, "--output", "json"]) == 0
        ctl.capsys.readouterr()
        return await submit(session, change, base)

    monkeypatch.setattr(Session, "submit", submit_second)
    result = await ctl.run("services set-version s 2", code=1)
    assert "bo" in result["reason"]
    assert (await ctl.run("services list"))[0]["min_ready"] == 4


async def test_an_operator_settles_the_keys_of_a_retired_home(ctl):
    # Guards against orders that stay in doubt although the operator knows better.
    witness = Witness("w", "w1", "tcp://127.0.0.1:1")
    records = [
        Join("kit-desk", "a", "a1", "bne-a"),
        Contact("kit-desk", "a", "a1", 1, 0, [witness]),
    ]
    async with ClientSession() as session:
        data = [encode_claim(record) for record in records]
        await PlatformClient(session, ctl.url).append(CLAIMS_STREAM, data)
    homes = await ctl.run("claims homes kit-desk")
    assert [(row["member"], row["state"]) for row in homes] == [("a", "active")]
    await ctl.run("claims retire kit-desk a", code=2)
    await ctl.run("claims retire kit-desk a --yes")
    homes = await ctl.run("claims homes kit-desk")
    assert [(row["member"], row["state"]) for row in homes] == [("a", "in doubt")]
    await ctl.run("claims settle kit-desk b --yes", code=1)
    await ctl.run("claims settle kit-desk a --yes")
    assert await ctl.run("claims homes kit-desk") == []
