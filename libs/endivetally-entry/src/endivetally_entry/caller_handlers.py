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
from endivetally_core.decoding import DECODE_ERRORS
from endivetally_core.errors import ErrorKind
from endivetally_core.errors import ExecutionState
from endivetally_core.errors import RequestError
from endivetally_core.messages import MAX_PAYLOAD_BYTES
from endivetally_core.messages import MAX_TASKS_PER_JOB
from tornado.web import RequestHandler

from endivetally_entry.requests import STARTUP_WAIT_S
from endivetally_entry.requests import CallerRequest
from endivetally_entry.requests import Response
from endivetally_entry.requests import error_response

if TYPE_CHECKING:
    from endivetally_entry.entry import Entry

MAX_KEY_LENGTH = 128
MAX_DEADLINE_MS = 600_000
BEARER = 'Bearer '

# Kinds of the errors that tornado raises itself, by HTTP status.
KINDS_BY_STATUS: Final[Mapping[int, ErrorKind]] = MappingProxyType(
    {
        400: ErrorKind.MALFORMED_REQUEST,
        404: ErrorKind.UNKNOWN_SERVICE,
        405: ErrorKind.MALFORMED_REQUEST,
    }
)


class JobBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a job submission, with any JSON value as the payload of each task."""

    tasks: list[msgspec.Raw]


class ErrorReportingHandler(RequestHandler):
    """Base class of all handlers; sends every error in the format of the API.

    :param entry: the entry that handles the call.
    """

    def initialize(self, entry: 'Entry') -> None:
        """Store the entry that handles the call."""
        self._entry = entry

    def compute_etag(self) -> None:
        """Disable the ``Etag`` header."""

    async def send_response(self, response: Response) -> None:
        """Send status, headers and body."""
        self.set_status(response.status)
        for name, header in response.headers.items():
            self.set_header(name, header)
        if self._entry.state == 'leaving':
            # Makes callers with persistent connections move to another entry.
            self.set_header('Connection', 'close')
        await self.finish(response.body)

    def get_bearer_token(self) -> str:
        """Return the bearer token of the call, or an empty string."""
        header = self.request.headers.get('Authorization', '')
        return header.removeprefix(BEARER) if header.startswith(BEARER) else ''

    def write_error(self, status_code: int, **kwargs: object) -> None:
        """Send the error body for errors that tornado raises itself."""
        kind = KINDS_BY_STATUS.get(status_code, ErrorKind.INTERNAL)
        response = error_response(RequestError(kind, self._reason))
        self.set_status(response.status)
        for name, header in response.headers.items():
            self.set_header(name, header)
        self.finish(response.body)


class CallerHandler(ErrorReportingHandler):
    """Base class of the handlers for the requests of callers."""

    def initialize(self, entry: 'Entry') -> None:
        """Store the entry that handles the call."""
        super().initialize(entry)
        self._running: asyncio.Task[Response] | None = None
        self._caller_disconnected = False

    async def handle_request(self, service_name: str, *, cancel: bool = False) -> None:
        """Parse the request, run or cancel it, and send the response."""
        started = asyncio.get_running_loop().time()
        metrics = self._entry.metrics
        metrics.open_requests += 1
        try:
            response = await self._run_request(service_name, cancel=cancel)
        except RequestError as error:
            response = error_response(error)
        except asyncio.CancelledError:
            # The caller has disconnected; this response is only counted.
            response = error_response(RequestError(ErrorKind.CANCELLED))
        finally:
            metrics.open_requests -= 1
        elapsed_s = asyncio.get_running_loop().time() - started
        service = self._entry.active_config.config.find_service(service_name)
        metrics.record_response(service, response.error_kind, elapsed_s)
        if not self._caller_disconnected:
            await self.send_response(response)

    def on_connection_close(self) -> None:
        """Cancel an idempotent request when its caller disconnects; others go on."""
        self._caller_disconnected = True
        if self._running is not None:
            self._running.cancel()

    def parse_tasks(self, service: Service) -> tuple[bytes, ...]:
        """Return the payload of each task.

        :raises RequestError: when the body is not valid for the service's kind.
        """
        raise NotImplementedError

    async def _run_request(self, service_name: str, *, cancel: bool) -> Response:
        await self._entry.wait_until_open(STARTUP_WAIT_S)
        request = self._parse_request(service_name, cancel=cancel)
        if cancel:
            return await self._entry.request_router.cancel_request(request)
        running = asyncio.create_task(
            self._entry.request_router.handle_request(request)
        )
        if not request.exclusive:
            self._running = running
        return await running

    def _parse_request(self, service_name: str, *, cancel: bool) -> CallerRequest:
        config = self._entry.active_config.config
        if not self._entry.opened.is_set() or self._entry.active_config.version == 0:
            # An earlier submission of the key may have run at another entry.
            keyed = 'Idempotency-Key' in self.request.headers
            raise RequestError(
                ErrorKind.NOT_READY,
                self._entry.unready_reason(),
                execution_state=ExecutionState.UNKNOWN if keyed else None,
            )
        team = self._entry.find_team(self.get_bearer_token())
        if team is None:
            raise RequestError(ErrorKind.UNAUTHORISED, 'the token names no team')
        service = config.find_service(service_name)
        if service is None:
            raise RequestError(ErrorKind.UNKNOWN_SERVICE, service_name)
        if len(self.request.body) > self._entry.settings.max_body_bytes:
            raise RequestError(
                ErrorKind.BODY_TOO_LARGE,
                f'{self._entry.settings.max_body_bytes} bytes at most',
            )
        return self._build_request(team, service, cancel=cancel)

    def _build_request(
        self, team: Team, service: Service, *, cancel: bool
    ) -> CallerRequest:
        now = asyncio.get_running_loop().time()
        return CallerRequest(
            team=team.name,
            service=service,
            key=self._parse_key(service),
            tasks=() if cancel else self.parse_tasks(service),
            deadline=now + self._parse_deadline_ms(service) / 1000,
            weight=team.weight,
        )

    def _parse_key(self, service: Service) -> str:
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

    def _parse_deadline_ms(self, service: Service) -> int:
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
    """``POST /v1/services/{service}/requests``: run a single request."""

    async def post(self, service: str) -> None:
        """Run a request and wait for its result."""
        await self.handle_request(service)

    def parse_tasks(self, service: Service) -> tuple[bytes, ...]:
        """Return the body as the only payload."""
        if service.kind is ServiceKind.JOB:
            raise RequestError(
                ErrorKind.MALFORMED_REQUEST,
                'the service takes jobs',
            )
        return (_validate_payload(self.request.body),)


class JobsHandler(CallerHandler):
    """``/v1/services/{service}/jobs``: submit or cancel a job."""

    async def post(self, service: str, key: str = '') -> None:
        """Run a job and wait for the results of all tasks."""
        if key:
            await self._send_malformed('a submission has its key in the header')
            return
        await self.handle_request(service)

    async def delete(self, service: str, key: str = '') -> None:
        """Cancel the job with the key in the path."""
        if not key:
            await self._send_malformed('a cancellation has its key in the path')
            return
        await self.handle_request(service, cancel=True)

    def parse_tasks(self, service: Service) -> tuple[bytes, ...]:
        """Return the payload of each task in the body."""
        if service.kind is not ServiceKind.JOB:
            raise RequestError(
                ErrorKind.MALFORMED_REQUEST,
                'the service takes single requests',
            )
        try:
            body = msgspec.json.decode(self.request.body, type=JobBody)
        except DECODE_ERRORS as error:
            raise RequestError(ErrorKind.MALFORMED_REQUEST, str(error)) from error
        if not 0 < len(body.tasks) <= MAX_TASKS_PER_JOB:
            raise RequestError(
                ErrorKind.INVALID_JOB_SIZE,
                f'a job has 1 to {MAX_TASKS_PER_JOB} tasks',
            )
        return tuple(_validate_payload(bytes(task)) for task in body.tasks)

    async def _send_malformed(self, detail: str) -> None:
        error = RequestError(ErrorKind.MALFORMED_REQUEST, detail)
        await self.send_response(error_response(error))


def _validate_payload(payload: bytes) -> bytes:
    if len(payload) > MAX_PAYLOAD_BYTES:
        raise RequestError(
            ErrorKind.BODY_TOO_LARGE,
            f'a task has {MAX_PAYLOAD_BYTES} bytes at most',
        )
    return payload
