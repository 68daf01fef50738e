"""Settings of the daemons."""

from typing import Annotated
from typing import Literal

import msgspec
from endivetally_core.joining import Address
from endivetally_core.messages import Identifier

SchedulerName = Literal['credits', 'naive']
LogLevel = Literal['DEBUG', 'INFO', 'WARNING', 'ERROR']
Seconds = Annotated[int, msgspec.Meta(ge=1, le=86_400)]
BodyBytes = Annotated[int, msgspec.Meta(ge=1, le=64 * 1024 * 1024)]
WritesPerSecond = Annotated[int, msgspec.Meta(ge=1, le=100_000)]
Megabytes = Annotated[int, msgspec.Meta(ge=1, le=1024)]


class EntrySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of an entry.

    :param listen: address of its HTTP server; port 0 takes a free one.
    :param table: HTTP address of the platform's table service.
    :param seeds: HTTP addresses of entries to ask when the table is down.
    :param operator_token: secret of the operators' calls.
    :param ready_file: written with the bound ``host:port`` once it listens.
    :param scheduler: ``naive`` is the baseline of the bench.
    :param allow_shaping: accept ``/internal/shaping`` (bench and scenarios).
    """

    name: Identifier
    data_centre: Identifier
    listen: Address
    table: Address
    operator_token: Identifier
    seeds: tuple[Address, ...] = ()
    ready_file: str = ''
    allow_shaping: bool = False
    log_level: LogLevel = 'INFO'
    max_body_bytes: BodyBytes = 8 * 1024 * 1024
    key_retention_s: Seconds = 900
    key_memory_mb: Megabytes = 64
    table_writes_per_s: WritesPerSecond = 250
    drain_timeout_s: Seconds = 60
    scheduler: SchedulerName = 'credits'


class AgentSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of an agent; ``listen`` is for its target, on loopback.

    :param rack: rack of the worker.
    """

    name: Identifier
    data_centre: Identifier
    rack: Identifier
    listen: Address
    table: Address
    seeds: tuple[Address, ...] = ()
    ready_file: str = ''
    allow_shaping: bool = False
    log_level: LogLevel = 'INFO'
    result_retention_s: Seconds = 900
    result_memory_mb: Megabytes = 8
    drain_timeout_s: Seconds = 60
