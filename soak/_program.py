"""One program of the platform as a process of its own."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from contextlib import suppress
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path

from ._settings import SoakSettings

SETTINGS_VARIABLE = "SHALLOTPATH_CONFIG"
ENTRY_MODULE = "shallotpath.cli.edge"
MATE_MODULE = "shallotpath.cli.mate"
# Ports below those that the system gives to outgoing connections.
CALLERS_PORT = 18080
READY_PORT = 18081
PEER_PORT = 18082
# Time that a process may need beyond its grace to end.
STOP_SLACK = timedelta(seconds=1)


@dataclass(kw_only=True)
class Program:
    """Start, stop, kill and freeze one process, by its own id."""

    name: str
    host: str
    domain: str
    store_port: int
    # Address of the engine beside a mate, empty for an entry.
    engine: str
    settings: SoakSettings
    workspace: Path
    process_: asyncio.subprocess.Process | None = None
    # It answered a probe since its start.
    seen_ready_: bool = False
    # Stops after which it was killed.
    outlived_grace_: int = 0

    @property
    def running(self) -> bool:
        """Check whether the process is there, frozen or not."""
        return self.process_ is not None and self.process_.returncode is None

    def settings_text(self) -> str:
        """Return the settings file in the platform's format."""
        settings = self.settings
        lines = [
            f"node={self.name}",
            f"ip={self.host}",
            f"zone={self.domain}",
            *(f"zones.{d}={d.partition('-')[0]}" for d in settings.domains),
            f"internalPorts={PEER_PORT},{PEER_PORT}",
            f"platform.address=127.0.0.1:{self.store_port}",
            f"bounds.graceS={settings.stop_grace.total_seconds()}",
            "bounds.version_ms="
            f"{settings.version_bound / timedelta(milliseconds=1):.0f}",
        ]
        if self.engine:
            lines.append(f"app={self.engine}")
        else:
            lines.append(f"listen.front={self.host}:{CALLERS_PORT}")
            lines.append(f"listen.ready={self.host}:{READY_PORT}")
        return "\n".join(lines) + "\n"

    async def start(self) -> None:
        """Start the process; its output is appended to a log."""
        self.seen_ready_ = False
        path = self.workspace / f"{self.name}.conf"
        path.write_text(self.settings_text())
        environment = os.environ | {SETTINGS_VARIABLE: str(path)}
        if self.settings.programs is not None:
            environment["PYTHONPATH"] = str(self.settings.programs)
        module = MATE_MODULE if self.engine else ENTRY_MODULE
        with (self.workspace / f"{self.name}.log").open("ab") as log:
            self.process_ = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                module,
                env=environment,
                cwd=self.workspace,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the own process if it is still there."""
        if self.running:
            with suppress(ProcessLookupError):
                self.process_.send_signal(number)

    async def stop(self) -> str:
        """Ask the process to stop, kill it after its grace; return a wrong code."""
        process = self.process_
        self.signal(signal.SIGTERM)
        limit = self.settings.stop_grace + STOP_SLACK
        try:
            await asyncio.wait_for(process.wait(), limit.total_seconds())
        except TimeoutError:
            self.signal(signal.SIGKILL)
            await process.wait()
            self.outlived_grace_ += 1
            return ""
        code = process.returncode
        if code == -signal.SIGTERM and not self.seen_ready_:
            # It was asked to stop before it could take the signal.
            return ""
        return f"ended with {code}" if code else ""

    async def kill(self) -> None:
        """End the process at once."""
        self.signal(signal.SIGKILL)
        if self.process_ is not None:
            await self.process_.wait()
