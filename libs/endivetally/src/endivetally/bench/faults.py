"""Faults that the bench brings about during a run."""

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

FAULT_START_SHARE: Final = 0.25
FAULT_END_SHARE: Final = 0.6
STRAGGLER_FACTOR: Final = 10


class Fault(ABC):
    """Something that goes wrong for a part of the run."""

    @abstractmethod
    async def inject(self, fleet: Fleet, counters: FleetCounters) -> None:
        """Bring the fault about."""

    @abstractmethod
    async def revert(self, fleet: Fleet, counters: FleetCounters) -> None:
        """Take it back or replace what was lost."""


class NoFault(Fault):
    """Nothing goes wrong."""

    async def inject(self, fleet: Fleet, counters: FleetCounters) -> None:
        """Do nothing."""

    async def revert(self, fleet: Fleet, counters: FleetCounters) -> None:
        """Do nothing."""


class TargetFault(Fault):
    """The first worker of the first service misbehaves.

    :param faults: what its target does meanwhile.
    """

    def __init__(self, faults: TargetFaults) -> None:
        self._faults = faults

    async def inject(self, fleet: Fleet, counters: FleetCounters) -> None:
        """Switch the target's faults on."""
        await fleet.set_faults(fleet.targets[0], self._faults)

    async def revert(self, fleet: Fleet, counters: FleetCounters) -> None:
        """Switch them off."""
        await fleet.set_faults(fleet.targets[0], TargetFaults())


class TableOutage(Fault):
    """The table service answers nothing."""

    async def inject(self, fleet: Fleet, counters: FleetCounters) -> None:
        """Switch the table service off."""
        await fleet.set_faults(fleet.table, TableFaults(down=True))

    async def revert(self, fleet: Fleet, counters: FleetCounters) -> None:
        """Switch it on again."""
        await fleet.set_faults(fleet.table, TableFaults())


class EntryKill(Fault):
    """The last entry is killed; its replacement starts later."""

    async def inject(self, fleet: Fleet, counters: FleetCounters) -> None:
        """Kill the entry."""
        place = fleet.deployment.entries[-1]
        entry = fleet.process(place.name)
        await counters.record_before_kill(entry)
        await entry.kill()

    async def revert(self, fleet: Fleet, counters: FleetCounters) -> None:
        """Start the replacement."""
        await fleet.start_entry(fleet.deployment.entries[-1])


class RackLoss(Fault):
    """The workers of the first rack are killed, and replaced later."""

    async def inject(self, fleet: Fleet, counters: FleetCounters) -> None:
        """Kill agents and targets of the rack at once."""
        workers = self._workers(fleet)
        names = [worker.agent for worker in workers]
        names += [worker.target for worker in workers]
        processes = [fleet.process(name) for name in names]
        await asyncio.gather(*map(counters.record_before_kill, processes))
        await asyncio.gather(*map(FleetProcess.kill, processes))

    async def revert(self, fleet: Fleet, counters: FleetCounters) -> None:
        """Start the replacements."""
        for worker in self._workers(fleet):
            await fleet.start_agent(worker)
            await fleet.start_target(worker)

    def _workers(self, fleet: Fleet) -> list[Worker]:
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
    """Bring a fault about for the middle of a run.

    :param seconds: length of the run, which begins now.
    """
    await asyncio.sleep(seconds * FAULT_START_SHARE)
    await fault.inject(fleet, counters)
    await asyncio.sleep(seconds * (FAULT_END_SHARE - FAULT_START_SHARE))
    await fault.revert(fleet, counters)
