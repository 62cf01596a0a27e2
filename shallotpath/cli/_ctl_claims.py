"""Commands on the home agents of non-repeatable services.

Each idempotency key has one home agent, which decides whether its call may run.
"""

from __future__ import annotations

from datetime import UTC, datetime

from cyclopts import App

from ..claims import (
    STREAM,
    Home,
    HomeSet,
    Retire,
    Settled,
    UnresolvedClaims,
    encode_record,
)
from ..core import RecordsRead, RejectedChangeError
from ._ctl_objects import DEFAULT_OPTIONS
from ._ctl_options import EXIT_DONE, EXIT_REJECTED, EXIT_USAGE, Options
from ._ctl_session import Session, confirmed, open_session, print_failure, print_rows

READ_LIMIT = 1000
COLUMNS = ["member", "incarnation", "domain", "state", "witnesses"]

claims = App(name="claims", help="Home agents of non-repeatable services.")


@claims.command(name="homes")
async def show_homes(service: str, *, options: Options = DEFAULT_OPTIONS) -> int:
    """Show the home agents of a service and those whose keys are in doubt."""
    async with open_session(options) as session:
        homes = (await read_homes(session)).service(service)
    rows = [_home_row(home, "active") for home in homes.active_by_id.values()]
    rows += [_home_row(home, "joining") for home in homes.pending_by_id.values()]
    rows += [
        _unresolved_row(claims_in_doubt)
        for claims_in_doubt in homes.debts_by_incarnation.values()
    ]
    print_rows(options, COLUMNS, rows)
    return EXIT_DONE


@claims.command(name="retire")
async def retire(
    service: str, member: str, *, options: Options = DEFAULT_OPTIONS
) -> int:
    """Declare that a home agent has stopped, so that its keys move to other agents.

    Not needed once the platform's VM list no longer holds the VM.
    """
    question = (
        f"{member} must have stopped for good; otherwise calls that it ran may be "
        "refused as not run."
    )
    if not confirmed(options, question):
        return EXIT_USAGE
    async with open_session(options) as session:
        homes = (await read_homes(session)).service(service)
        home = homes.active_by_id.get(member) or homes.pending_by_id.get(member)
        if home is None:
            return _reject_unknown(
                options, f"{member} is no home agent of {service}", service
            )
        record = Retire(service, member, home.incarnation, _evidence(options))
        await session.client.append(STREAM, [encode_record(record)])
    return EXIT_DONE


@claims.command(name="settle")
async def settle(
    service: str, member: str, *, options: Options = DEFAULT_OPTIONS
) -> int:
    """Declare that a retired home agent ran no calls while it had no log.

    Needed only if its witnesses were lost too, as with a whole failure domain.
    """
    question = f"Calls that {member} ran without the log could run again."
    if not confirmed(options, question):
        return EXIT_USAGE
    async with open_session(options) as session:
        debts = (await read_homes(session)).service(service).debts_by_incarnation
        unresolved = [
            claims_in_doubt
            for claims_in_doubt in debts.values()
            if claims_in_doubt.member == member
        ]
        if not unresolved:
            return _reject_unknown(options, f"{member} has no keys in doubt", service)
        records = [
            Settled(
                service, member, claims_in_doubt.incarnation, [], _evidence(options)
            )
            for claims_in_doubt in unresolved
        ]
        await session.client.append(STREAM, [encode_record(r) for r in records])
    return EXIT_DONE


async def read_homes(session: Session) -> HomeSet:
    """Return the home agents after reading the claims stream to its end."""
    homes = HomeSet()
    now = datetime.now(UTC)
    start = 0
    while True:
        page = await session.client.read(STREAM, start, wait_ms=0, limit=READ_LIMIT)
        homes.reduce(RecordsRead(STREAM, page.records, page.next_offset), now)
        start = max(page.next_offset, page.first_offset)
        if not page.records:
            return homes


def _evidence(options: Options) -> str:
    return f"operator {options.operator_name}"


def _reject_unknown(options: Options, reason: str, service: str) -> int:
    error = RejectedChangeError(f"{reason}; see 'shallotctl claims homes {service}'")
    print_failure(options, error.message)
    return EXIT_REJECTED


def _home_row(home: Home, state: str) -> dict:
    return {
        "member": home.member,
        "incarnation": home.incarnation,
        "domain": home.domain,
        "state": state,
        "witnesses": ", ".join(witness.id for witness in home.witnesses),
    }


def _unresolved_row(claims_in_doubt: UnresolvedClaims) -> dict:
    return {
        "member": claims_in_doubt.member,
        "incarnation": claims_in_doubt.incarnation,
        "domain": "",
        "state": "in doubt",
        "witnesses": ", ".join(witness.id for witness in claims_in_doubt.witnesses),
    }
