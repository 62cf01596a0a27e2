"""Duties that one process of a fleet holds at a time.

A process holds the duties by a lease that it records in a log with conditional appends.
The package needs no network: the caller passes in the time and carries out the reads
and appends. Times are `datetime` values of one steady clock per process that also
counts time in which the VM is suspended.
"""

from ._lease import Lease, LeaseRules, Proposal
from ._record import (
    LeaseRecord,
    LeaseRecordError,
    WindowReport,
    decode_record,
    encode_record,
)
from ._usage import EntryUsage, RunCounter, UsageLedger
from ._windows import CANDIDATES, UsageRules

__all__ = [
    "CANDIDATES",
    "EntryUsage",
    "Lease",
    "LeaseRecord",
    "LeaseRules",
    "Proposal",
    "LeaseRecordError",
    "RunCounter",
    "UsageLedger",
    "UsageRules",
    "WindowReport",
    "decode_record",
    "encode_record",
]
