"""Held jobs, their tasks and their answers."""

import enum
from dataclasses import dataclass

import msgspec
from endivetally_policy.held import Resources


class TaskKey(msgspec.Struct, frozen=True, array_like=True):
    """Name of a task; the same for every attempt at it.

    :param job: identifier chosen by the caller.
    :param step: number of the step in the job, from 0.
    :param number: number of the task in the step, from 0.
    """

    job: str
    step: int
    number: int

    def __str__(self) -> str:
        """Return the name as it stands in logs."""
        return f'{self.job}/{self.step}/{self.number}'


@dataclass(frozen=True, slots=True)
class Step:
    """Equal tasks of a job.

    :param count: number of the tasks.
    :param need: room of each task.
    :param estimate_s: declared run time of each task.
    :param depends_on: numbers of earlier steps that must be done first.
    """

    count: int
    need: Resources
    estimate_s: float
    depends_on: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class HeldJob:
    """A job whose caller waits for the end of its last task.

    :param service: name of the service in the operators' text.
    :param payload: what every task of the job is started with.
    :param deadline_s: seconds that the caller waits.
    """

    identifier: str
    service: str
    payload: str
    steps: tuple[Step, ...]
    timeout_s: float


class JobResult(enum.StrEnum):
    """Every answer to a held job.

    ``REFUSED`` says that nothing ran and nothing will; ``UNKNOWN`` that the job
    was given up after a task may have run, and that everything was stopped.
    """

    COMPLETED = 'completed'
    FAILED = 'failed'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'
    EXPIRED = 'expired'


@dataclass(frozen=True, slots=True)
class JobResponse:
    """The one answer to a held job.

    :param reason: code of the cause, for logs, metrics and the caller.
    :param retry_after_s: when to come back, for refusals.
    """

    result: JobResult
    reason: str = ''
    retry_after_s: int = 0
