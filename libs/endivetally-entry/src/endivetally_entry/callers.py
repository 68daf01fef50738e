"""HTTP handlers for callers."""

import asyncio
from collections.abc import Mapping
from types import MappingProxyType
from typing import TYPE_CHECKING
from typing import Final

import msgspec
from endivetally_config.operator_config import Service
from endivetally_config.operator_config import ServiceKind
from endivetally_config.operator_config import Team
from endivetally_core.errors import ErrorKind
from endivetally_core.errors import ExecutionState
from endivetally_core.errors import RequestError
from endivetally_core.messages import MAX_PAYLOAD_BYTES
from endivetally_core.messages import MAX_TASKS_PER_JOB
from tornado.web import RequestHandler

from endivetally_entry.requests import Answer
from endivetally_entry.requests import CallerRequest
from endivetally_entry.requests import error_answer

if TYPE_CHECKING:
    from endivetally_entry.entry import Entry

MAX_KEY_LENGTH = 128
MAX_DEADLINE_MS = 600_000
BEARER = 'Bearer '
READY_WAIT_S = 2

# Kinds of the errors that tornado finds itself, by status.
TRANSPORT_KINDS: Final[Mapping[int, ErrorKind]] = MappingProxyType(
    {
        400: ErrorKind.MALFORMED_REQUEST,
        404: ErrorKind.UNKNOWN_SERVICE,
        405: ErrorKind.MALFORMED_REQUEST,
    }
)


class JobBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a job: any JSON value for each task."""

    tasks: list[msgspec.Raw]


class AnsweringHandler(RequestHandler):
    """Answers with the error table whatever goes wrong.

    :param entry: the daemon.
    """

    def initialize(self, entry: 'Entry') -> None:
        """Take the daemon that handles the call."""
        self._entry = entry

    def compute_etag(self) -> None:
        """Send no entity tag."""

    async def answer_with(self, answer: Answer) -> None:
        """Send an answer whole."""
        self.set_status(answer.status)
        for name, header in answer.headers.items():
            self.set_header(name, header)
        if self._entry.state == 'leaving':
            # Callers with open connections find another entry.
            self.set_header('Connection', 'close')
        await self.finish(answer.body)

    def bearer_token(self) -> str:
        """Return the token of the ``Authorization`` header."""
        header = self.request.headers.get('Authorization', '')
        return header.removeprefix(BEARER) if header.startswith(BEARER) else ''

    def write_error(self, status_code: int, **kwargs: object) -> None:
        """Send the error body for errors that tornado found itself."""
        kind = TRANSPORT_KINDS.get(status_code, ErrorKind.INTERNAL)
        answer = error_answer(RequestError(kind, self._reason))
        self.set_status(answer.status)
        for name, header in answer.headers.items():
            self.set_header(name, header)
        self.finish(answer.body)


class CallerHandler(AnsweringHandler):
    """Base of the calls by teams."""

    def initialize(self, entry: 'Entry') -> None:
        """Take the daemon that handles the call."""
        super().initialize(entry)
        self._running: asyncio.Task[Answer] | None = None
        self._caller_gone = False

    async def answer_request(self, service_name: str, *, cancel: bool = False) -> None:
        """Read the request, run it, and send its one answer."""
        started = asyncio.get_running_loop().time()
        measures = self._entry.measures
        measures.open_requests += 1
        try:
            answer = await self._run(service_name, cancel=cancel)
        except RequestError as error:
            answer = error_answer(error)
        except asyncio.CancelledError:
            # The caller is gone; nobody reads the answer.
            answer = error_answer(RequestError(ErrorKind.CANCELLED))
        finally:
            measures.open_requests -= 1
        elapsed_s = asyncio.get_running_loop().time() - started
        service = self._entry.keeper.config.find_service(service_name)
        measures.answered(service, answer.kind, elapsed_s)
        if not self._caller_gone:
            await self.answer_with(answer)

    def on_connection_close(self) -> None:
        """Give up an idempotent request whose caller is gone."""
        self._caller_gone = True
        if self._running is not None:
            self._running.cancel()

    def tasks_of(self, service: Service) -> tuple[bytes, ...]:
        """Return the payloads of the request.

        :raises RequestError: when the body does not fit the service's kind.
        """
        raise NotImplementedError

    async def _run(self, service_name: str, *, cancel: bool) -> Answer:
        await self._entry.wait_until_open(READY_WAIT_S)
        request = self._read(service_name, cancel=cancel)
        if cancel:
            return await self._entry.request_router.cancel(request)
        running = asyncio.create_task(self._entry.request_router.answer(request))
        if not request.exclusive:
            self._running = running
        return await running

    def _read(self, service_name: str, *, cancel: bool) -> CallerRequest:
        text = self._entry.keeper.config
        if not self._entry.opened.is_set() or self._entry.keeper.version == 0:
            # An earlier submission of the key may have run elsewhere.
            keyed = 'Idempotency-Key' in self.request.headers
            raise RequestError(
                ErrorKind.NOT_READY,
                self._entry.unready_reason(),
                ran=ExecutionState.UNKNOWN if keyed else None,
            )
        team = self._entry.team_of_token(self.bearer_token())
        if team is None:
            raise RequestError(ErrorKind.UNAUTHORISED, 'the token names no team')
        service = text.find_service(service_name)
        if service is None:
            raise RequestError(ErrorKind.UNKNOWN_SERVICE, service_name)
        if len(self.request.body) > self._entry.settings.max_body_bytes:
            raise RequestError(
                ErrorKind.BODY_TOO_LARGE,
                f'{self._entry.settings.max_body_bytes} bytes at most',
            )
        return self._build(team, service, cancel=cancel)

    def _build(self, team: Team, service: Service, *, cancel: bool) -> CallerRequest:
        now = asyncio.get_running_loop().time()
        return CallerRequest(
            team=team.name,
            service=service,
            key=self._key(service),
            tasks=() if cancel else self.tasks_of(service),
            deadline=now + self._deadline_ms(service) / 1000,
            weight=team.weight,
        )

    def _key(self, service: Service) -> str:
        keys = self.request.headers.get_list('Idempotency-Key')
        if len(keys) > 1:
            raise RequestError(
                ErrorKind.MALFORMED_REQUEST,
                'Idempotency-Key is repeated',
            )
        key = keys[0] if keys else self.path_kwargs.get('key', '')
        if len(key) > MAX_KEY_LENGTH or not key.isprintable():
            raise RequestError(
                ErrorKind.MALFORMED_REQUEST,
                f'Idempotency-Key is over {MAX_KEY_LENGTH} printable characters',
            )
        if not key and service.kind is not ServiceKind.IDEMPOTENT:
            raise RequestError(
                ErrorKind.MISSING_KEY,
                f'{service.kind.value} services need an Idempotency-Key',
            )
        return key

    def _deadline_ms(self, service: Service) -> int:
        header = self.request.headers.get('X-Deadline-Ms')
        if header is None:
            return service.deadline_ms
        try:
            deadline_ms = int(header)
        except ValueError as error:
            raise RequestError(
                ErrorKind.MALFORMED_REQUEST,
                'X-Deadline-Ms is not a whole number',
            ) from error
        return min(deadline_ms, MAX_DEADLINE_MS)


class RequestsHandler(CallerHandler):
    """``POST /v1/services/{service}/requests``: one request."""

    async def post(self, service: str) -> None:
        """Run a request."""
        await self.answer_request(service)

    def tasks_of(self, service: Service) -> tuple[bytes, ...]:
        """Return the body as the one payload."""
        if service.kind is ServiceKind.JOB:
            raise RequestError(
                ErrorKind.MALFORMED_REQUEST,
                'the service takes jobs',
            )
        return (_checked_payload(self.request.body),)


class JobsHandler(CallerHandler):
    """``/v1/services/{service}/jobs``: submit or cancel a job."""

    async def post(self, service: str, key: str = '') -> None:
        """Run a job."""
        if key:
            await self._answer_malformed('a submission has its key in the header')
            return
        await self.answer_request(service)

    async def delete(self, service: str, key: str = '') -> None:
        """Cancel a job."""
        if not key:
            await self._answer_malformed('a cancellation has its key in the path')
            return
        await self.answer_request(service, cancel=True)

    def tasks_of(self, service: Service) -> tuple[bytes, ...]:
        """Return the payload of each task of the body."""
        if service.kind is not ServiceKind.JOB:
            raise RequestError(
                ErrorKind.MALFORMED_REQUEST,
                'the service takes single requests',
            )
        try:
            body = msgspec.json.decode(self.request.body, type=JobBody)
        except msgspec.DecodeError as error:
            raise RequestError(ErrorKind.MALFORMED_REQUEST, str(error)) from error
        if not 0 < len(body.tasks) <= MAX_TASKS_PER_JOB:
            raise RequestError(
                ErrorKind.INVALID_JOB_SIZE,
                f'a job has 1 to {MAX_TASKS_PER_JOB} tasks',
            )
        return tuple(_checked_payload(bytes(task)) for task in body.tasks)

    async def _answer_malformed(self, detail: str) -> None:
        error = RequestError(ErrorKind.MALFORMED_REQUEST, detail)
        await self.answer_with(error_answer(error))


def _checked_payload(payload: bytes) -> bytes:
    if len(payload) > MAX_PAYLOAD_BYTES:
        raise RequestError(
            ErrorKind.BODY_TOO_LARGE,
            f'a task has {MAX_PAYLOAD_BYTES} bytes at most',
        )
    return payload
