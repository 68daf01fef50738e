"""The running fleet of a scenario, its callers, operators and start records."""

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
from endivetally.scenarios.network import NetworkShaper
from endivetally.scenarios.operators import Operators
from endivetally.scenarios.process_names import ProcessNames
from endivetally.scenarios.start_records import StartRecords

KEY_RETENTION_S: Final = 900


@dataclass(slots=True)
class Downtime:
    """A period in which a process was stopping, stopped or frozen.

    :param began_at_s: wall time in seconds.
    :param ended_at_s: wall time in seconds; ``None`` while it lasts.
    """

    process: str
    began_at_s: float
    ended_at_s: float | None = None


class Environment:
    """The running fleet of a scenario and everything else that its steps use.

    ``unclean_exits`` describes the stopped processes whose exit code was not 0.

    :param seed: seed of the callers' load balancer.
    """

    def __init__(self, deployment: Deployment, seed: int) -> None:
        self.fleet = Fleet(deployment)
        self.process_names = ProcessNames(deployment)
        self.network = NetworkShaper(self.fleet, self.process_names)
        self.starts = StartRecords(self.fleet)
        self.callers = Callers(self.fleet, seed)
        self.operators = Operators(self.fleet)
        self.downtimes: list[Downtime] = []
        self.unclean_exits: list[str] = []
        self._exit_stack = AsyncExitStack()

    @property
    def deployment(self) -> Deployment:
        """Deployment that the fleet runs."""
        return self.fleet.deployment

    async def __aenter__(self) -> Self:
        """Start the fleet and wait until it is ready."""
        async with AsyncExitStack() as stack:
            await stack.enter_async_context(self.fleet)
            stack.push_async_callback(self._kill_all)
            stack.callback(self.callers.close)
            stack.callback(self.operators.close)
            await self.fleet.start()
            self._exit_stack = stack.pop_all()
        return self

    async def __aexit__(self, *_exception: object) -> None:
        """Kill all processes and release the resources."""
        await self._exit_stack.aclose()

    def find_service_kind(self, service: str) -> ServiceKind:
        """Return the kind of a service.

        :raises KeyError: when the configuration has no such service.
        """
        found = self.deployment.config.find_service(service)
        if found is None:
            raise KeyError(service)
        return found.kind

    def list_available_entries(self) -> list[FleetProcess]:
        """Return the running entries that are neither frozen nor stopping."""
        unavailable = {
            downtime.process for downtime in self.downtimes if not downtime.ended_at_s
        }
        return [entry for entry in self.fleet.entries if entry.name not in unavailable]

    async def find_owner(self, key: str) -> str:
        """Return the name of the entry that owns a key according to the table.

        :raises TableUnavailable: when the table service does not respond.
        """
        return process_name(await self.find_owner_incarnation(key))

    async def find_owner_incarnation(self, key: str) -> str:
        """Return the incarnation that owns a key according to the table."""
        table = HttpTable(self.fleet.table.address)
        try:
            shard_map = await ShardDirectory(
                table,
                retention_s=KEY_RETENTION_S,
            ).refresh()
        finally:
            table.close()
        team = self.deployment.config.teams[0].name
        return shard_map.owners[shard_of(team, key, SHARD_COUNT)]

    def begin_downtime(self, process: str) -> None:
        """Record that a process is about to be frozen, stopped or killed."""
        self.downtimes.append(Downtime(process, time.time()))

    def end_downtime(self, process: str) -> None:
        """Record that a process is running again."""
        for downtime in self.downtimes:
            if downtime.process == process and downtime.ended_at_s is None:
                downtime.ended_at_s = time.time()

    async def _kill_all(self) -> None:
        fleet = self.fleet
        running = (*fleet.entries, *fleet.agents, *fleet.targets, fleet.table)
        await asyncio.gather(*map(FleetProcess.kill, running))
