"""HTTP client of the operators' API of an entry."""

from typing import Final
from typing import TypeVar

import msgspec
from endivetally_config.api import SUBMITTER_HEADER
from endivetally_config.api import ConfigHistory
from endivetally_config.api import SubmitResponse
from endivetally_config.operator_config import VersionedConfig
from endivetally_core.burn import BurnSnapshot
from endivetally_core.errors import EndivetallyError
from endivetally_core.errors import ErrorKind
from endivetally_core.errors import ExecutionState
from endivetally_core.errors import RequestError
from endivetally_core.joining import Address
from endivetally_core.status import EntryStatus
from tornado.httpclient import AsyncHTTPClient
from tornado.httpclient import HTTPRequest
from tornado.httpclient import HTTPResponse

DEFAULT_TIMEOUT_S: Final = 10

Body = TypeVar('Body')


class EntryUnreachable(EndivetallyError):
    """The entry sent no response, or one that cannot be decoded."""


class _ErrorBody(msgspec.Struct, frozen=True):
    code: ErrorKind
    detail: str = ''
    ran: ExecutionState = ExecutionState.UNKNOWN


class _ErrorResponse(msgspec.Struct, frozen=True):
    error: _ErrorBody


class OperatorClient:
    """Calls the operators' API of one entry.

    Every call raises `RequestError` for an error response, and `EntryUnreachable`
    when no valid response comes.

    :param token: token of the operators.
    :param timeout_s: seconds to wait for each response.
    """

    def __init__(
        self,
        entry: Address,
        token: str,
        timeout_s: float = DEFAULT_TIMEOUT_S,
    ) -> None:
        self._entry = entry
        self._token = token
        self._timeout_s = timeout_s
        self._http = AsyncHTTPClient()

    async def read_config(self) -> VersionedConfig:
        """Return the configuration in force at the entry, with its version."""
        return await self._read_body('/v1/text', VersionedConfig)

    async def read_history(self) -> ConfigHistory:
        """Return the history of configuration changes."""
        return await self._read_body('/v1/text/history', ConfigHistory)

    async def read_status(self) -> EntryStatus:
        """Return the status of the entry and of the targets that it knows."""
        return await self._read_body('/v1/status', EntryStatus)

    async def read_burn(self) -> BurnSnapshot:
        """Return the counts of good and bad responses for the burn report."""
        return await self._read_body('/v1/burn', BurnSnapshot)

    async def submit_config(self, encoded: bytes, based_on: int, submitter: str) -> int:
        """Submit a configuration and return the version that it was given.

        :param based_on: version that was edited; the entry refuses the change if
            another one is in force.
        :param submitter: name for the history of changes.
        """
        response = await self._send_request(
            f'/v1/text?based_on={based_on}',
            'PUT',
            {SUBMITTER_HEADER: submitter, 'Content-Type': 'application/json'},
            encoded,
        )
        return self._decode_body(response, SubmitResponse).version

    async def _read_body(self, path: str, body_type: type[Body]) -> Body:
        return self._decode_body(await self._send_request(path), body_type)

    async def _send_request(
        self,
        path: str,
        method: str = 'GET',
        headers: dict[str, str] | None = None,
        body: bytes | None = None,
    ) -> HTTPResponse:
        request = HTTPRequest(
            f'http://{self._entry}{path}',
            method=method,
            headers={'Authorization': f'Bearer {self._token}', **(headers or {})},
            body=body,
            request_timeout=self._timeout_s,
        )
        try:
            return await self._http.fetch(request, raise_error=False)
        except Exception as error:
            raise self._unreachable_error(str(error)) from error

    def _decode_body(self, response: HTTPResponse, body_type: type[Body]) -> Body:
        try:
            if response.code == 200:
                return msgspec.json.decode(response.body, type=body_type)
            error = msgspec.json.decode(response.body, type=_ErrorResponse).error
        except msgspec.DecodeError as cause:
            raise self._unreachable_error(f'status {response.code}, {cause}') from cause
        raise RequestError(error.code, error.detail, execution_state=error.ran)

    def _unreachable_error(self, detail: str) -> EntryUnreachable:
        return EntryUnreachable(f'no valid answer from entry {self._entry}: {detail}')
