"""Held jobs, their tasks and the responses to their callers."""

import enum
from dataclasses import dataclass

import msgspec
from endivetally_policy.held import Resources


class TaskKey(msgspec.Struct, frozen=True, array_like=True):
    """Identifies a task; all runs of the task share the key.

    :param job: identifier of the job, chosen by the caller.
    :param step: index of the step in the job, from 0.
    :param number: index of the task in the step, from 0.
    """

    job: str
    step: int
    number: int

    def __str__(self) -> str:
        """Return the key as logs and events show it."""
        return f'{self.job}/{self.step}/{self.number}'


@dataclass(frozen=True, slots=True)
class Step:
    """Identical tasks of a job that may run in parallel.

    :param count: number of tasks.
    :param need: resources that each task needs.
    :param estimate_s: run time of each task as the caller declares it, in seconds.
    :param depends_on: indexes of earlier steps that must be done first.
    """

    count: int
    need: Resources
    estimate_s: float
    depends_on: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class HeldJob:
    """A job whose caller waits until the last task has ended.

    :param service: name of the service in the operators' configuration.
    :param payload: passed to every task of the job.
    :param timeout_s: seconds that the caller waits for the response.
    """

    identifier: str
    service: str
    payload: str
    steps: tuple[Step, ...]
    timeout_s: float


class JobResult(enum.StrEnum):
    """How a held job ended.

    ``REFUSED`` guarantees that no task ran and none will. ``UNKNOWN`` and ``EXPIRED``
    mean that the job was given up after a task may have run, and that all its runs
    were stopped.
    """

    COMPLETED = 'completed'
    FAILED = 'failed'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'
    EXPIRED = 'expired'


@dataclass(frozen=True, slots=True)
class JobResponse:
    """The only response to a held job.

    :param reason: machine-readable cause for logs, metrics and the caller.
    :param retry_after_s: seconds after which the caller of a refused job may retry.
    """

    result: JobResult
    reason: str = ''
    retry_after_s: int = 0
