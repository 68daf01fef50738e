"""Open-loop load from processes of its own."""

import asyncio
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Final

import msgspec

from endivetally.fleet.process import FleetError
from endivetally.load.mix import Arrival
from endivetally.load.sender import LoadPlan
from endivetally.load.sender import LoadRecord

REQUESTS_PER_S_PER_PROCESS: Final = 150
MAX_PROCESSES: Final = 4
START_DELAY_S: Final = 1.5
PATIENCE_S: Final = 40
OnStart = Callable[[float], None]


class LoadGenerator:
    """Sends planned arrivals from several processes and collects the records.

    :param entries: base URLs of the entries; the balancer spreads over them.
    :param directory: for the plans and records.
    """

    def __init__(
        self,
        entries: list[str],
        token: str,
        directory: Path,
        patience_s: float = PATIENCE_S,
    ) -> None:
        self._entries = entries
        self._token = token
        self._directory = directory
        self._patience_s = patience_s

    async def run(
        self,
        arrivals: list[Arrival],
        *,
        seed: int,
        on_start: OnStart | None = None,
    ) -> list[LoadRecord]:
        """Send all arrivals and return a record of each.

        :param on_start: told the monotonic clock at which the load starts.
        """
        start = time.monotonic() + START_DELAY_S
        if on_start:
            on_start(start)
        processes = processes_for(arrivals)
        async with asyncio.TaskGroup() as group:
            tasks = [
                group.create_task(
                    self._run_process(number, arrivals[number::processes], start, seed),
                )
                for number in range(processes)
            ]
        return [record for task in tasks for record in task.result()]

    async def _run_process(
        self,
        number: int,
        arrivals: list[Arrival],
        start: float,
        seed: int,
    ) -> list[LoadRecord]:
        plan_file = self._directory / f'load-{number}.plan.json'
        records_file = self._directory / f'load-{number}.records.json'
        plan = LoadPlan(
            start=start,
            entries=self._entries,
            token=self._token,
            patience_s=self._patience_s,
            seed=seed + number,
            arrivals=arrivals,
        )
        plan_file.write_bytes(msgspec.json.encode(plan))
        await _run_python('endivetally.load.sender', str(plan_file), str(records_file))
        return msgspec.json.decode(records_file.read_bytes(), type=list[LoadRecord])


def processes_for(arrivals: list[Arrival]) -> int:
    """Return how many processes send these arrivals without falling behind."""
    if not arrivals:
        return 1
    per_s = len(arrivals) / max(arrivals[-1].at_s, 1)
    return min(MAX_PROCESSES, int(per_s // REQUESTS_PER_S_PER_PROCESS) + 1)


async def _run_python(module: str, *arguments: str) -> None:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        module,
        *arguments,
    )
    try:
        code = await process.wait()
    except asyncio.CancelledError:
        process.terminate()
        await process.wait()
        raise
    if code:
        raise FleetError(f'{module} exited with {code}')
