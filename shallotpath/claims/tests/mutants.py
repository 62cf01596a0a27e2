"""Claim tables and home sets with one mechanism switched off."""

from shallotpath.claims import ClaimTable, HomeSet, WitnessStore
from shallotpath.claims._model import Waiting
from shallotpath.claims._seat import Seat


class NaiveTable(ClaimTable):
    """Run every key that this agent has not seen."""

    def request(self, key, request_id, fresh, now):
        self.keys_.claim(key, now)
        return self.keys_.request(key, Waiting(request_id, fresh, now), now)


class UnconfirmedJoins(HomeSet):
    """Activate joins at once."""

    def _confirmed(self, home, active):
        return True


class NoWitnessRead(ClaimTable):
    """Take over the keys of retired agents without reading witnesses."""

    def _unsettled(self, key):
        return []

    def _settle(self, now):
        return []


class UnsealedStore(WitnessStore):
    """Acknowledge writes of a home agent after its claims were read."""

    def reduce(self, event, now):
        effects = super().reduce(event, now)
        self.sealed_at_by_home_.clear()
        return effects


class NoDebtCheckOnDecision(ClaimTable):
    """Check debts when a request comes in, but not when its claim is decided."""

    def _may_run(self, key):
        return True


class NoPromise(ClaimTable):
    """Ignore a confirmation until it is read back."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.seat_ = _seat(self, ForgetfulSeat)


class ForgetfulSeat(Seat):
    def is_sole_home(self, key):
        return not self.leave_sent_ and self.is_home(key)


class LastContactOnly(ClaimTable):
    """Write to the witnesses of the last contact read back only."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.seat_ = _seat(self, SingleSetSeat)


class SingleSetSeat(Seat):
    def witness_sets(self):
        return super().witness_sets()[:1]


class ReplacesAnything(HomeSet):
    """Accept joins whose author saw another incarnation in its slot."""

    def _fold(self, record, offset, now):
        if type(record).__name__ == "Join":
            occupant = self.service(record.service).active_by_id.get(record.member)
            if occupant is not None:
                record = type(record)(
                    record.service,
                    record.member,
                    record.incarnation,
                    record.domain,
                    occupant.incarnation,
                    record.read,
                    record.vm_incarnation,
                )
        return super()._fold(record, offset, now)


class AnyIncarnationReads(ClaimTable):
    """Count the answers of witnesses that restarted since they were named."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        take = self.reader_.take

        class Reader(type(self.reader_)):
            __slots__ = ()

            def take(self, table):
                reading = self.readings_by_incarnation_.get(table.incarnation)
                if reading is None:
                    return None
                named = {w.id: w.incarnation for w in reading.debt.witnesses}
                return take(
                    type(table)(
                        table.home,
                        table.witness,
                        named.get(table.witness, ""),
                        table.keys,
                        table.nonce,
                        table.incarnation,
                    )
                )

        self.reader_.__class__ = Reader


class ConfirmsEarly(ClaimTable):
    """Confirm joins while only witnesses hold some claims."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.seat_ = _seat(self, EagerSeat)


class EagerSeat(Seat):
    def _update_contact(self, home, now):
        held = self.outbox.keys_by_offline_[True]
        self.outbox.keys_by_offline_[True] = {}
        super()._update_contact(home, now)
        self.outbox.keys_by_offline_[True] = held


def _seat(table, kind):
    old = table.seat_
    return kind(old.identity, old.homes, old.membership, old.outbox, old.settings)
