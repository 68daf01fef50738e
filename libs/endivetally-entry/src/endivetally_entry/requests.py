"""A caller's request and the answer to it, as the entry handles them."""

from dataclasses import dataclass
from dataclasses import field

import msgspec
import xxhash
from endivetally_config.operator_config import Service
from endivetally_config.operator_config import ServiceKind
from endivetally_core.errors import ErrorKind
from endivetally_core.errors import RequestError

JSON_TYPE = 'application/json'


class ErrorBody(msgspec.Struct, frozen=True):
    """The ``error`` member of an answer that is not whole."""

    code: str
    detail: str
    ran: str
    retry_after_s: int | None = None


class ErrorAnswer(msgspec.Struct, frozen=True):
    """Body of an answer that is not whole."""

    error: ErrorBody


@dataclass(frozen=True, slots=True)
class KeyName:
    """What an idempotency key is unique within."""

    team: str
    service: str
    key: str


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A checked request of one caller.

    :param key: idempotency key; empty for requests that need none.
    :param tasks: payload of each task; a single request has one.
    :param deadline: time on the event loop's clock, in seconds.
    :param weight: share of the team under overload.
    """

    team: str
    service: Service
    key: str
    tasks: tuple[bytes, ...]
    deadline: float
    weight: int = 1

    @property
    def exclusive(self) -> bool:
        """Whether the work may run at most once."""
        return self.service.kind is not ServiceKind.IDEMPOTENT

    @property
    def name(self) -> KeyName:
        """Name under which the owner remembers the request."""
        return KeyName(self.team, self.service.name, self.key)

    @property
    def body_hash(self) -> bytes:
        """Hash over all payloads and their lengths."""
        digest = xxhash.xxh3_128()
        for task in self.tasks:
            digest.update(len(task).to_bytes(8, 'big'))
            digest.update(task)
        return digest.digest()


@dataclass(frozen=True, slots=True)
class Answer:
    """The one answer to a request.

    :param kind: ``None`` for a whole answer.
    """

    status: int
    body: bytes
    kind: ErrorKind | None = None
    headers: dict[str, str] = field(default_factory=dict)


def whole_answer(request: CallerRequest, results: list[bytes]) -> Answer:
    """Build the answer that holds every result in the order of the tasks."""
    headers = {'Content-Type': JSON_TYPE}
    if request.service.kind is ServiceKind.JOB:
        body = b'{"results":[%b]}' % b','.join(results)
        return Answer(200, body, headers=headers)
    return Answer(200, results[0], headers=headers)


def error_answer(error: RequestError) -> Answer:
    """Build the answer for an error from the table of answer rules."""
    body = ErrorBody(error.code, error.detail, error.ran.value, error.retry_after_s)
    headers = {'Content-Type': JSON_TYPE}
    if error.retry_after_s is not None:
        headers['Retry-After'] = str(error.retry_after_s)
    encoded = msgspec.json.encode(ErrorAnswer(body))
    return Answer(error.status, encoded, error.kind, headers)
