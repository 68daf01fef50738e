"""Child processes of a fleet: start, signals, exit code and log."""

import asyncio
import contextlib
import os
import signal
import sys
from collections.abc import Mapping
from pathlib import Path
from typing import Final

from endivetally_core.errors import EndivetallyError
from endivetally_core.joining import Address

READY_TIMEOUT_S: Final = 30
STOP_TIMEOUT_S: Final = 20
_POLL_INTERVAL_S: Final = 0.02


class FleetError(EndivetallyError):
    """A process of the fleet did not start or did not behave as required."""


class ChildProcess:
    """A named child process.

    :param log_file: receives standard output and standard error.
    """

    def __init__(self, name: str, log_file: Path) -> None:
        self.name = name
        self._log_file = log_file
        self._process: asyncio.subprocess.Process | None = None
        self._signalled = False

    @property
    def pid(self) -> int:
        """Process id of the most recent start.

        :raises FleetError: before the first start.
        """
        return self._require_process().pid

    @property
    def exit_code(self) -> int | None:
        """Exit code; ``None`` while running or before the first start."""
        return None if self._process is None else self._process.returncode

    @property
    def alive(self) -> bool:
        """Whether the process was started and has not exited."""
        return self._process is not None and self._process.returncode is None

    @property
    def crashed(self) -> bool:
        """Whether the process exited without a signal from the fleet."""
        return self.exit_code is not None and not self._signalled

    @property
    def log(self) -> str:
        """Standard output and standard error of all starts."""
        if not self._log_file.exists():
            return ''
        return self._log_file.read_text(errors='replace')

    async def spawn(
        self, arguments: list[str], environment: Mapping[str, str] | None = None
    ) -> None:
        """Start the process without waiting until it is ready.

        :param arguments: arguments of the Python interpreter.
        :param environment: variables to add to the environment of this process.
        :raises FleetError: when it is already running.
        """
        if self.alive:
            raise FleetError(f'{self.name} is already running')
        self._signalled = False
        with self._log_file.open('ab') as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                *arguments,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={**os.environ, **(environment or {})},
            )

    async def stop(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Send SIGTERM and return the exit code; send SIGKILL after the timeout.

        SIGCONT follows, so that a frozen process handles SIGTERM.
        """
        self._send_signal(signal.SIGTERM)
        self._send_signal(signal.SIGCONT)
        return await self.wait(timeout_s)

    async def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Wait for the exit and return its code; send SIGKILL after the timeout."""
        process = self._require_process()
        try:
            return await asyncio.wait_for(process.wait(), timeout_s)
        except TimeoutError:
            return await self.kill()

    async def kill(self) -> int:
        """Send SIGKILL and return the exit code."""
        self._send_signal(signal.SIGKILL)
        return await self._require_process().wait()

    def terminate(self) -> None:
        """Send SIGTERM without waiting for the exit."""
        self._send_signal(signal.SIGTERM)

    def send_sighup(self) -> None:
        """Send SIGHUP."""
        self._require_process().send_signal(signal.SIGHUP)

    def freeze(self) -> None:
        """Suspend the process with SIGSTOP."""
        self._require_process().send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Resume the process with SIGCONT."""
        self._require_process().send_signal(signal.SIGCONT)

    def _require_process(self) -> asyncio.subprocess.Process:
        if self._process is None:
            raise FleetError(f'{self.name} was never started')
        return self._process

    def _send_signal(self, number: signal.Signals) -> None:
        if self.crashed:
            return
        self._signalled = True
        with contextlib.suppress(ProcessLookupError):
            self._require_process().send_signal(number)


class FleetProcess(ChildProcess):
    """A child process that writes the address of its HTTP server to a ready file.

    :param name: unique name in the fleet.
    :param ready_file: file to which the process writes ``host:port``.
    :param log_file: receives standard output and standard error.
    """

    def __init__(
        self,
        name: str,
        ready_file: Path,
        log_file: Path,
    ) -> None:
        super().__init__(name, log_file)
        self._ready_file = ready_file
        self._address: Address | None = None

    @property
    def address(self) -> Address:
        """Address of the HTTP server at the most recent start.

        :raises FleetError: before the first start.
        """
        if self._address is None:
            raise FleetError(f'{self.name} was never started')
        return self._address

    @property
    def url(self) -> str:
        """Base URL of the HTTP server."""
        return f'http://{self.address}'

    async def start(self, arguments: list[str]) -> None:
        """Start the process and wait until it listens.

        :param arguments: arguments of the Python interpreter.
        :raises FleetError: when it exits early or is not ready in time.
        """
        if not self.alive:
            self._ready_file.unlink(missing_ok=True)
        await self.spawn(arguments)
        self._address = await self._wait_ready()

    async def _wait_ready(self) -> Address:
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                return await self._poll_ready_file()
        except TimeoutError as error:
            await self.kill()
            raise FleetError(
                f'{self.name} did not write its ready file in time'
            ) from error

    async def _poll_ready_file(self) -> Address:
        while self.alive:
            address = self._read_ready_file()
            if address is not None:
                return address
            await asyncio.sleep(_POLL_INTERVAL_S)
        raise FleetError(f'{self.name} exited with code {self.exit_code}: {self.log}')

    def _read_ready_file(self) -> Address | None:
        try:
            content = self._ready_file.read_text().strip()
        except FileNotFoundError:
            return None
        host, _, port = content.rpartition(':')
        return Address(host, int(port)) if port.isdigit() else None
