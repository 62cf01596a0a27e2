"""Claim tables, home sets and witness stores with one mechanism disabled.

The tests must detect the fault that each mechanism prevents.
"""

from shallotpath.claims import ClaimTable, HomeSet, WitnessStore
from shallotpath.claims._model import WaitingRequest
from shallotpath.claims._registration import HomeRegistration


class NaiveTable(ClaimTable):
    """Run every key that this agent has not seen."""

    def request(self, key, request_id, fresh, now):
        self.keys_.mark_claimed(key, now)
        return self.keys_.request(key, WaitingRequest(request_id, fresh, now), now)


class UnconfirmedJoins(HomeSet):
    """Activate joins at once."""

    def _is_confirmed(self, home, active):
        return True


class NoWitnessRead(ClaimTable):
    """Take over the keys of retired agents without reading their witnesses."""

    def _unresolved_for(self, key):
        return []

    def _update_unresolved(self, now):
        return []


class UnsealedStore(WitnessStore):
    """Acknowledge writes of a home agent after its claims were read."""

    def reduce(self, event, now):
        effects = super().reduce(event, now)
        self.sealed_at_by_home_.clear()
        return effects


class NoCheckOnDecision(ClaimTable):
    """Check unresolved claims on a request, but not when its claim is decided."""

    def _may_run(self, key):
        return True


class IgnoresUnreadConfirmation(ClaimTable):
    """Ignore a confirmation until it is read back."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.registration_ = _copy_registration(self, ReadBackOnlyRegistration)


class ReadBackOnlyRegistration(HomeRegistration):
    """Consider only confirmations that were read back."""

    def is_sole_home(self, key):
        return not self.leave_sent_ and self.is_home(key)


class LastContactOnly(ClaimTable):
    """Write to the witnesses of the last contact read back only."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.registration_ = _copy_registration(self, SingleSetRegistration)


class SingleSetRegistration(HomeRegistration):
    """Return only the witnesses of the contact record read back last."""

    def witness_sets(self):
        return super().witness_sets()[:1]


class ReplacesAnything(HomeSet):
    """Accept joins whose author saw another incarnation under its member id."""

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
        receive = self.reader_.receive

        class Reader(type(self.reader_)):
            __slots__ = ()

            def receive(self, table):
                reading = self.readings_by_incarnation_.get(table.incarnation)
                if reading is None:
                    return None
                named = {w.id: w.incarnation for w in reading.claims.witnesses}
                return receive(
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
        self.registration_ = _copy_registration(self, EarlyConfirmingRegistration)


class EarlyConfirmingRegistration(HomeRegistration):
    """Hide unlogged keys, which delay confirmations."""

    def _update_contact(self, home, now):
        held = self.outbox.keys_by_offline_[True]
        self.outbox.keys_by_offline_[True] = {}
        super()._update_contact(home, now)
        self.outbox.keys_by_offline_[True] = held


def _copy_registration(table, registration_class):
    old = table.registration_
    return registration_class(
        old.identity, old.homes, old.membership, old.outbox, old.settings
    )
