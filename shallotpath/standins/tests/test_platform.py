from base64 import b64encode

from aiohttp import ClientSession

from shallotpath.core import sha256_hex
from shallotpath.standins import PlatformApp, serve


def record(data: bytes) -> str:
    return b64encode(data).decode()


async def test_a_lost_answer_still_appends_the_record():
    # Guards against a stand-in that cannot lose the answer of an append that succeeded.
    platform = PlatformApp()
    async with serve(platform.build()) as url, ClientSession() as session:
        await session.post(f"{url}/faults", json={"log_lose_answers": 1.0})
        answer = await session.post(
            f"{url}/log/config", json={"records": [record(b"a")]}
        )
        assert answer.status == 504
        page = await (await session.get(f"{url}/log/config")).json()
        assert [item["data"] for item in page["records"]] == [record(b"a")]


async def test_the_list_lags_behind_the_vms():
    # Guards against a VM list that is always current, unlike the platform's.
    platform = PlatformApp()
    platform.faults.vms_lag_ms = 60_000
    async with serve(platform.build()) as url, ClientSession() as session:
        await session.put(f"{url}/vms/a", json={"state": "live"})
        page = await (await session.get(f"{url}/vms")).json()
        assert page == {"version": 0, "vms": []}


async def test_a_version_can_share_chunks_with_its_base():
    # Guards against partial updates that would fetch every chunk again.
    platform = PlatformApp()
    async with serve(platform.build()) as url, ClientSession() as session:
        first = await (
            await session.put(f"{url}/versions/m/1?size=1000&chunk=100&seed=1")
        ).json()
        second = await (
            await session.put(
                f"{url}/versions/m/2?size=1000&chunk=100&seed=2&base=1&shared=0.9"
            )
        ).json()
        equal = [a == b for a, b in zip(first["chunks"], second["chunks"], strict=True)]
        assert equal == [True] * 9 + [False]
        chunk = await (await session.get(f"{url}/versions/m/2/chunks/9")).read()
        assert sha256_hex(chunk) == second["chunks"][9]


async def test_counters_are_served_to_prometheus():
    platform = PlatformApp()
    async with serve(platform.build()) as url, ClientSession() as session:
        await session.post(f"{url}/log/config", json={"records": [record(b"a")]})
        text = await (await session.get(f"{url}/metrics")).text()
        assert 'shallot_standin_events{kind="appends",node="platform"} 1' in text


async def test_an_unknown_fault_is_refused():
    # Guards against a misspelt fault that is silently not switched on.
    platform = PlatformApp()
    async with serve(platform.build()) as url, ClientSession() as session:
        answer = await session.post(f"{url}/faults", json={"nonsense": 1})
        assert answer.status == 422
