"""The processes of a fleet by name, with their files in one directory."""

import asyncio
from collections.abc import Iterable
from pathlib import Path
from typing import Final

from endivetally_core.joining import Address

from endivetally.fleet.process import FleetError
from endivetally.fleet.process import FleetProcess

LOOPBACK: Final = '127.0.0.1'


class ProcessRegistry:
    """Processes that were started, running or not.

    :param directory: holds ready files, logs, settings and records.
    """

    def __init__(self, directory: Path) -> None:
        self.directory = directory
        self._processes: dict[str, FleetProcess] = {}

    @property
    def crashed(self) -> list[str]:
        """Names of processes that exited without a signal from the fleet."""
        return [name for name, process in self._processes.items() if process.crashed]

    def get(self, name: str) -> FleetProcess:
        """Return the process of that name.

        :raises FleetError: when it was never started.
        """
        process = self._processes.get(name)
        if process is None:
            raise FleetError(f'no process {name}')
        return process

    def list_alive(self, names: Iterable[str]) -> list[FleetProcess]:
        """Return those of the named processes that run."""
        known = [self._processes[name] for name in names if name in self._processes]
        return [process for process in known if process.alive]

    def choose_listen_address(self, name: str) -> Address:
        """Return the former address of a process, else one with a free port."""
        process = self._processes.get(name)
        return Address(LOOPBACK, 0) if process is None else process.address

    def ready_file(self, name: str) -> str:
        """Return the path of a process's ready file."""
        return str(self.directory / f'{name}.ready')

    async def launch(self, name: str, arguments: list[str]) -> FleetProcess:
        """Start a process under a name, or start it anew.

        :raises FleetError: when it does not become ready.
        """
        process = self._processes.get(name)
        if process is None:
            process = FleetProcess(
                name,
                Path(self.ready_file(name)),
                self.directory / f'{name}.log',
            )
            self._processes[name] = process
        await process.start(arguments)
        return process

    async def stop_all(self, prefixes: tuple[str, ...]) -> None:
        """Stop what runs, one prefix of names after another."""
        for prefix in prefixes:
            names = [name for name in self._processes if name.startswith(prefix)]
            stops = [process.stop() for process in self.list_alive(names)]
            await asyncio.gather(*stops)
