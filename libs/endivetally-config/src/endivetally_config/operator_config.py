"""Types of the operators' configuration: services, teams and objectives."""

import enum
from typing import Annotated

import msgspec

Name = Annotated[
    str,
    msgspec.Meta(max_length=128, pattern=r'^[A-Za-z0-9][A-Za-z0-9._-]*\Z'),
]
Token = Annotated[str, msgspec.Meta(max_length=128, pattern=r'^[!-~]+\Z')]
Fraction = Annotated[float, msgspec.Meta(gt=0, lt=1)]
Milliseconds = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
Megabytes = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
TasksPerSecond = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
Weight = Annotated[int, msgspec.Meta(ge=1, le=1000)]
Priority = Annotated[int, msgspec.Meta(ge=0, le=9)]
Attempts = Annotated[int, msgspec.Meta(ge=1, le=100)]
Stretch = Annotated[float, msgspec.Meta(ge=1, le=100)]


class ServiceKind(enum.StrEnum):
    """Whether the work behind a request may run more than once.

    Outside held jobs, only tasks of idempotent services are retried after a failure
    or an unknown outcome. A request to a service of the kind ``job`` is a list of
    tasks.
    """

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non-idempotent'
    JOB = 'job'


class Objective(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Service-level objective of a service.

    :param availability: fraction of requests that must get a good response,
        above 0 and below 1.
    :param response_ms: a complete response within this time counts as good.
    """

    availability: Fraction = 0.999
    response_ms: Milliseconds = 2000


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A service that callers can send requests to.

    :param depends_on: names of the services that this one calls.
    :param run_ms: declared run time of a task.
    :param memory_mb: declared memory of a task.
    :param deadline_ms: deadline of requests that specify none.
    :param priority: tasks with lower numbers are served first within a pool; 0 is
        the highest priority.
    :param pool: name that the targets of the service announce; several services
        may share a pool. Defaults to the name of the service.
    :param attempts: a held job fails after this many failures of one task that the
        task itself caused.
    :param stretch: factor in the response time objective of a held job: ``stretch``
        times the run time of its longest chain of steps, plus the objective's
        ``response_ms``.
    """

    name: Name
    kind: ServiceKind
    depends_on: tuple[Name, ...] = ()
    run_ms: Milliseconds = 500
    memory_mb: Megabytes = 256
    deadline_ms: Milliseconds = 10_000
    priority: Priority = 1
    objective: Objective = Objective()
    pool: Name | None = None
    attempts: Attempts = 3
    stretch: Stretch = 2.0

    @property
    def target_pool(self) -> str:
        """Name of the pool of targets that run the tasks of the service."""
        return self.pool or self.name


class Team(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A group of callers that share a token and a quota.

    :param token: bearer token that its callers send.
    :param tasks_per_s: sustained rate of task starts that the team may request.
    :param weight: share of the capacity under overload, relative to the weights
        of the other teams.
    """

    name: Name
    token: Token
    tasks_per_s: TasksPerSecond = 1000
    weight: Weight = 1


class OperatorConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The configuration that operators submit as one document.

    :param largest_worker_memory_mb: memory of the largest worker; a task that
        declares more can never run.
    """

    services: tuple[Service, ...]
    teams: tuple[Team, ...]
    largest_worker_memory_mb: Megabytes = 32_768

    @property
    def pools(self) -> tuple[str, ...]:
        """Distinct names of target pools, in the order of the services."""
        return tuple(dict.fromkeys(each.target_pool for each in self.services))

    def find_service(self, name: str) -> Service | None:
        """Return the service with a name, or ``None`` if there is none."""
        for service in self.services:
            if service.name == name:
                return service
        return None

    def find_team(self, name: str) -> Team | None:
        """Return the team with a name, or ``None`` if there is none."""
        for team in self.teams:
            if team.name == name:
                return team
        return None


class VersionedConfig(msgspec.Struct, frozen=True):
    """A configuration and its version.

    Versions start at 1; version 0 stands for no configuration.
    """

    version: int
    config: OperatorConfig = msgspec.field(name='text')


def encode_config(config: OperatorConfig) -> bytes:
    """Encode a configuration as canonical JSON; equal ones give equal bytes."""
    return msgspec.json.encode(config, order='deterministic')


def decode_config(encoded: bytes) -> OperatorConfig:
    """Decode a configuration that passed `check_config` before.

    :raises msgspec.DecodeError: when it cannot be decoded.
    """
    return msgspec.json.decode(encoded, type=OperatorConfig)
