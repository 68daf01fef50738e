"""Types of the settings files of entries and agents."""

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
ProcessMegabytes = Annotated[int, msgspec.Meta(ge=64, le=1_048_576)]
Descriptors = Annotated[int, msgspec.Meta(ge=256, le=1_048_576)]


class EntrySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of an entry.

    :param listen: address of its HTTP server; port 0 selects a free port.
    :param table: HTTP address of the platform's table service.
    :param operator_token: bearer token that authenticates the operators' calls.
    :param seeds: HTTP addresses of entries to contact when the table service is
        unavailable.
    :param ready_file: path of a file that receives the bound ``host:port`` once
        the server listens; empty for none.
    :param allow_shaping: whether ``/internal/shaping`` may inject faults into
        links, for benchmarks and scenarios.
    :param memory_mb: memory of the process; what clients may hold of it follows from
        this, and from the longest body.
    :param max_descriptors: open descriptors of the process.
    :param key_retention_s: seconds for which idempotency keys, journal records and
        former owners of shards are kept.
    :param key_memory_mb: limit for the stored bodies of successful responses.
    :param table_writes_per_s: journal writes per second of all entries together;
        each entry gets an equal share.
    :param drain_timeout_s: seconds that a stopping entry waits for its open requests.
    :param scheduler: ``naive`` is the baseline that the benchmarks compare with.
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
    memory_mb: ProcessMegabytes = 512
    max_descriptors: Descriptors = 4096
    key_retention_s: Seconds = 900
    key_memory_mb: Megabytes = 64
    table_writes_per_s: WritesPerSecond = 250
    drain_timeout_s: Seconds = 60
    scheduler: SchedulerName = 'credits'


class AgentSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of an agent.

    :param rack: rack that the worker is in.
    :param listen: loopback address on which its target connects to it; port 0
        selects a free port.
    :param table: HTTP address of the platform's table service.
    :param seeds: HTTP addresses of entries to contact when the table service is
        unavailable.
    :param ready_file: path of a file that receives the bound ``host:port`` once
        the agent listens; empty for none.
    :param allow_shaping: whether faults may be injected into its links, for
        benchmarks and scenarios.
    :param result_retention_s: seconds for which the record of a request is kept
        after its last change.
    :param result_memory_mb: limit for the stored response bodies.
    :param drain_timeout_s: seconds that a stopping agent waits for entries to
        acknowledge the outcomes of its tasks.
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
