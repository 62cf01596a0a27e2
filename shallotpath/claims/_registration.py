"""Registration of one agent in the home set: join, contact, leave, retirement."""

from __future__ import annotations

from datetime import datetime, timedelta

from ..core import ListUpdated, rendezvous_order
from ..membership import MembershipView, MemberState
from ._home_model import Home
from ._homes import HomeSet
from ._model import ClaimSettings, Identity
from ._outbox import Outbox
from ._records import Contact, Join, Leave, Retire, Witness

MIN_WITNESSES = 2
JOIN, CONTACT, LEAVE, SNAPSHOT = "join", "contact", "leave", "snapshot"
RETIRE = "retire/"
# Choosing witnesses hashes all processes of the domain, which is too slow for
# every event.
WITNESS_CHECK_INTERVAL = timedelta(seconds=1)
# Delay of each further agent that writes a snapshot if those before it did not.
SNAPSHOT_STAGGER = timedelta(seconds=30)


class HomeRegistration:
    """Keep one agent in the home set and track what it has confirmed.

    A contact record that confirms a join is binding as soon as it is given to the
    outbox, because an append whose answer is lost may take effect at any later time.
    The same holds for the witnesses that it names.
    """

    __slots__ = (
        "confirmed_offset_",
        "confirmed_version_",
        "homes",
        "identity",
        "last_contact_at_",
        "leave_sent_",
        "leaving_",
        "membership",
        "outbox",
        "pending_contact_",
        "seen_version_by_vm_",
        "seq_",
        "settings",
        "started_at_",
        "witnesses_checked_at_",
    )

    def __init__(
        self,
        identity: Identity,
        homes: HomeSet,
        membership: MembershipView,
        outbox: Outbox,
        settings: ClaimSettings,
    ) -> None:
        self.identity = identity
        self.homes = homes
        self.membership = membership
        self.outbox = outbox
        self.settings = settings
        self.confirmed_offset_ = -1
        self.pending_contact_: Contact | None = None
        self.last_contact_at_: datetime | None = None
        self.witnesses_checked_at_: datetime | None = None
        self.confirmed_version_ = -1
        self.started_at_: datetime | None = None
        self.seq_ = 0
        self.leaving_ = False
        self.leave_sent_ = False
        self.seen_version_by_vm_: dict[tuple[str, str], int] = {}

    @property
    def home(self) -> Home | None:
        """Return this incarnation in the home set, active or pending."""
        identity = self.identity
        return self.homes.service(identity.service).find(
            identity.member, identity.incarnation
        )

    @property
    def departed(self) -> bool:
        """Check whether this incarnation left, was retired or was replaced."""
        return self.homes.departed(self.identity.incarnation)

    def is_home(self, key: str) -> bool:
        """Check whether this agent is the home agent of a key in the log as read."""
        identity = self.identity
        return self.homes.is_home(
            identity.service, identity.member, identity.incarnation, key
        )

    def is_sole_home(self, key: str) -> bool:
        """Check whether no other agent can have become the home agent of a key.

        This stays true until this agent confirms a join that moves the key, leaves or
        stops.
        """
        identity = self.identity
        if self.leave_sent_ or not self.is_home(key):
            return False
        after = self.homes.home_after(identity.service, key, self.confirmed_offset_)
        return after == identity.member

    def witness_sets(self) -> list[list[Witness]]:
        """Return the witness sets that the log may hold as this agent's current one.

        These are the set last read back and that of a contact record which is not yet
        read back. Empty until the first contact record is read back.
        """
        home = self.home
        if home is None or home.seq < 0:
            return []
        sets = [home.witnesses]
        if (
            self.pending_contact_ is not None
            and self.pending_contact_.witnesses != home.witnesses
        ):
            sets.append(self.pending_contact_.witnesses)
        return sets

    def update(self, now: datetime) -> None:
        """Add the records that are due to the outbox."""
        home = self.home
        if home is None:
            self.outbox.drop(CONTACT)
            self._update_join()
        else:
            self.outbox.drop(JOIN)
            self._update_contact(home, now)
        self._update_leave(home)
        self._update_snapshot(now)
        self._drop_retired()

    def observe_list(self, event: ListUpdated) -> None:
        """Retire home agents whose VM is no longer listed.

        The list lags, so a VM that was never seen in it may only be too new.
        """
        listed = {(vm.id, vm.incarnation) for vm in event.vms}
        homes = self.homes.service(self.identity.service)
        current = [*homes.active_by_id.values(), *homes.pending_by_id.values()]
        vms = {(h.member, h.vm_incarnation) for h in current if h.vm_incarnation}
        seen = self.seen_version_by_vm_
        for vm in vms & listed:
            seen[vm] = event.version
        for vm in seen.keys() - vms:
            del seen[vm]
        for home in current:
            seen_at = seen.get((home.member, home.vm_incarnation), event.version)
            if seen_at < event.version:
                self._put_retire(home, f"list {event.version}, seen in {seen_at}")

    def _put_retire(self, home: Home, evidence: str) -> None:
        identity = self.identity
        # Every home agent appends the record: duplicates are harmless, and a single
        # chosen author might itself be one of the failed agents.
        record = Retire(identity.service, home.member, home.incarnation, evidence)
        self.outbox.put(RETIRE + home.incarnation, record)

    def _elapsed(
        self, since: datetime | None, period: timedelta, now: datetime
    ) -> bool:
        return since is None or now - since >= period

    def _version(self) -> int:
        return self.homes.service(self.identity.service).version

    def _update_snapshot(self, now: datetime) -> None:
        """Add a snapshot to the outbox long before the log drops the last one."""
        self.started_at_ = self.started_at_ or now
        last = max(self.homes.snapshot_at or self.started_at_, self.started_at_)
        age = now - last
        if age < self.settings.snapshot_interval:
            self.outbox.drop(SNAPSHOT)
            return
        homes = self.homes.services_.values()
        active = {member for service in homes for member in service.active_by_id}
        order = rendezvous_order("snapshot", active)
        if self.identity.member not in order:
            return
        # The next agent in the order takes over if those before it do not write.
        rank = order.index(self.identity.member)
        if age < self.settings.snapshot_interval + rank * SNAPSHOT_STAGGER:
            return
        if not self.outbox.holds(SNAPSHOT):
            self.outbox.put(SNAPSHOT, self.homes.snapshot())

    def _drop_retired(self) -> None:
        for name in self.outbox.names(RETIRE):
            if self.homes.departed(name.removeprefix(RETIRE)):
                self.outbox.drop(name)

    def _update_join(self) -> None:
        known = self.homes.initialized or self.homes.offset < 0
        if self.leaving_ or self.departed or not known:
            self.outbox.drop(JOIN)
            return
        identity = self.identity
        homes = self.homes.service(identity.service)
        occupant = homes.active_by_id.get(identity.member)
        occupant = occupant or homes.pending_by_id.get(identity.member)
        replaces = occupant.incarnation if occupant else ""
        item = self.outbox.items_by_name_.get(JOIN)
        if item is not None and item.record.replaces == replaces:
            return
        self.confirmed_offset_ = max(self.confirmed_offset_, self.homes.offset)
        record = Join(
            identity.service,
            identity.member,
            identity.incarnation,
            identity.domain,
            replaces,
            self.homes.offset,
            identity.vm_incarnation,
        )
        self.outbox.put(JOIN, record)

    def _update_contact(self, home: Home, now: datetime) -> None:
        if self.pending_contact_ is not None:
            if home.seq < self.pending_contact_.seq:
                return
            self.pending_contact_ = None
            self.outbox.drop(CONTACT)
        if self.leave_sent_:
            return
        # Claims that are stored at witnesses only must be in the log before the agent
        # names other witnesses or confirms a join that moves keys away.
        has_unlogged = bool(self.outbox.unlogged)
        changed = not has_unlogged and self._version() != self.confirmed_version_
        due = changed or self._elapsed(
            self.last_contact_at_, self.settings.contact_interval, now
        )
        if not due and not self._elapsed(
            self.witnesses_checked_at_, WITNESS_CHECK_INTERVAL, now
        ):
            return
        self.witnesses_checked_at_ = now
        witnesses = home.witnesses if has_unlogged else self._choose_witnesses(home)
        if not due and witnesses == home.witnesses:
            return
        if not has_unlogged:
            self.confirmed_offset_ = max(self.confirmed_offset_, self.homes.offset)
            self.confirmed_version_ = self._version()
        self._put_contact(witnesses, now)

    def _put_contact(self, witnesses: list[Witness], now: datetime) -> None:
        identity = self.identity
        self.seq_ += 1
        self.last_contact_at_ = now
        self.pending_contact_ = Contact(
            identity.service,
            identity.member,
            identity.incarnation,
            self.seq_,
            self.confirmed_offset_,
            witnesses,
        )
        self.outbox.put(CONTACT, self.pending_contact_)

    def _choose_witnesses(self, home: Home) -> list[Witness]:
        identity = self.identity
        alive = {
            member.id: Witness(member.id, member.incarnation, member.address)
            for member in self.membership.members_by_id.values()
            if member.domain == identity.domain
            and member.id != identity.member
            and member.state is MemberState.ALIVE
        }
        kept = [w for w in home.witnesses if alive.get(w.id) == w]
        for name in rendezvous_order(identity.member, alive):
            if len(kept) >= self.settings.witness_count:
                break
            if alive[name] not in kept:
                kept.append(alive[name])
        return kept if len(kept) >= MIN_WITNESSES else []

    def _update_leave(self, home: Home | None) -> None:
        if home is None:
            self.outbox.drop(LEAVE)
        elif self.leaving_ and not self.outbox.unlogged:
            identity = self.identity
            self.leave_sent_ = True
            self.outbox.put(
                LEAVE, Leave(identity.service, identity.member, identity.incarnation)
            )
