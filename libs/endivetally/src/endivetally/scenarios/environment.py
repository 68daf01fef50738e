"""The running fleet of a scenario with its callers, operators and records."""

import asyncio
import time
from contextlib import AsyncExitStack
from dataclasses import dataclass
from typing import Final
from typing import Self

from endivetally_config.operator_config import ServiceKind
from endivetally_core.identifiers import process_name
from endivetally_core.identifiers import shard_of
from endivetally_table.directory import ShardDirectory
from endivetally_table.http import HttpTable
from endivetally_table.shards import SHARD_COUNT

from endivetally.fleet import Fleet
from endivetally.fleet.deployment import Deployment
from endivetally.fleet.process import FleetProcess
from endivetally.scenarios.callers import Callers
from endivetally.scenarios.network import Network
from endivetally.scenarios.places import Places
from endivetally.scenarios.starts import StartRecords
from endivetally.scenarios.texts import Operators

KEY_RETENTION_S: Final = 900


@dataclass(slots=True)
class Absence:
    """A time in which a process was stopped, leaving or frozen.

    :param ended_s: wall time; ``None`` while it lasts.
    """

    process: str
    began_s: float
    ended_s: float | None = None


class Stage:
    """All that the steps of one scenario act on.

    :param seed: seed of the callers' choices.
    """

    def __init__(self, deployment: Deployment, seed: int) -> None:
        self.fleet = Fleet(deployment)
        self.places = Places(deployment)
        self.network = Network(self.fleet, self.places)
        self.starts = StartRecords(self.fleet)
        self.callers = Callers(self.fleet, seed)
        self.operators = Operators(self.fleet)
        self.absences: list[Absence] = []
        self.unclean_stops: list[str] = []
        self._stack = AsyncExitStack()

    @property
    def deployment(self) -> Deployment:
        """What was started."""
        return self.fleet.deployment

    async def __aenter__(self) -> Self:
        """Start the fleet and wait until it is ready."""
        async with AsyncExitStack() as stack:
            await stack.enter_async_context(self.fleet)
            stack.push_async_callback(self._kill_all)
            stack.callback(self.callers.close)
            stack.callback(self.operators.close)
            await self.fleet.start()
            self._stack = stack.pop_all()
        return self

    async def __aexit__(self, *_exception: object) -> None:
        """End the fleet."""
        await self._stack.aclose()

    def kind_of(self, service: str) -> ServiceKind:
        """Return the kind of a service."""
        found = self.deployment.text.find_service(service)
        if found is None:
            raise KeyError(service)
        return found.kind

    def running_entries(self) -> list[FleetProcess]:
        """Return the entries that run and are not frozen or leaving."""
        away = {absence.process for absence in self.absences if not absence.ended_s}
        return [entry for entry in self.fleet.entries if entry.name not in away]

    async def owner_of(self, key: str) -> str:
        """Return the name of the entry that owns a key, by the table."""
        return process_name(await self.owner_incarnation(key))

    async def owner_incarnation(self, key: str) -> str:
        """Return the incarnation that owns a key, by the table."""
        table = HttpTable(self.fleet.table.address)
        try:
            shard_map = await ShardDirectory(
                table,
                retention_s=KEY_RETENTION_S,
            ).refresh()
        finally:
            table.close()
        team = self.deployment.text.teams[0].name
        return shard_map.owners[shard_of(team, key, SHARD_COUNT)]

    def begin_absence(self, process: str) -> None:
        """Note that a process is about to be frozen, stopped or killed."""
        self.absences.append(Absence(process, time.time()))

    def end_absence(self, process: str) -> None:
        """Note that a process is back."""
        for absence in self.absences:
            if absence.process == process and absence.ended_s is None:
                absence.ended_s = time.time()

    async def _kill_all(self) -> None:
        fleet = self.fleet
        running = (*fleet.entries, *fleet.agents, *fleet.targets, fleet.table)
        await asyncio.gather(*map(FleetProcess.kill, running))
