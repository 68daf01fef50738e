"""Error kinds, the HTTP response to each kind, and exception classes."""

import enum
from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Final


class ExecutionState(enum.StrEnum):
    """Whether the work of a failed request was executed."""

    NOT_RUN = 'not_run'
    RAN = 'ran'
    UNKNOWN = 'unknown'


class ErrorKind(enum.StrEnum):
    """Every way in which a request of a caller or an operator can fail.

    The values are the error codes in response bodies.
    """

    MALFORMED_REQUEST = 'malformed_request'
    BODY_TOO_LARGE = 'body_too_large'
    MISSING_KEY = 'missing_key'
    KEY_CONFLICT = 'key_conflict'
    UNAUTHORISED = 'unauthorised'
    UNKNOWN_SERVICE = 'unknown_service'
    UNKNOWN_JOB = 'unknown_job'
    INVALID_JOB_SIZE = 'job_size'
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
    RESULT_LOST = 'answer_lost'
    CONFIG_INVALID = 'text_invalid'
    CONFIG_CONFLICT = 'text_conflict'
    INTERNAL = 'internal'


@dataclass(frozen=True, slots=True)
class ErrorResponse:
    """Default properties of the response to one kind of error.

    :param status: HTTP status code.
    :param execution_state: whether the work was executed; an exception may override
        it.
    :param retry_after_s: seconds in the ``Retry-After`` header; ``None`` omits it.
    """

    status: int
    execution_state: ExecutionState = ExecutionState.NOT_RUN
    retry_after_s: int | None = None


ERROR_RESPONSES: Final[Mapping[ErrorKind, ErrorResponse]] = MappingProxyType(
    {
        ErrorKind.MALFORMED_REQUEST: ErrorResponse(400),
        ErrorKind.BODY_TOO_LARGE: ErrorResponse(413),
        ErrorKind.MISSING_KEY: ErrorResponse(400),
        ErrorKind.KEY_CONFLICT: ErrorResponse(409),
        ErrorKind.UNAUTHORISED: ErrorResponse(401),
        ErrorKind.UNKNOWN_SERVICE: ErrorResponse(404),
        ErrorKind.UNKNOWN_JOB: ErrorResponse(404, ExecutionState.UNKNOWN),
        ErrorKind.INVALID_JOB_SIZE: ErrorResponse(422),
        ErrorKind.CANNOT_RUN: ErrorResponse(422),
        ErrorKind.DEADLINE_PASSED: ErrorResponse(422),
        ErrorKind.QUOTA_EXCEEDED: ErrorResponse(429, retry_after_s=1),
        ErrorKind.OVERLOADED: ErrorResponse(503, retry_after_s=2),
        ErrorKind.NO_TARGET: ErrorResponse(503, retry_after_s=2),
        ErrorKind.DEPENDENCY_UNAVAILABLE: ErrorResponse(503, retry_after_s=5),
        ErrorKind.PLATFORM_UNAVAILABLE: ErrorResponse(503, retry_after_s=5),
        ErrorKind.NOT_READY: ErrorResponse(503, retry_after_s=2),
        ErrorKind.DRAINING: ErrorResponse(503, retry_after_s=1),
        ErrorKind.CANCELLED: ErrorResponse(409, ExecutionState.UNKNOWN),
        ErrorKind.DEADLINE_EXCEEDED: ErrorResponse(504, ExecutionState.UNKNOWN),
        ErrorKind.TASK_FAILED: ErrorResponse(502, ExecutionState.RAN),
        ErrorKind.OUTCOME_UNKNOWN: ErrorResponse(502, ExecutionState.UNKNOWN, 5),
        ErrorKind.RESULT_LOST: ErrorResponse(410, ExecutionState.RAN),
        ErrorKind.CONFIG_INVALID: ErrorResponse(422),
        ErrorKind.CONFIG_CONFLICT: ErrorResponse(409),
        ErrorKind.INTERNAL: ErrorResponse(500, ExecutionState.UNKNOWN),
    }
)


class EndivetallyError(Exception):
    """Base class of all errors that endivetally raises."""


class RequestError(EndivetallyError):
    """A request failed with one of the error kinds.

    :param kind: selects the HTTP status and the defaults in `ERROR_RESPONSES`.
    :param detail: one sentence that explains the error to a human reader.
    :param execution_state: whether the work was executed; ``None`` uses the default
        of the kind.
    :param retry_after_s: seconds after which a retry can succeed; ``None`` uses
        the kind's default.
    """

    def __init__(
        self,
        kind: ErrorKind,
        detail: str = '',
        *,
        execution_state: ExecutionState | None = None,
        retry_after_s: int | None = None,
    ) -> None:
        super().__init__(f'{kind.value}: {detail}' if detail else kind.value)
        response = ERROR_RESPONSES[kind]
        self.kind = kind
        self.detail = detail
        self.execution_state = (
            response.execution_state if execution_state is None else execution_state
        )
        self.retry_after_s = (
            response.retry_after_s if retry_after_s is None else retry_after_s
        )

    @property
    def code(self) -> str:
        """Stable error code in the response body."""
        return self.kind.value

    @property
    def status(self) -> int:
        """HTTP status code of the response."""
        return ERROR_RESPONSES[self.kind].status


class LinkClosed(EndivetallyError):
    """The connection to a peer has ended; messages in flight may be lost."""


class MalformedMessage(EndivetallyError):
    """Data from a peer could not be decoded."""


class TableUnavailable(EndivetallyError):
    """The table service did not respond; a write may still have taken effect."""


class TableConflict(EndivetallyError):
    """A condition of a transaction did not hold; nothing was written."""


class IncarnationFenced(EndivetallyError):
    """This incarnation was taken over or retired and must not admit further work."""
