"""Data of the operators' text: services, teams and objectives."""

import enum
from typing import Annotated

import msgspec

Name = Annotated[
    str,
    msgspec.Meta(max_length=128, pattern=r'^[A-Za-z0-9][A-Za-z0-9._-]*\Z'),
]
Token = Annotated[str, msgspec.Meta(max_length=128, pattern=r'^[!-~]+\Z')]
Share = Annotated[float, msgspec.Meta(gt=0, lt=1)]
Milliseconds = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
Megabytes = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
Rate = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
Weight = Annotated[int, msgspec.Meta(ge=1, le=1000)]
Priority = Annotated[int, msgspec.Meta(ge=0, le=9)]
Attempts = Annotated[int, msgspec.Meta(ge=1, le=100)]
Stretch = Annotated[float, msgspec.Meta(ge=1, le=100)]


class ServiceKind(enum.StrEnum):
    """How often the work behind a request may run."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non-idempotent'
    JOB = 'job'


class Objective(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Service-level objective of a service.

    :param availability: share of requests answered whole, between 0 and 1.
    :param response_ms: a whole answer within this time is a good one.
    """

    availability: Share = 0.999
    response_ms: Milliseconds = 2000


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One service of the text.

    :param depends_on: names of the services that this one calls.
    :param run_ms: declared run time of a task.
    :param memory_mb: declared memory of a task.
    :param deadline_ms: deadline of a request that names none.
    :param priority: lower numbers are served first within a pool, from 0.
    :param pool: name that the targets of the service announce; several services
        may share one. By default the name of the service.
    :param attempts: a task of a held job that failed so often by its own fault
        fails the job.
    :param stretch: a held job is in time within so many times its longest chain
        of run times, and the objective's response time more.
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
        """Name that the targets of the service announce."""
        return self.pool or self.name


class Team(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A group of callers with a quota.

    :param token: secret that its callers send as a bearer token.
    :param tasks_per_s: task starts a second that the team may sustain.
    :param weight: share under overload, relative to the other teams.
    """

    name: Name
    token: Token
    tasks_per_s: Rate = 1000
    weight: Weight = 1


class OperatorConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The single text that operators submit.

    :param largest_worker_memory_mb: memory of the largest worker; a task that
        declares more can never run.
    """

    services: tuple[Service, ...]
    teams: tuple[Team, ...]
    largest_worker_memory_mb: Megabytes = 32_768

    @property
    def pools(self) -> tuple[str, ...]:
        """Names that targets may announce, in the order of the services."""
        return tuple(dict.fromkeys(each.target_pool for each in self.services))

    def find_service(self, name: str) -> Service | None:
        """Return the service of that name, if there is one."""
        for service in self.services:
            if service.name == name:
                return service
        return None

    def find_team(self, name: str) -> Team | None:
        """Return the team of that name, if there is one."""
        for team in self.teams:
            if team.name == name:
                return team
        return None


class VersionedConfig(msgspec.Struct, frozen=True):
    """A text in force and its version, from 1 on; 0 means none yet."""

    version: int
    config: OperatorConfig = msgspec.field(name='text')


def encode_config(text: OperatorConfig) -> bytes:
    """Encode a text as canonical JSON."""
    return msgspec.json.encode(text, order='deterministic')


def decode_config(encoded: bytes) -> OperatorConfig:
    """Decode a text that was checked before.

    :raises msgspec.DecodeError: when it does not decode.
    """
    return msgspec.json.decode(encoded, type=OperatorConfig)
