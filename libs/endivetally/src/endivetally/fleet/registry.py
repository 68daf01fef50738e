"""Processes of a fleet by name, with their files in one directory."""

import asyncio
from collections.abc import Iterable
from pathlib import Path
from typing import Final

from endivetally_core.joining import Address

from endivetally.fleet.process import FleetError
from endivetally.fleet.process import FleetProcess

LOOPBACK: Final = '127.0.0.1'


class ProcessRegistry:
    """All processes that were started, whether they still run or not.

    :param directory: contains ready files, logs, settings and start records.
    """

    def __init__(self, directory: Path) -> None:
        self.directory = directory
        self._processes: dict[str, FleetProcess] = {}

    @property
    def crashed(self) -> list[str]:
        """Names of processes that exited without a signal from the fleet."""
        return [name for name, process in self._processes.items() if process.crashed]

    def get_process(self, name: str) -> FleetProcess:
        """Return the process with this name, running or not.

        :raises FleetError: when it was never started.
        """
        process = self._processes.get(name)
        if process is None:
            raise FleetError(f'process was never started: {name}')
        return process

    def list_alive(self, names: Iterable[str]) -> list[FleetProcess]:
        """Return the running processes among the named ones."""
        known = [self._processes[name] for name in names if name in self._processes]
        return [process for process in known if process.alive]

    def choose_listen_address(self, name: str) -> Address:
        """Return the previous address of a process, or port 0 for a new one."""
        process = self._processes.get(name)
        return Address(LOOPBACK, 0) if process is None else process.address

    def get_ready_file(self, name: str) -> str:
        """Return the path of a process's ready file."""
        return str(self.directory / f'{name}.ready')

    async def launch(self, name: str, arguments: list[str]) -> FleetProcess:
        """Start a process under a name, or restart it.

        :raises FleetError: when it does not become ready.
        """
        process = self._processes.get(name)
        if process is None:
            process = FleetProcess(
                name,
                Path(self.get_ready_file(name)),
                self.directory / f'{name}.log',
            )
            self._processes[name] = process
        await process.start(arguments)
        return process

    async def stop_all(self, prefixes: tuple[str, ...]) -> None:
        """Stop all running processes.

        :param prefixes: name prefixes; processes that share one stop concurrently, and
            before those of the next one.
        """
        for prefix in prefixes:
            names = [name for name in self._processes if name.startswith(prefix)]
            stops = [process.stop() for process in self.list_alive(names)]
            await asyncio.gather(*stops)
