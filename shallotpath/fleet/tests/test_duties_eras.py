"""Usage reports while the store comes back from an older copy."""

from datetime import timedelta

import pytest

from . import test_duties
from .test_duties import WINDOW, Store, play

SECOND = timedelta(seconds=1)


class FallingStore(Store):
    """Name an era in all answers and fall back to older copies."""

    era = 1

    async def handle(self, request):
        response = await super().handle(request)
        response.headers["Store-Era"] = str(self.era)
        return response

    def fall(self, lost):
        del self.records[max(0, len(self.records) - lost) :]
        self.era += 1


@pytest.mark.parametrize("lost", [0, 1, 100])
@pytest.mark.parametrize("freezes_holder", [False, True])
def test_reports_go_on_under_new_tokens_after_a_fall(monkeypatch, lost, freezes_holder):
    # Guards against two holders, one from each era, a token that is given out twice,
    # and a window that is missed or reported with other counts.
    monkeypatch.setattr(test_duties, "Store", FallingStore)

    async def scenario(fleet):
        await fleet.run(20 * SECOND)
        before = list(fleet.interface.calls)
        assert before
        frozen = {fleet.holder()} if freezes_holder else ()
        fleet.store.fall(lost)
        await fleet.run(6 * SECOND, frozen=frozen)
        await fleet.run(25 * SECOND)
        after = fleet.interface.calls[len(before) :]
        assert after
        known = {token for _, _, token in before}
        assert known.isdisjoint(token for _, _, token in after)
        reported = fleet.interface.counts_by_window
        assert set(range(WINDOW + 1, WINDOW + 8)) <= set(reported)

    play(scenario)


def test_append_that_another_era_acknowledges_is_not_taken_as_made(monkeypatch):
    # Guards against a lease that begins with a record whose condition held by chance.
    monkeypatch.setattr(test_duties, "Store", FallingStore)

    async def scenario(fleet):
        await fleet.run(12 * SECOND)
        duties = fleet.entries[fleet.holder()][0]
        fleet.store.era += 1
        appended = len(fleet.store.records)
        assert not await duties._append()
        assert len(fleet.store.records) == appended + 1
        assert not duties.lease.holds(duties.clock.now())
        await fleet.run(20 * SECOND)

    play(scenario)
