"""Validated requests of callers, and the responses to them."""

from dataclasses import dataclass
from dataclasses import field

import msgspec
import xxhash
from endivetally_config.operator_config import Service
from endivetally_config.operator_config import ServiceKind
from endivetally_core.errors import ErrorKind
from endivetally_core.errors import RequestError

JSON_CONTENT_TYPE = 'application/json'
# A request that arrives before the entry is open waits at most this long.
STARTUP_WAIT_S = 2


class ErrorDetails(msgspec.Struct, frozen=True):
    """The ``error`` member of an error response."""

    code: str
    detail: str
    ran: str
    retry_after_s: int | None = None


class ErrorEnvelope(msgspec.Struct, frozen=True):
    """Body of an error response."""

    error: ErrorDetails


@dataclass(frozen=True, slots=True)
class ScopedKey:
    """Idempotency key with its scope: a key is unique per team and service."""

    team: str
    service: str
    key: str


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A validated request of a caller.

    :param key: idempotency key; empty for requests that need none.
    :param tasks: payload of each task; a single request has one.
    :param deadline: time on the event loop's clock, in seconds.
    :param weight: weight of the team when slots are shared under overload.
    """

    team: str
    service: Service
    key: str
    tasks: tuple[bytes, ...]
    deadline: float
    weight: int = 1

    @property
    def exclusive(self) -> bool:
        """Whether each task may run at most once."""
        return self.service.kind is not ServiceKind.IDEMPOTENT

    @property
    def scoped_key(self) -> ScopedKey:
        """Key under which the owner stores the request."""
        return ScopedKey(self.team, self.service.name, self.key)

    @property
    def body_hash(self) -> bytes:
        """Hash of all payloads, each prefixed with its length."""
        digest = xxhash.xxh3_128()
        for task in self.tasks:
            digest.update(len(task).to_bytes(8, 'big'))
            digest.update(task)
        return digest.digest()


@dataclass(frozen=True, slots=True)
class Response:
    """HTTP response to one request.

    :param error_kind: ``None`` when the request succeeded.
    """

    status: int
    body: bytes
    error_kind: ErrorKind | None = None
    headers: dict[str, str] = field(default_factory=dict)


def success_response(request: CallerRequest, results: list[bytes]) -> Response:
    """Build the response that holds the result of every task, in task order."""
    headers = {'Content-Type': JSON_CONTENT_TYPE}
    if request.service.kind is ServiceKind.JOB:
        body = b'{"results":[%b]}' % b','.join(results)
        return Response(200, body, headers=headers)
    return Response(200, results[0], headers=headers)


def error_response(error: RequestError) -> Response:
    """Build the response with the status and headers of an error's kind."""
    body = ErrorDetails(
        error.code, error.detail, error.execution_state.value, error.retry_after_s
    )
    headers = {'Content-Type': JSON_CONTENT_TYPE}
    if error.retry_after_s is not None:
        headers['Retry-After'] = str(error.retry_after_s)
    encoded = msgspec.json.encode(ErrorEnvelope(body))
    return Response(error.status, encoded, error.kind, headers)
