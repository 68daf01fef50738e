"""The closed list of error kinds, what a caller is told for each, exceptions."""

import enum
from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Final


class RunState(enum.StrEnum):
    """Whether the work behind a failed request ran."""

    NOT_RUN = 'not_run'
    RAN = 'ran'
    UNKNOWN = 'unknown'


class ErrorKind(enum.StrEnum):
    """Every way in which a request or an operator call can fail."""

    MALFORMED_REQUEST = 'malformed_request'
    BODY_TOO_LARGE = 'body_too_large'
    MISSING_KEY = 'missing_key'
    KEY_CONFLICT = 'key_conflict'
    UNAUTHORISED = 'unauthorised'
    UNKNOWN_SERVICE = 'unknown_service'
    UNKNOWN_JOB = 'unknown_job'
    JOB_SIZE = 'job_size'
    CANNOT_RUN = 'cannot_run'
    DEADLINE_PASSED = 'deadline_passed'
    QUOTA_EXCEEDED = 'quota_exceeded'
    OVERLOADED = 'overloaded'
    NO_TARGET = 'no_target'
    DEPENDENCY_UNAVAILABLE = 'dependency_unavailable'
    PLATFORM_UNAVAILABLE = 'platform_unavailable'
    NOT_READY = 'not_ready'
    DRAINING = 'draining'
    CANCELLED = 'cancelled'
    DEADLINE_EXCEEDED = 'deadline_exceeded'
    TASK_FAILED = 'task_failed'
    OUTCOME_UNKNOWN = 'outcome_unknown'
    ANSWER_LOST = 'answer_lost'
    TEXT_INVALID = 'text_invalid'
    TEXT_CONFLICT = 'text_conflict'
    INTERNAL = 'internal'


@dataclass(frozen=True, slots=True)
class AnswerRule:
    """How one kind of error is answered.

    :param status: HTTP status code.
    :param ran: whether the work ran, unless the exception knows better.
    :param retry_after_s: seconds for ``Retry-After``; ``None`` sends no header.
    """

    status: int
    ran: RunState = RunState.NOT_RUN
    retry_after_s: int | None = None


ANSWER_RULES: Final[Mapping[ErrorKind, AnswerRule]] = MappingProxyType(
    {
        ErrorKind.MALFORMED_REQUEST: AnswerRule(400),
        ErrorKind.BODY_TOO_LARGE: AnswerRule(413),
        ErrorKind.MISSING_KEY: AnswerRule(400),
        ErrorKind.KEY_CONFLICT: AnswerRule(409),
        ErrorKind.UNAUTHORISED: AnswerRule(401),
        ErrorKind.UNKNOWN_SERVICE: AnswerRule(404),
        ErrorKind.UNKNOWN_JOB: AnswerRule(404),
        ErrorKind.JOB_SIZE: AnswerRule(422),
        ErrorKind.CANNOT_RUN: AnswerRule(422),
        ErrorKind.DEADLINE_PASSED: AnswerRule(422),
        ErrorKind.QUOTA_EXCEEDED: AnswerRule(429, retry_after_s=1),
        ErrorKind.OVERLOADED: AnswerRule(503, retry_after_s=2),
        ErrorKind.NO_TARGET: AnswerRule(503, retry_after_s=2),
        ErrorKind.DEPENDENCY_UNAVAILABLE: AnswerRule(503, retry_after_s=5),
        ErrorKind.PLATFORM_UNAVAILABLE: AnswerRule(503, retry_after_s=5),
        ErrorKind.NOT_READY: AnswerRule(503, retry_after_s=2),
        ErrorKind.DRAINING: AnswerRule(503, retry_after_s=1),
        ErrorKind.CANCELLED: AnswerRule(409, RunState.UNKNOWN),
        ErrorKind.DEADLINE_EXCEEDED: AnswerRule(504, RunState.UNKNOWN),
        ErrorKind.TASK_FAILED: AnswerRule(502, RunState.RAN),
        ErrorKind.OUTCOME_UNKNOWN: AnswerRule(502, RunState.UNKNOWN, 5),
        ErrorKind.ANSWER_LOST: AnswerRule(410, RunState.RAN),
        ErrorKind.TEXT_INVALID: AnswerRule(422),
        ErrorKind.TEXT_CONFLICT: AnswerRule(409),
        ErrorKind.INTERNAL: AnswerRule(500, RunState.UNKNOWN),
    }
)


class EndivetallyError(Exception):
    """Base class of all errors that endivetally raises."""


class RequestError(EndivetallyError):
    """A request that ends with an error kind.

    :param kind: entry of the closed list.
    :param detail: one sentence for people.
    :param ran: overrides the run state of the kind's rule.
    :param retry_after_s: overrides the rule's seconds until a retry makes sense.
    """

    def __init__(
        self,
        kind: ErrorKind,
        detail: str = '',
        *,
        ran: RunState | None = None,
        retry_after_s: int | None = None,
    ) -> None:
        super().__init__(f'{kind.value}: {detail}' if detail else kind.value)
        rule = ANSWER_RULES[kind]
        self.kind = kind
        self.detail = detail
        self.ran = rule.ran if ran is None else ran
        self.retry_after_s = (
            rule.retry_after_s if retry_after_s is None else retry_after_s
        )

    @property
    def code(self) -> str:
        """Stable code of the error, as it stands in the answer's body."""
        return self.kind.value

    @property
    def status(self) -> int:
        """HTTP status code of the answer."""
        return ANSWER_RULES[self.kind].status


class LinkClosed(EndivetallyError):
    """The connection to a peer has ended; messages in flight may be lost."""


class MalformedMessage(EndivetallyError):
    """A frame from a peer that does not decode."""


class TableUnavailable(EndivetallyError):
    """The table service did not answer; a write may have taken effect."""


class TableConflict(EndivetallyError):
    """A condition of a transaction did not hold; nothing was written."""


class Fenced(EndivetallyError):
    """This incarnation was taken over or retired; it may admit nothing more."""
