"""Measures the processor time and memory that requests, jobs and tasks take."""

import asyncio
from collections.abc import Sequence
from contextlib import closing
from typing import Final

from endivetally.capacity.caller import LOOKUP_SERVICE
from endivetally.capacity.caller import NOTE_SERVICE
from endivetally.capacity.caller import CapacityCaller
from endivetally.capacity.fits import Point
from endivetally.capacity.fleets import running_fleet
from endivetally.capacity.process_usage import read_link_counters
from endivetally.capacity.process_usage import read_usage
from endivetally.capacity.recording import Slope
from endivetally.capacity.recording import make_slope
from endivetally.fleet import Fleet
from endivetally.fleet.process import FleetProcess

RUN_NAME: Final = 'work'
WORKERS: Final = 4
WARM_UP_JOBS: Final = 5
# Pairs of the number of tasks in a job and the number of jobs of that size.
JOB_SIZES: Final = ((1, 1600), (50, 100), (200, 30), (600, 10), (1800, 4))
JOB_CONCURRENCY: Final = 8
REQUEST_COUNTS: Final = (250, 500, 1000, 2000)
REQUEST_CONCURRENCY: Final = 8
OPEN_TASK_COUNTS: Final = (0, 900, 1800, 3600, 7200)
TASKS_PER_OPEN_JOB: Final = 450
OPEN_TASK_RUN_MS: Final = 20_000
# Wait after the jobs are submitted, before the memory is read.
OPEN_SETTLE_S: Final = 2
# Converts seconds to milliseconds, and megabytes to kilobytes.
KILO: Final = 1000


class CpuMeter:
    """Measures the processor time that processes use after its creation."""

    def __init__(self, processes: Sequence[FleetProcess]) -> None:
        self._processes = processes
        self._start_cpu_s = self._read_cpu_s()

    @property
    def used_ms(self) -> float:
        """Processor time of all processes together, in milliseconds."""
        return (self._read_cpu_s() - self._start_cpu_s) * KILO

    def _read_cpu_s(self) -> float:
        return sum(read_usage(process.pid).cpu_s for process in self._processes)


async def measure_job_cost() -> list[Slope]:
    """Measure processor time and frames per job against its number of tasks."""
    entry_points: list[Point] = []
    agent_points: list[Point] = []
    frame_points: list[Point] = []
    async with running_fleet(entries=1, workers=WORKERS) as fleet:
        with closing(CapacityCaller(fleet)) as caller:
            await caller.submit_jobs(WARM_UP_JOBS, TASKS_PER_OPEN_JOB, concurrency=1)
            for tasks, jobs in JOB_SIZES:
                frames = await _read_frame_count(fleet)
                entry, agents = CpuMeter(fleet.entries), CpuMeter(fleet.agents)
                await caller.submit_jobs(jobs, tasks, JOB_CONCURRENCY)
                entry_points.append(Point(tasks, entry.used_ms / jobs))
                agent_points.append(Point(tasks, agents.used_ms / jobs))
                sent = await _read_frame_count(fleet) - frames
                frame_points.append(Point(tasks, sent / jobs))
    per = 'tasks in a job'
    return [
        make_slope('entry.job.cpu', 'ms', per, RUN_NAME, entry_points),
        make_slope('agent.job.cpu', 'ms', per, RUN_NAME, agent_points),
        make_slope('entry.job.frames', 'frames', per, RUN_NAME, frame_points),
    ]


async def measure_request_cost() -> list[Slope]:
    """Measure processor time and memory against the number of single requests."""
    slopes: list[Slope] = []
    for service in (LOOKUP_SERVICE, NOTE_SERVICE):
        async with running_fleet(entries=1, workers=WORKERS) as fleet:
            slopes.extend(await _measure_service_cost(fleet, service))
    return slopes


async def _measure_service_cost(fleet: Fleet, service: str) -> list[Slope]:
    cpu: list[Point] = []
    agent_cpu: list[Point] = []
    memory: list[Point] = []
    agent_memory: list[Point] = []
    total = 0
    with closing(CapacityCaller(fleet)) as caller:
        await _submit_requests(caller, service, REQUEST_COUNTS[0])
        for count in REQUEST_COUNTS:
            entry, agents = CpuMeter(fleet.entries), CpuMeter(fleet.agents)
            await _submit_requests(caller, service, count)
            total += count
            cpu.append(Point(count, entry.used_ms))
            agent_cpu.append(Point(count, agents.used_ms))
            memory.append(Point(total, _private_kb(fleet.entries)))
            agent_memory.append(Point(total, _private_kb(fleet.agents)))
    per_request = 'requests'
    per_key = 'remembered keys'
    return [
        make_slope(f'entry.{service}.cpu', 'ms', per_request, RUN_NAME, cpu),
        make_slope(f'agent.{service}.cpu', 'ms', per_request, RUN_NAME, agent_cpu),
        make_slope(f'entry.{service}.memory', 'kB', per_key, RUN_NAME, memory),
        make_slope(f'agent.{service}.memory', 'kB', per_key, RUN_NAME, agent_memory),
    ]


async def measure_open_task_memory() -> list[Slope]:
    """Measure the memory of an entry against the number of tasks in progress."""
    points: list[Point] = []
    for tasks in OPEN_TASK_COUNTS:
        async with running_fleet(entries=1, workers=WORKERS) as fleet:
            with closing(CapacityCaller(fleet)) as caller:
                jobs = [
                    asyncio.create_task(
                        caller.submit_job(TASKS_PER_OPEN_JOB, OPEN_TASK_RUN_MS)
                    )
                    for _ in range(tasks // TASKS_PER_OPEN_JOB)
                ]
                await asyncio.sleep(OPEN_SETTLE_S)
                points.append(Point(tasks, _private_kb(fleet.entries)))
                for job in jobs:
                    job.cancel()
                await asyncio.gather(*jobs, return_exceptions=True)
                for process in (*fleet.targets, *fleet.agents, *fleet.entries):
                    await process.kill()
    return [
        make_slope('entry.open.memory', 'kB', 'tasks in progress', RUN_NAME, points)
    ]


async def _submit_requests(caller: CapacityCaller, service: str, count: int) -> None:
    for _ in range(count // REQUEST_CONCURRENCY):
        async with asyncio.TaskGroup() as group:
            for _ in range(REQUEST_CONCURRENCY):
                group.create_task(caller.submit_request(service))


async def _read_frame_count(fleet: Fleet) -> int:
    totals = await read_link_counters(fleet, fleet.entries[0])
    return totals.frames + totals.received_frames


def _private_kb(processes: Sequence[FleetProcess]) -> float:
    megabytes = sum(read_usage(process.pid).private_mb for process in processes)
    return megabytes * KILO
