"""Starts the processes of a deployment on loopback and stops them again.

Used only by the demo, the benchmark and scenarios: no daemon starts another
process.
"""

import asyncio
import tempfile
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Final
from typing import Self

import msgspec
from endivetally_config.operator_config import OperatorConfig
from endivetally_core.joining import Address
from endivetally_core.status import EntryStatus

from endivetally.fleet.client import FleetClient
from endivetally.fleet.commands import TABLE
from endivetally.fleet.commands import build_agent_arguments
from endivetally.fleet.commands import build_entry_arguments
from endivetally.fleet.commands import build_table_arguments
from endivetally.fleet.commands import build_target_arguments
from endivetally.fleet.deployment import OPERATOR_TOKEN
from endivetally.fleet.deployment import Deployment
from endivetally.fleet.deployment import EntryPlacement
from endivetally.fleet.deployment import Worker
from endivetally.fleet.process import FleetError
from endivetally.fleet.process import FleetProcess
from endivetally.fleet.registry import ProcessRegistry

__all__ = ('Fleet', 'FleetError', 'FleetProcess')

READY_TIMEOUT_S: Final = 30
OPEN_STATE: Final = 'open'
_POLL_INTERVAL_S: Final = 0.1
_STOP_ORDER: Final = ('target-', 'agent-', 'entry-', TABLE)


class Fleet:
    """Asynchronous context manager that runs the processes of a deployment.

    :param deployment: processes to start and the configuration to submit.
    """

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.client = FleetClient(OPERATOR_TOKEN)
        self._exit_stack = AsyncExitStack()
        self._registry = ProcessRegistry(Path())

    @property
    def directory(self) -> Path:
        """Directory of settings, logs and start records; removed on exit."""
        return self._registry.directory

    @property
    def table(self) -> FleetProcess:
        """Stand-in of the platform's table service."""
        return self._registry.get_process(TABLE)

    @property
    def entries(self) -> list[FleetProcess]:
        """Running entries, in the order of the deployment."""
        return self._registry.list_alive(
            placement.name for placement in self.deployment.entries
        )

    @property
    def agents(self) -> list[FleetProcess]:
        """Running agents, in the order of the deployment."""
        return self._registry.list_alive(
            worker.agent for worker in self.deployment.workers
        )

    @property
    def targets(self) -> list[FleetProcess]:
        """Running targets, in the order of the deployment."""
        return self._registry.list_alive(
            worker.target for worker in self.deployment.workers
        )

    @property
    def crashed(self) -> list[str]:
        """Names of processes that exited without a signal from the fleet."""
        return self._registry.crashed

    def get_process(self, name: str) -> FleetProcess:
        """Return the process with this name, running or not.

        :raises FleetError: when it was never started.
        """
        return self._registry.get_process(name)

    def get_record_file(self, target: str) -> Path:
        """Return the path of the file to which a target records task starts."""
        return self.directory / f'{target}.record.jsonl'

    async def __aenter__(self) -> Self:
        """Create the directory without starting any process."""
        directory = tempfile.TemporaryDirectory(prefix='endivetally-')
        self._registry = ProcessRegistry(
            Path(self._exit_stack.enter_context(directory))
        )
        self._exit_stack.callback(self.client.close)
        self._exit_stack.push_async_callback(self._registry.stop_all, _STOP_ORDER)
        return self

    async def __aexit__(self, *_: object) -> None:
        """Stop all processes and remove the directory."""
        await self._exit_stack.aclose()

    async def start(self) -> None:
        """Start all processes, wait until entries are ready and apply latencies."""
        await self.start_daemons()
        await self.start_targets()
        await self.wait_until_ready()
        await self.apply_latencies()

    async def start_daemons(self) -> None:
        """Start the table service, entries and agents; submit the configuration.

        Entries start one after another, so that each one is a seed of the next.
        """
        await self.start_table()
        for placement in self.deployment.entries:
            await self.start_entry(placement)
        await self.submit_config(self.deployment.config, based_on=0)
        async with asyncio.TaskGroup() as starts:
            for worker in self.deployment.workers:
                starts.create_task(self.start_agent(worker))

    async def start_targets(self) -> None:
        """Start the targets of all workers concurrently."""
        async with asyncio.TaskGroup() as starts:
            for worker in self.deployment.workers:
                starts.create_task(self.start_target(worker))

    async def start_table(self) -> FleetProcess:
        """Start the stand-in of the platform's table service."""
        return await self._registry.launch(TABLE, build_table_arguments(self._registry))

    async def start_entry(self, placement: EntryPlacement) -> FleetProcess:
        """Start an entry, or restart it at its previous address."""
        seeds = self._list_seeds(placement.name)
        arguments = build_entry_arguments(
            self._registry, placement, self.deployment, seeds
        )
        return await self._registry.launch(placement.name, arguments)

    async def start_agent(self, worker: Worker) -> FleetProcess:
        """Start an agent, or restart it at its previous address."""
        arguments = build_agent_arguments(
            self._registry, worker, self._list_seeds(worker.agent)
        )
        return await self._registry.launch(worker.agent, arguments)

    async def start_target(self, worker: Worker) -> FleetProcess:
        """Start a target, whose agent must have been started before."""
        arguments = build_target_arguments(
            self._registry,
            worker,
            self.deployment,
            str(self.get_record_file(worker.target)),
        )
        return await self._registry.launch(worker.target, arguments)

    async def submit_config(self, config: OperatorConfig, based_on: int) -> None:
        """Submit a configuration to the first entry.

        :param based_on: version on which the configuration is based.
        :raises FleetError: when the configuration is rejected.
        """
        async with asyncio.timeout(READY_TIMEOUT_S):
            await self.client.submit_config(self.entries[0].url, config, based_on)

    async def wait_until_ready(self, version: int = 1) -> None:
        """Wait until all entries are open and configured, and see all targets as open.

        :param version: oldest configuration version that is accepted.
        :raises FleetError: when the timeout expires.
        """
        expected = len(self.targets)
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                for entry in self.entries:
                    await self._wait_until_entry_ready(entry, version, expected)
        except TimeoutError as error:
            raise FleetError(
                'entries were not ready, or did not see every target as open, in time'
            ) from error

    async def apply_latencies(self) -> None:
        """Apply the latency between data centres to every entry and agent."""
        data_centre_of = {
            placement.name: placement.data_centre
            for placement in self.deployment.entries
        }
        for worker in self.deployment.workers:
            data_centre_of[worker.agent] = worker.data_centre
        for process in (*self.entries, *self.agents):
            rules = self.deployment.build_latency_rules(data_centre_of[process.name])
            await self.client.apply_shaping(process.url, rules)

    async def set_faults(self, process: FleetProcess, faults: msgspec.Struct) -> None:
        """Replace the faults of a stand-in.

        :raises ProcessUnreachable: when the stand-in does not respond.
        """
        await self.client.post(f'{process.url}/faults', msgspec.json.encode(faults))

    def _list_seeds(self, name: str) -> tuple[Address, ...]:
        return tuple(entry.address for entry in self.entries if entry.name != name)

    async def _wait_until_entry_ready(
        self,
        entry: FleetProcess,
        version: int,
        expected_targets: int,
    ) -> None:
        while True:
            status = await self.client.fetch_status(entry.url)
            if status and _is_ready(status, version, expected_targets):
                return
            await asyncio.sleep(_POLL_INTERVAL_S)


def _is_ready(status: EntryStatus, version: int, expected_targets: int) -> bool:
    current = status.version >= version and status.state == OPEN_STATE
    return current and status.open_target_count >= expected_targets
