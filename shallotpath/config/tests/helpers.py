"""Build records and groups of processes with a configuration."""

from datetime import timedelta
from itertools import count
from random import Random

from shallotpath.bench._memory_link import make_member
from shallotpath.config import (
    ApplyPreset,
    BringDomainIn,
    Configuration,
    DefinePreset,
    Header,
    ModelVersion,
    Preset,
    PutService,
    PutVersion,
    Record,
    Replica,
    Service,
    ServiceKind,
    encode_record,
)
from shallotpath.core import EPOCH, LogRecord
from shallotpath.membership import Membership

_command_numbers = count()


def make_record(change, base=-1, command="", operator="ann"):
    command = command or f"c{next(_command_numbers)}"
    return Record(Header(command, operator, EPOCH, base), change)


def make_log(records):
    return [LogRecord(n, encode_record(record)) for n, record in enumerate(records)]


def fold_all(records):
    replica = Replica()
    replica.add(make_log(records))
    return replica


def bring_in_domains(*ids):
    return [make_record(BringDomainIn(id, "r")) for id in ids]


def define_peak_preset(base=-1, **kwargs):
    return make_record(DefinePreset(Preset("peak")), base, **kwargs)


def apply_preset(id, base, **kwargs):
    return make_record(ApplyPreset(id), base, **kwargs)


def put_version(name, base=-1):
    return make_record(PutVersion(ModelVersion("m", name, f"d{name}", 10, 5)), base)


def put_service(version, base):
    service = Service("s", ServiceKind.MODEL, "m", version)
    return make_record(PutService(service), base)


class ProcessGroup:
    """Run processes with membership and configuration on one link."""

    def __init__(self, link, count, domains=("d0",), **settings):
        self.link = link
        self.settings = settings
        self.configurations = {}
        self.offsets = {}
        self.reverted_offsets = 0
        self.seeds = [make_member(n, d).address for n, d in enumerate(domains)]
        for n in range(count):
            self.start(make_member(n, domains[n % len(domains)]))

    def start(self, member):
        configuration = None
        membership = Membership(
            me=member,
            random=Random(member.id),
            seeds=self.seeds,
            config_offset=lambda: configuration.offset,
        )
        configuration = Configuration(
            id=member.id,
            domain=member.domain,
            membership=membership,
            random=Random(member.id),
            neighbours=membership.neighbours,
            **self.settings,
        )
        self.configurations[member.address] = configuration
        self.offsets[member.address] = -1
        self.link.readers[member.address] = (configuration, 0)
        self.link.add(member.address, [membership, configuration])
        return configuration

    def seconds(self, count):
        for _ in range(round(count / 0.2)):
            self.link.step(tick=timedelta(milliseconds=200))
            for address, configuration in self.configurations.items():
                self.reverted_offsets += configuration.offset < self.offsets[address]
                self.offsets[address] = configuration.offset
                assert configuration.preset.id in configuration.presets_by_id

    def offsets_and_digests(self, skip=()):
        return {
            (c.offset, c.digest)
            for address, c in self.configurations.items()
            if address not in skip
        }
