"""Request mixes of the two bench deployments."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Final

from endivetally_config.operator_config import Service
from endivetally_config.operator_config import ServiceKind

from endivetally.fleet.deployment import Deployment
from endivetally.load.mix import RequestKind
from endivetally.load.mix import RunTimes

# Minimum and maximum number of tasks in a job.
JOB_TASKS: Final = (2, 16)
# Share of the load of its target pool that each service receives, in elevenths.
LOAD_SHARES: Final[Mapping[str, int]] = MappingProxyType(
    {
        'lookups': 5,
        'sweeps': 4,
        'notes': 2,
        'quota-checks': 2,
        'logbooks': 7,
        'quota-bookings': 2,
    }
)
LOAD_SHARES_SUM: Final = 11
# Share of tasks of idempotent services whose run time is in the tail.
IDEMPOTENT_TAIL_SHARE: Final = 0.02


def request_kinds(deployment: Deployment) -> tuple[RequestKind, ...]:
    """Return the request mix of a deployment.

    Each service receives its share in `LOAD_SHARES` of the load of its target pool.
    """
    kinds: list[RequestKind] = []
    for service in deployment.config.services:
        job = service.kind is ServiceKind.JOB
        idempotent = service.kind is ServiceKind.IDEMPOTENT
        min_tasks, max_tasks = JOB_TASKS if job else (1, 1)
        kind = RequestKind(
            service=service.name,
            service_kind=service.kind,
            slots=_occupied_slots(deployment, service),
            run_times=RunTimes(tail_share=IDEMPOTENT_TAIL_SHARE)
            if idempotent
            else RunTimes(),
            min_tasks=min_tasks,
            max_tasks=max_tasks,
        )
        kinds.append(kind)
    return tuple(kinds)


def _occupied_slots(deployment: Deployment, service: Service) -> float:
    share = LOAD_SHARES[service.name] / LOAD_SHARES_SUM
    return deployment.count_pool_slots(service.target_pool) * share
