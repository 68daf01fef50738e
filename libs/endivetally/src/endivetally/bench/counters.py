"""Reads message counters, CPU times and task starts of a running fleet."""

import asyncio
from collections import Counter
from typing import Final

import msgspec
import psutil

from endivetally.bench.messages import parse_message_counts
from endivetally.fleet import Fleet
from endivetally.fleet.client import ProcessUnreachable
from endivetally.fleet.process import FleetProcess

# Prefix of the process name, before the hyphen.
ROLES: Final = ('entry', 'agent', 'target', 'table')


class FleetCounters:
    """Sums message counters and CPU time of all processes since `record_start`.

    Processes started later are included. Call `record_before_kill` before a process
    is killed, or its counts are lost.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._messages: Counter[str] = Counter()
        self._cpu_s: dict[str, float] = dict.fromkeys(ROLES, float(0))

    async def record_start(self) -> None:
        """Subtract the current counts, so that only later ones are included."""
        await self._add(self._all_processes(), sign=-1)

    async def record_before_kill(self, process: FleetProcess) -> None:
        """Add the counts of a process that is about to be killed."""
        await self._add([process], sign=1)

    async def record_end(self) -> None:
        """Add the final counts of the running processes."""
        await self._add(self._all_processes(), sign=1)

    @property
    def messages(self) -> Counter[str]:
        """Number of messages that entries and agents sent, by message class."""
        return self._messages

    @property
    def cpu_s(self) -> dict[str, float]:
        """CPU time in seconds, by role."""
        return self._cpu_s

    def _all_processes(self) -> list[FleetProcess]:
        fleet = self._fleet
        return [*fleet.entries, *fleet.agents, *fleet.targets, fleet.table]

    async def _add(self, processes: list[FleetProcess], sign: int) -> None:
        counts = await asyncio.gather(
            *(self._read_messages(process) for process in processes)
        )
        for process, sent in zip(processes, counts, strict=True):
            role = process.name.partition('-')[0]
            self._cpu_s[role] += sign * _read_cpu_s(process)
            for name, count in sent.items():
                self._messages[name] += sign * count

    async def _read_messages(self, process: FleetProcess) -> Counter[str]:
        if not process.name.startswith(('entry-', 'agent-')):
            return Counter()
        try:
            response = await self._fleet.client.get(f'{process.url}/metrics')
        except ProcessUnreachable:
            return Counter()
        return parse_message_counts(response.body.decode())


class StartRecord(msgspec.Struct, frozen=True):
    """Line that a target writes to its record file when it starts a task.

    :param id: the task's id, from its payload.
    """

    id: str


def count_starts(fleet: Fleet) -> Counter[str]:
    """Return how many times each task was started on all targets, by task id."""
    starts: Counter[str] = Counter()
    for worker in fleet.deployment.workers:
        record_file = fleet.get_record_file(worker.target)
        if record_file.exists():
            for line in record_file.read_bytes().splitlines():
                starts[msgspec.json.decode(line, type=StartRecord).id] += 1
    return starts


def _read_cpu_s(process: FleetProcess) -> float:
    try:
        times = psutil.Process(process.pid).cpu_times()
    except psutil.NoSuchProcess:
        return 0
    return float(times.user + times.system)
