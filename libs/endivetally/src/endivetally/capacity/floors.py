"""Measures the memory of an interpreter that has only imported modules."""

import asyncio
import sys
from typing import Final

import msgspec

from endivetally.capacity.recording import MemoryFloor

# Name of each memory floor, with the modules that the interpreter imports.
FLOOR_IMPORTS: Final = (
    ('python', ''),
    ('asyncio', 'asyncio'),
    ('tornado', 'asyncio, tornado.httpserver, tornado.web, tornado.simple_httpclient'),
    ('msgspec', 'msgspec'),
    ('pynng', 'pynng'),
    ('aioprometheus', 'aioprometheus'),
    (
        'libraries',
        'tornado.httpserver, tornado.web, tornado.simple_httpclient, '
        'msgspec, pynng, xxhash, aioprometheus',
    ),
    ('agent', 'endivetally_agent.agent'),
    ('entry', 'endivetally_entry.lifecycle'),
)
MEMORY_SCRIPT: Final = (
    'import sys\n'
    'for name in sys.argv[1].split(", "):\n'
    '    name and __import__(name)\n'
    'fields = ("VmRSS", "RssFile", "RssAnon")\n'
    'lines = [line.split() for line in open("/proc/self/status")]\n'
    'found = {line[0][:-1]: int(line[1]) for line in lines if line[0][:-1] in fields}\n'
    'smaps = [line.split() for line in open("/proc/self/smaps_rollup")][1:]\n'
    'private = sum(int(line[1]) for line in smaps if line[0].startswith("Private_"))\n'
    'print(f"[{found[\'VmRSS\']}, {private}]")\n'
)
# The kernel reports sizes in units of 1,024 bytes; a megabyte is 1,000,000 bytes.
KIB_PER_MB: Final = 1000 / 1.024


async def measure_floors() -> list[MemoryFloor]:
    """Start one interpreter per group of imports and read its memory."""
    return [await _measure_imports(name, modules) for name, modules in FLOOR_IMPORTS]


async def _measure_imports(name: str, modules: str) -> MemoryFloor:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-c',
        MEMORY_SCRIPT,
        modules,
        stdout=asyncio.subprocess.PIPE,
    )
    output, _ = await process.communicate()
    resident, private = msgspec.json.decode(output, type=tuple[int, int])
    return MemoryFloor(name, resident / KIB_PER_MB, private / KIB_PER_MB)
