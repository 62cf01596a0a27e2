"""Control loop of a process: configuration log, VM list and connections."""

from __future__ import annotations

import asyncio

from ..config import STREAM, Configuration
from ..core import PlatformError
from ..membership import Membership, MemberState
from ._log_tailer import LogTailer
from ._shell import Shell

CHECK_INTERVAL_S = 0.5
# The VM list only seeds the gossip and retires members. At this interval 350
# processes request it about 6 times a second in total.
VM_LIST_INTERVAL_S = 60.0
VM_LIST_INTERVAL_ALONE_S = 2.0
# A member that gossip considers dead may still send a stream, so its connection is
# closed only after this silence.
DEAD_MEMBER_SILENCE_S = 30.0
RECONNECT_SILENCE_S = 3.0


class ControlLoop:
    """Read the log if chosen as a reader, poll the VM list, replace connections."""

    __slots__ = (
        "configuration",
        "list_due_at_",
        "list_interval_s",
        "membership",
        "shell",
        "tailer_",
        "task_",
    )

    def __init__(
        self,
        shell: Shell,
        configuration: Configuration,
        membership: Membership,
        *,
        list_interval_s: float = VM_LIST_INTERVAL_S,
    ) -> None:
        self.shell = shell
        self.configuration = configuration
        self.membership = membership
        self.list_interval_s = list_interval_s
        self.list_due_at_ = 0.0
        self.tailer_: asyncio.Task | None = None
        self.task_: asyncio.Task | None = None

    async def start(self) -> None:
        """Announce the bound addresses and start; call after the shell's start."""
        self.membership.bind(self.shell.peer.address_, self.shell.bulk.address_)
        self.task_ = self.shell.spawn(self._run())

    async def stop(self) -> None:
        """Stop the loop and the log tailer; the shell stops all other tasks."""
        for task in (self.task_, self.tailer_):
            if task is not None:
                task.cancel()

    async def _run(self) -> None:
        while True:
            self._adjust_tailer()
            self._replace_connections()
            await self._poll_vm_list()
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _adjust_tailer(self) -> None:
        if self.shell.platform is None:
            return
        reading = self.tailer_ is not None and not self.tailer_.done()
        if self.configuration.is_reader and not reading:
            tailer = LogTailer(self.shell, STREAM, self.configuration.offset + 1)
            self.tailer_ = self.shell.spawn(tailer.run())
        elif reading and not self.configuration.is_reader:
            self.tailer_.cancel()
            self.tailer_ = None

    def _replace_connections(self) -> None:
        transport = self.shell.peer
        now = asyncio.get_running_loop().time()
        received_at = transport.received_at_by_peer_
        for address in self.membership.unanswered():
            silent = now - received_at.get(address, 0.0) >= RECONNECT_SILENCE_S
            if silent and address in transport.dealers_by_address_:
                transport.reconnect(address)
        dead = {
            member.address
            for member in self.membership.members_by_id.values()
            if member.state is MemberState.DEAD
        }
        for address in dead.intersection(transport.dealers_by_address_):
            if now - received_at.get(address, 0.0) >= DEAD_MEMBER_SILENCE_S:
                transport.disconnect(address)

    async def _poll_vm_list(self) -> None:
        now = asyncio.get_running_loop().time()
        if self.shell.platform is None or now < self.list_due_at_:
            return
        try:
            self.shell.dispatch(await self.shell.platform.vms())
        except PlatformError:
            self.shell.telemetry.count("list_failed", {}, 1)
        alone = len(self.membership.members_by_id) == 1
        interval = VM_LIST_INTERVAL_ALONE_S if alone else self.list_interval_s
        # The jitter spreads the requests of processes that were started together.
        self.list_due_at_ = now + interval * self.membership.random.uniform(0.8, 1.2)


def status_of(
    configuration: Configuration,
    membership: Membership,
    *,
    digest: str = "",
    progress: float = 1.0,
    in_flight: int = 0,
) -> dict:
    """Return the body of `/status`; `digest` and `progress` describe the weights."""
    own = membership.me
    alive = [
        member
        for member in membership.members_by_id.values()
        if member.state is MemberState.ALIVE
    ]
    return {
        "id": own.id,
        "role": own.role.value,
        "domain": own.domain,
        "config_offset": configuration.offset,
        "preset": configuration.preset.id,
        "digest": digest,
        "progress": progress,
        "in_flight": in_flight,
        "members": len(alive),
    }
