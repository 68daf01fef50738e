"""Measures how fast a configuration propagates, and what a joining agent costs."""

import asyncio
import datetime
import re
import time
from typing import Final

from endivetally.capacity.fits import Point
from endivetally.capacity.fleets import hosted_agents
from endivetally.capacity.fleets import running_fleet
from endivetally.capacity.process_usage import read_usage
from endivetally.capacity.recording import Slope
from endivetally.capacity.recording import make_slope
from endivetally.fleet import Fleet
from endivetally.fleet.process import FleetError
from endivetally.fleet.process import FleetProcess

ENTRIES: Final = 4
AGENT_COUNTS: Final = (10, 25, 50, 100)
# Wait for a configuration to propagate. An idle entry gets as long to settle, and
# is then sampled as long.
OBSERVATION_S: Final = 4
# The fleet starts with version 1.
NEW_CONFIG_VERSION: Final = 2
MS_PER_S: Final = 1000
_CONFIG_IN_FORCE_PATTERN: Final = re.compile(
    rf'"time": "([^"]+)".*"text in force".*"version": {NEW_CONFIG_VERSION}',
)


async def measure_config_propagation() -> list[Slope]:
    """Measure the time from submission until every process uses the configuration."""
    points = [await _time_propagation(count) for count in AGENT_COUNTS]
    per = 'agents of 4 entries'
    return [make_slope('text.seconds', 's', per, 'propagation', points)]


async def measure_joining_cpu() -> list[Slope]:
    """Measure the processor time of an entry against the number of joining agents.

    Processor time that the entry would have used when idle is subtracted.
    """
    cpu: list[Point] = []
    for count in AGENT_COUNTS:
        async with running_fleet(entries=1) as fleet:
            entry = fleet.entries[0]
            before = read_usage(entry.pid).cpu_s
            started = time.monotonic()
            async with hosted_agents(fleet, count):
                used_s = read_usage(entry.pid).cpu_s - before
                elapsed_s = time.monotonic() - started
            idle_s = elapsed_s * await _measure_idle_cpu_share(fleet)
            cpu.append(Point(count, (used_s - idle_s) * MS_PER_S))
    return [make_slope('entry.joining.cpu', 'ms', 'joining agents', 'joining', cpu)]


async def _measure_idle_cpu_share(fleet: Fleet) -> float:
    pid = fleet.entries[0].pid
    await asyncio.sleep(OBSERVATION_S)
    before = read_usage(pid).cpu_s
    await asyncio.sleep(OBSERVATION_S)
    return (read_usage(pid).cpu_s - before) / OBSERVATION_S


async def _time_propagation(agents: int) -> Point:
    async with running_fleet(ENTRIES) as fleet, hosted_agents(fleet, agents) as host:
        submitted_at = time.time()
        await fleet.submit_config(fleet.deployment.config, based_on=1)
        await asyncio.sleep(OBSERVATION_S)
        times = _read_times_in_force(host, agents)
        for entry in fleet.entries:
            times.extend(_read_times_in_force(entry, 1))
        return Point(agents, max(times) - submitted_at)


def _read_times_in_force(process: FleetProcess, expected: int) -> list[float]:
    timestamps = _CONFIG_IN_FORCE_PATTERN.findall(process.log)
    if len(timestamps) != expected:
        raise FleetError(
            f'{process.name}: the configuration came into force {len(timestamps)} times'
        )
    return [
        datetime.datetime.fromisoformat(timestamp).timestamp()
        for timestamp in timestamps
    ]
