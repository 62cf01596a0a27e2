"""One of the platform's programs, run as a separate process."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from contextlib import suppress
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path

import shallotpath

from ._settings import SoakSettings

# A program starts in its workspace, where Python would find the installed package
# instead of the one next to the soak.
IMPORTED_PROGRAMS = Path(shallotpath.__file__).resolve().parent.parent

SETTINGS_VARIABLE = "SHALLOTPATH_CONFIG"
ENTRY_MODULE = "shallotpath.cli.edge"
SIDECAR_MODULE = "shallotpath.cli.mate"
# Ports below the ephemeral range, so that outgoing connections never use them.
CALLERS_PORT = 18080
READY_PORT = 18081
PEER_PORT = 18082
# Time that a process may take to exit beyond its grace period.
STOP_SLACK = timedelta(seconds=1)


@dataclass(kw_only=True)
class Program:
    """Start, stop, kill and signal one process."""

    name: str
    host: str
    domain: str
    store_port: int
    # Address of the engine that a sidecar serves; empty for an entry.
    engine: str
    settings: SoakSettings
    workspace: Path
    process_: asyncio.subprocess.Process | None = None
    # Whether it has passed a readiness probe since its start.
    seen_ready_: bool = False
    # Number of stops in which it was killed after the grace period.
    grace_timeouts_: int = 0

    @property
    def running(self) -> bool:
        """Check whether the process exists, even if it is suspended by SIGSTOP."""
        return self.process_ is not None and self.process_.returncode is None

    def settings_text(self) -> str:
        """Return the text of the settings file in the platform's format."""
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
        """Start the process and append its output to a log file."""
        self.seen_ready_ = False
        path = self.workspace / f"{self.name}.conf"
        path.write_text(self.settings_text())
        environment = os.environ | {
            SETTINGS_VARIABLE: str(path),
            "PYTHONPATH": str(self.settings.programs or IMPORTED_PROGRAMS),
        }
        module = SIDECAR_MODULE if self.engine else ENTRY_MODULE
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
        """Send a signal to the process if it is still running."""
        if self.running:
            with suppress(ProcessLookupError):
                self.process_.send_signal(number)

    async def stop(self) -> str:
        """Send SIGTERM, kill after the grace; return text on a wrong exit code."""
        process = self.process_
        self.signal(signal.SIGTERM)
        limit = self.settings.stop_grace + STOP_SLACK
        try:
            await asyncio.wait_for(process.wait(), limit.total_seconds())
        except TimeoutError:
            self.signal(signal.SIGKILL)
            await process.wait()
            self.grace_timeouts_ += 1
            return ""
        code = process.returncode
        if code == -signal.SIGTERM and not self.seen_ready_:
            # SIGTERM arrived before the process had installed its signal handler.
            return ""
        return f"ended with {code}" if code else ""

    async def kill(self) -> None:
        """Kill the process and wait until it has exited."""
        self.signal(signal.SIGKILL)
        if self.process_ is not None:
            await self.process_.wait()
