"""The two deployments of the requirements, and a small one for the demo."""

from dataclasses import dataclass
from dataclasses import replace
from typing import Final

from endivetally_config.operator_config import OperatorConfig
from endivetally_config.operator_config import Service
from endivetally_config.operator_config import ServiceKind
from endivetally_config.operator_config import Team
from endivetally_config.settings import SchedulerName
from endivetally_core.shaping import ShapingRule

WORKERS_PER_RACK: Final = 3
SLOTS_PER_WORKER: Final = 8
CONNECTIONS_PER_WORKER: Final = 64
MEMORY_PER_WORKER_MB: Final = 32 * 1024
OPERATOR_TOKEN: Final = 'operators-token'
UNLIMITED_TASKS_PER_S: Final = 100_000


@dataclass(frozen=True, slots=True)
class Worker:
    """A worker (a machine or VM) that runs one target and its agent.

    :param agent: process name of the agent.
    :param target: process name of the target.
    """

    agent: str
    target: str
    service: str
    data_centre: str
    rack: str


@dataclass(frozen=True, slots=True)
class EntryPlacement:
    """Process name and data centre of an entry."""

    name: str
    data_centre: str


@dataclass(frozen=True, slots=True)
class Deployment:
    """Processes of a fleet, where they run and the operators' configuration.

    :param latency_ms: one-way latency between two data centres.
    :param scheduler: how entries choose targets, ``credits`` or ``naive``.
    :param slots: number of tasks that each target runs at the same time.
    :param connections: number of connections that each target accepts.
    :param memory_mb: memory of each target.
    """

    name: str
    data_centres: tuple[str, ...]
    latency_ms: float
    entries: tuple[EntryPlacement, ...]
    workers: tuple[Worker, ...]
    config: OperatorConfig
    slots: int = SLOTS_PER_WORKER
    connections: int = CONNECTIONS_PER_WORKER
    memory_mb: int = MEMORY_PER_WORKER_MB
    scheduler: SchedulerName = 'credits'

    @property
    def token(self) -> str:
        """Bearer token of the first team."""
        return self.config.teams[0].token

    def count_pool_slots(self, pool: str) -> int:
        """Return the total number of slots of the workers in a pool."""
        workers = [worker for worker in self.workers if worker.service == pool]
        return self.slots * len(workers)

    def count_service_slots(self) -> dict[str, int]:
        """Return the number of slots that each configured service may use."""
        return {
            service.name: self.count_pool_slots(service.target_pool)
            for service in self.config.services
        }

    def build_latency_rules(self, data_centre: str) -> tuple[ShapingRule, ...]:
        """Return the rules that delay frames from a data centre to all others."""
        return tuple(
            ShapingRule(peer=other, delay_ms=self.latency_ms)
            for other in self.data_centres
            if other != data_centre
        )

    def with_scheduler(self, scheduler: SchedulerName) -> 'Deployment':
        """Return a copy of the deployment that uses another scheduler."""
        return replace(self, scheduler=scheduler)


def place_workers(
    worker_counts: tuple[tuple[str, int], ...],
    data_centres: tuple[str, ...],
) -> tuple[Worker, ...]:
    """Distribute workers over racks of three, and racks over data centres.

    The workers of a service are distributed over the racks.

    :param worker_counts: pairs of a service name and its number of workers.

    >>> [worker.rack for worker in place_workers((('a', 4),), ('x', 'y'))]
    ['rack-1', 'rack-2', 'rack-1', 'rack-2']
    """
    services = [name for name, count in worker_counts for _ in range(count)]
    racks = -(-len(services) // WORKERS_PER_RACK)
    return tuple(
        Worker(
            agent=f'agent-{number + 1}',
            target=f'target-{number + 1}',
            service=service,
            data_centre=data_centres[number % racks % len(data_centres)],
            rack=f'rack-{number % racks + 1}',
        )
        for number, service in enumerate(services)
    )


def place_entries(
    count: int, data_centres: tuple[str, ...]
) -> tuple[EntryPlacement, ...]:
    """Distribute entries over data centres in turn."""
    return tuple(
        EntryPlacement(f'entry-{number + 1}', data_centres[number % len(data_centres)])
        for number in range(count)
    )


def _name_data_centres(prefix: str, count: int) -> tuple[str, ...]:
    return tuple(f'{prefix}-{number + 1}' for number in range(count))


_STAVANGER: Final = _name_data_centres('stavanger', 3)
_ALFOLD: Final = _name_data_centres('alfold', 4)
_LOVDATA_TEAMS: Final = (
    Team('clerks', 'clerks-token', tasks_per_s=UNLIMITED_TASKS_PER_S),
    Team('associates', 'associates-token', tasks_per_s=UNLIMITED_TASKS_PER_S),
)
_LOVDATA_CONFIG: Final = OperatorConfig(
    services=(
        Service('lookups', ServiceKind.IDEMPOTENT, priority=0, pool='search-front'),
        Service('sweeps', ServiceKind.JOB, deadline_ms=30_000, pool='search-front'),
        Service(
            'notes',
            ServiceKind.NON_IDEMPOTENT,
            deadline_ms=15_000,
            pool='search-front',
        ),
    ),
    teams=_LOVDATA_TEAMS,
)
_LOGBOOK_CONFIG: Final = OperatorConfig(
    services=(
        Service('quota-checks', ServiceKind.IDEMPOTENT, priority=0, pool='logbook'),
        Service('logbooks', ServiceKind.JOB, deadline_ms=30_000, pool='logbook'),
        Service(
            'quota-bookings',
            ServiceKind.NON_IDEMPOTENT,
            deadline_ms=15_000,
            pool='logbook',
        ),
    ),
    teams=(
        Team('harbour', 'harbour-token', tasks_per_s=UNLIMITED_TASKS_PER_S),
        Team('inspectors', 'inspectors-token', tasks_per_s=UNLIMITED_TASKS_PER_S),
    ),
)

LOVDATA: Final = Deployment(
    name='lovdata',
    data_centres=_STAVANGER,
    latency_ms=1.5,
    entries=place_entries(3, _STAVANGER),
    workers=place_workers((('search-front', 11),), _STAVANGER),
    config=_LOVDATA_CONFIG,
)
LOGBOOK: Final = Deployment(
    name='logbook',
    data_centres=_ALFOLD,
    latency_ms=1,
    entries=place_entries(4, _ALFOLD),
    workers=place_workers((('logbook', 11),), _ALFOLD),
    config=_LOGBOOK_CONFIG,
)
DEMO: Final = Deployment(
    name='demo',
    data_centres=_name_data_centres('demo', 2),
    latency_ms=1,
    entries=place_entries(2, _name_data_centres('demo', 2)),
    workers=place_workers(
        (('search-front', 4), ('logbooks', 1)),
        _name_data_centres('demo', 2),
    ),
    config=OperatorConfig(
        services=(
            *_LOVDATA_CONFIG.services,
            Service('logbooks', ServiceKind.JOB, deadline_ms=30_000),
        ),
        teams=_LOVDATA_TEAMS,
    ),
)
DEPLOYMENTS: Final = (LOVDATA, LOGBOOK)


def find_deployment(name: str) -> Deployment:
    """Return one of the two deployments of the requirements.

    :raises KeyError: when the name is unknown.
    """
    return {known.name: known for known in DEPLOYMENTS}[name]
