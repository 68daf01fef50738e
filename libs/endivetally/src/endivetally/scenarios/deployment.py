"""Small deployments for scenarios, with one service of each kind."""

from typing import Final

from endivetally_config.operator_config import OperatorConfig
from endivetally_config.operator_config import Service
from endivetally_config.operator_config import ServiceKind
from endivetally_config.operator_config import Team

from endivetally.fleet.deployment import UNLIMITED_TASKS_PER_S
from endivetally.fleet.deployment import Deployment
from endivetally.fleet.deployment import place_entries
from endivetally.fleet.deployment import place_workers

# One-way latency between two data centres.
LATENCY_MS: Final = 1
DEADLINE_MS: Final = 10_000
SERVICES: Final = (
    Service('lookups', ServiceKind.IDEMPOTENT, priority=0, deadline_ms=DEADLINE_MS),
    Service('sweeps', ServiceKind.JOB, deadline_ms=DEADLINE_MS),
    Service('notes', ServiceKind.NON_IDEMPOTENT, deadline_ms=DEADLINE_MS),
)
TEAM: Final = Team('clerks', 'clerks-token', tasks_per_s=UNLIMITED_TASKS_PER_S)


def make_deployment(
    entries: int,
    data_centres: int,
    worker_counts: tuple[tuple[str, int], ...],
) -> Deployment:
    """Return a deployment with the services that have workers.

    :param entries: number of entries.
    :param data_centres: number of data centres.
    :param worker_counts: pairs of a service name and its number of workers.
    """
    requested = {service for service, _count in worker_counts}
    services = tuple(service for service in SERVICES if service.name in requested)
    names = tuple(f'dc-{number + 1}' for number in range(data_centres))
    return Deployment(
        name='scenario',
        data_centres=names,
        latency_ms=LATENCY_MS,
        entries=place_entries(entries, names),
        workers=place_workers(worker_counts, names),
        config=OperatorConfig(services, (TEAM,)),
    )
