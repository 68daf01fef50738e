"""Runs the capacity measurements in sequence."""

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
from endivetally.capacity.propagation import measure_config_propagation
from endivetally.capacity.propagation import measure_joining_cpu
from endivetally.capacity.recording import Recording
from endivetally.capacity.recording import Slope
from endivetally.capacity.table_cost import measure_idle_load
from endivetally.capacity.table_cost import measure_journal_load
from endivetally.capacity.table_cost import measure_takeover
from endivetally.capacity.work_cost import measure_job_cost
from endivetally.capacity.work_cost import measure_open_task_memory
from endivetally.capacity.work_cost import measure_request_cost

Measurement = Callable[[], Awaitable[list[Slope]]]

MEASUREMENTS: Final[Mapping[str, Measurement]] = MappingProxyType(
    {
        'entry-control': measure_entry_control,
        'agent-control': measure_agent_control,
        'jobs': measure_job_cost,
        'requests': measure_request_cost,
        'open-tasks': measure_open_task_memory,
        'journal': measure_journal_load,
        'idle-reads': measure_idle_load,
        'takeover': measure_takeover,
        'propagation': measure_config_propagation,
        'joining': measure_joining_cpu,
        'messages': measure_message_sizes,
    },
)


async def measure_all(
    names: tuple[str, ...],
    on_start: Callable[[str], None],
) -> Recording:
    """Run measurements in sequence and return their slopes and the memory floors.

    :param names: keys of `MEASUREMENTS`.
    :param on_start: called with the name of each measurement before it starts.
    """
    slopes: list[Slope] = []
    for name in names:
        on_start(name)
        slopes.extend(await MEASUREMENTS[name]())
    return Recording(
        recorded=datetime.datetime.now(datetime.UTC).isoformat(timespec='minutes'),
        machine=f'{os.cpu_count()} processors, Python {platform.python_version()}',
        slopes=slopes,
        floors=await measure_floors(),
    )
