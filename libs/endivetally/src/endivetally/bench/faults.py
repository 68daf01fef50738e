"""Fault injection: faults that a bench run causes and reverts."""

import asyncio
from abc import ABC
from abc import abstractmethod
from collections.abc import Mapping
from typing import Final

from endivetally_standins.target import Faults as TargetFaults
from endivetally_table.memory import TableFaults

from endivetally.bench.counters import FleetCounters
from endivetally.fleet import Fleet
from endivetally.fleet.deployment import Worker
from endivetally.fleet.process import FleetProcess

# A fault starts and ends after these shares of the duration of a run.
FAULT_START_SHARE: Final = 0.25
FAULT_END_SHARE: Final = 0.6
# Run times on a straggler are multiplied by this factor.
STRAGGLER_FACTOR: Final = 10


class Fault(ABC):
    """A fault that lasts for the middle part of a run."""

    @abstractmethod
    async def inject(self, fleet: Fleet, counters: FleetCounters) -> None:
        """Cause the fault.

        :param counters: records the counts of every process that is killed.
        """

    @abstractmethod
    async def revert(self, fleet: Fleet, counters: FleetCounters) -> None:
        """End the fault, or start replacements for the processes that were killed."""


class NoFault(Fault):
    """A run without a fault."""

    async def inject(self, fleet: Fleet, counters: FleetCounters) -> None:
        """Do nothing."""

    async def revert(self, fleet: Fleet, counters: FleetCounters) -> None:
        """Do nothing."""


class TargetFault(Fault):
    """The target on the first worker of the first service misbehaves.

    :param faults: how the target misbehaves during the fault.
    """

    def __init__(self, faults: TargetFaults) -> None:
        self._faults = faults

    async def inject(self, fleet: Fleet, counters: FleetCounters) -> None:
        """Make the target misbehave."""
        await fleet.set_faults(fleet.targets[0], self._faults)

    async def revert(self, fleet: Fleet, counters: FleetCounters) -> None:
        """Make the target work normally again."""
        await fleet.set_faults(fleet.targets[0], TargetFaults())


class TableOutage(Fault):
    """The table service responds to no request."""

    async def inject(self, fleet: Fleet, counters: FleetCounters) -> None:
        """Stop the table service from responding."""
        await fleet.set_faults(fleet.table, TableFaults(down=True))

    async def revert(self, fleet: Fleet, counters: FleetCounters) -> None:
        """Let the table service respond again."""
        await fleet.set_faults(fleet.table, TableFaults())


class EntryKill(Fault):
    """The last entry is killed; a replacement starts when the fault ends."""

    async def inject(self, fleet: Fleet, counters: FleetCounters) -> None:
        """Kill the entry."""
        placement = fleet.deployment.entries[-1]
        entry = fleet.get_process(placement.name)
        await counters.record_before_kill(entry)
        await entry.kill()

    async def revert(self, fleet: Fleet, counters: FleetCounters) -> None:
        """Start an entry in place of the killed one."""
        await fleet.start_entry(fleet.deployment.entries[-1])


class RackLoss(Fault):
    """All workers of the first rack are killed, and replaced when the fault ends."""

    async def inject(self, fleet: Fleet, counters: FleetCounters) -> None:
        """Kill all agents and targets of the rack at the same time."""
        workers = self._first_rack_workers(fleet)
        names = [worker.agent for worker in workers]
        names += [worker.target for worker in workers]
        processes = [fleet.get_process(name) for name in names]
        await asyncio.gather(*map(counters.record_before_kill, processes))
        await asyncio.gather(*map(FleetProcess.kill, processes))

    async def revert(self, fleet: Fleet, counters: FleetCounters) -> None:
        """Start an agent and a target for each worker of the rack."""
        for worker in self._first_rack_workers(fleet):
            await fleet.start_agent(worker)
            await fleet.start_target(worker)

    def _first_rack_workers(self, fleet: Fleet) -> list[Worker]:
        workers = fleet.deployment.workers
        return [worker for worker in workers if worker.rack == workers[0].rack]


FAULTS: Final[Mapping[str, Fault]] = {
    'none': NoFault(),
    'black-hole': TargetFault(TargetFaults(fail_all=True)),
    'straggler': TargetFault(TargetFaults(slow_factor=STRAGGLER_FACTOR)),
    'platform-down': TableOutage(),
    'entry-kill': EntryKill(),
    'rack-loss': RackLoss(),
}


async def inject_during_run(
    fault: Fault,
    fleet: Fleet,
    counters: FleetCounters,
    seconds: float,
) -> None:
    """Inject a fault into the middle part of a run, which starts now.

    :param counters: records the counts of processes that the fault kills.
    :param seconds: duration of the run.
    """
    await asyncio.sleep(seconds * FAULT_START_SHARE)
    await fault.inject(fleet, counters)
    await asyncio.sleep(seconds * (FAULT_END_SHARE - FAULT_START_SHARE))
    await fault.revert(fleet, counters)
