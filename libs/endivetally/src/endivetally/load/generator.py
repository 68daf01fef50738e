"""Open-loop load generator that sends requests from separate processes."""

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
# Time for the processes to start before the first request is due.
START_DELAY_S: Final = 1.5
# Longest wait of a caller for its response, resubmissions included.
CALLER_TIMEOUT_S: Final = 40
OnStart = Callable[[float], None]


class LoadGenerator:
    """Sends planned requests from several processes and collects their records.

    :param entries: base URLs of the entries, over which the requests are spread.
    :param token: bearer token of the caller.
    :param directory: where the plans and records of the processes are written.
    :param caller_timeout_s: seconds after which a caller gives up, counted from when
        its request was due.
    """

    def __init__(
        self,
        entries: list[str],
        token: str,
        directory: Path,
        caller_timeout_s: float = CALLER_TIMEOUT_S,
    ) -> None:
        self._entries = entries
        self._token = token
        self._directory = directory
        self._caller_timeout_s = caller_timeout_s

    async def run(
        self,
        arrivals: list[Arrival],
        *,
        seed: int,
        on_start: OnStart | None = None,
    ) -> list[LoadRecord]:
        """Send all requests and return a record of each.

        :param seed: seed of the order in which callers try the entries.
        :param on_start: called with the monotonic time at which the load starts.
        :raises ExceptionGroup: with a `FleetError` for each sending process that fails.
        """
        start = time.monotonic() + START_DELAY_S
        if on_start:
            on_start(start)
        processes = count_processes(arrivals)
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
            patience_s=self._caller_timeout_s,
            seed=seed + number,
            arrivals=arrivals,
        )
        plan_file.write_bytes(msgspec.json.encode(plan))
        await _run_python('endivetally.load.sender', str(plan_file), str(records_file))
        return msgspec.json.decode(records_file.read_bytes(), type=list[LoadRecord])


def count_processes(arrivals: list[Arrival]) -> int:
    """Return the number of processes needed to send the requests on time."""
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
        raise FleetError(f'{module} exited with code {code}')
