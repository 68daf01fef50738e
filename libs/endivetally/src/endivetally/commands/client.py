"""HTTP client of the operators' calls."""

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
    """An entry gave no answer, or one that is not its own."""


class _ErrorBody(msgspec.Struct, frozen=True):
    code: ErrorKind
    detail: str = ''
    ran: ExecutionState = ExecutionState.UNKNOWN


class _ErrorAnswer(msgspec.Struct, frozen=True):
    error: _ErrorBody


class OperatorClient:
    """Calls one entry with the operators' token.

    :param timeout_s: seconds to wait for each answer.
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

    async def read_text(self) -> VersionedConfig:
        """Return the text in force at the entry."""
        return await self._read('/v1/text', VersionedConfig)

    async def read_history(self) -> ConfigHistory:
        """Return the changes of the text."""
        return await self._read('/v1/text/history', ConfigHistory)

    async def read_status(self) -> EntryStatus:
        """Return what the entry sees."""
        return await self._read('/v1/status', EntryStatus)

    async def read_burn(self) -> BurnSnapshot:
        """Return the counts for the burn report."""
        return await self._read('/v1/burn', BurnSnapshot)

    async def submit_text(self, encoded: bytes, based_on: int, submitter: str) -> int:
        """Submit a text and return the version that it got."""
        answer = await self._fetch(
            f'/v1/text?based_on={based_on}',
            'PUT',
            {SUBMITTER_HEADER: submitter, 'Content-Type': 'application/json'},
            encoded,
        )
        return self._decode(answer, SubmitResponse).version

    async def _read(self, path: str, body_type: type[Body]) -> Body:
        return self._decode(await self._fetch(path), body_type)

    async def _fetch(
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
            raise self._unreachable(str(error)) from error

    def _decode(self, answer: HTTPResponse, body_type: type[Body]) -> Body:
        try:
            if answer.code == 200:
                return msgspec.json.decode(answer.body, type=body_type)
            error = msgspec.json.decode(answer.body, type=_ErrorAnswer).error
        except msgspec.DecodeError as cause:
            raise self._unreachable(f'status {answer.code}, {cause}') from cause
        raise RequestError(error.code, error.detail, ran=error.ran)

    def _unreachable(self, detail: str) -> EntryUnreachable:
        return EntryUnreachable(f'no valid answer from entry {self._entry}: {detail}')
