"""Runs the capacity measurements one after another."""

import datetime
import os
import platform
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
from types import MappingProxyType
from typing import Final

from endivetally.capacity.control_cost import measure_agent_control
from endivetally.capacity.control_cost import measure_entry_control
from endivetally.capacity.floors import measure_floors
from endivetally.capacity.message_sizes import measure_message_sizes
from endivetally.capacity.propagation import measure_joining
from endivetally.capacity.propagation import measure_propagation
from endivetally.capacity.recording import Recording
from endivetally.capacity.recording import Slope
from endivetally.capacity.table_cost import measure_idle_reads
from endivetally.capacity.table_cost import measure_journal
from endivetally.capacity.table_cost import measure_takeover
from endivetally.capacity.work_cost import measure_jobs
from endivetally.capacity.work_cost import measure_open_tasks
from endivetally.capacity.work_cost import measure_requests

Measurement = Callable[[], Awaitable[list[Slope]]]

MEASUREMENTS: Final[Mapping[str, Measurement]] = MappingProxyType(
    {
        'entry-control': measure_entry_control,
        'agent-control': measure_agent_control,
        'jobs': measure_jobs,
        'requests': measure_requests,
        'open-tasks': measure_open_tasks,
        'journal': measure_journal,
        'idle-reads': measure_idle_reads,
        'takeover': measure_takeover,
        'propagation': measure_propagation,
        'joining': measure_joining,
        'messages': measure_message_sizes,
    },
)


async def measure_all(
    names: tuple[str, ...],
    on_step: Callable[[str], None],
) -> Recording:
    """Run measurements and return what they gave.

    :param names: names out of `MEASUREMENTS`.
    :param on_step: told of each measurement before it starts.
    """
    slopes: list[Slope] = []
    for name in names:
        on_step(name)
        slopes.extend(await MEASUREMENTS[name]())
    return Recording(
        recorded=datetime.datetime.now(datetime.UTC).isoformat(timespec='minutes'),
        machine=f'{os.cpu_count()} processors, Python {platform.python_version()}',
        slopes=slopes,
        floors=await measure_floors(),
    )
