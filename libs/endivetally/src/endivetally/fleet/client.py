"""HTTP calls that the fleet makes to its processes."""

import asyncio
from typing import Final

import msgspec
from endivetally_config.operator_config import OperatorConfig
from endivetally_config.operator_config import encode_config
from endivetally_core.shaping import ShapingRule
from endivetally_core.status import EntryStatus
from tornado.httpclient import AsyncHTTPClient
from tornado.httpclient import HTTPClientError
from tornado.httpclient import HTTPRequest
from tornado.httpclient import HTTPResponse

from endivetally.fleet.process import FleetError

CALL_TIMEOUT_S: Final = 5
_HTTP_OK: Final = 200
_HTTP_CONFLICT: Final = 409


class ProcessUnreachable(FleetError):
    """A process did not answer a call."""


class FleetClient:
    """Calls of operators, and of the bench to stand-ins.

    :param operator_token: bearer token of every call.
    """

    def __init__(self, operator_token: str) -> None:
        self._http = AsyncHTTPClient(force_instance=True)
        self._headers = {'Authorization': f'Bearer {operator_token}'}

    def close(self) -> None:
        """Close the connections."""
        self._http.close()

    async def get(self, url: str) -> HTTPResponse:
        """Fetch a URL; a status other than 200 is returned as well.

        :raises ProcessUnreachable: when the process does not answer.
        """
        return await self._fetch(url, 'GET')

    async def post(self, url: str, body: bytes) -> HTTPResponse:
        """Post a body; a status other than 200 is returned as well.

        :raises ProcessUnreachable: when the process does not answer.
        """
        return await self._fetch(url, 'POST', body)

    async def fetch_status(self, url: str) -> EntryStatus | None:
        """Return what an entry sees, or nothing when it gives no status."""
        try:
            response = await self.get(f'{url}/v1/status')
        except ProcessUnreachable:
            return None
        if response.code != _HTTP_OK:
            return None
        return msgspec.json.decode(response.body, type=EntryStatus)

    async def apply_shaping(self, url: str, rules: tuple[ShapingRule, ...]) -> None:
        """Put shaping rules in force at a process.

        :raises FleetError: when it refuses them.
        """
        body = msgspec.json.encode(rules)
        response = await self.post(f'{url}/internal/shaping', body)
        _expect_ok(response)

    async def submit_config(
        self, url: str, config: OperatorConfig, based_on: int
    ) -> None:
        """Submit the operators' text, again while the entry is not ready.

        :raises FleetError: when it is refused for good.
        """
        while True:
            response = await self._fetch(
                f'{url}/v1/text?based_on={based_on}',
                'PUT',
                encode_config(config),
            )
            if response.code < 500:
                break
            await asyncio.sleep(0.1)
        if response.code != _HTTP_CONFLICT:
            _expect_ok(response)

    async def _fetch(
        self,
        url: str,
        method: str,
        body: bytes | None = None,
    ) -> HTTPResponse:
        request = HTTPRequest(
            url,
            method=method,
            body=body,
            headers=self._headers,
            request_timeout=CALL_TIMEOUT_S,
        )
        try:
            return await self._http.fetch(request, raise_error=False)
        except (OSError, HTTPClientError) as error:
            raise ProcessUnreachable(f'{url}: {error}') from error


def _expect_ok(response: HTTPResponse) -> None:
    if response.code >= 300:
        url = response.effective_url
        body = response.body.decode(errors='replace')
        raise FleetError(f'{url} answered {response.code}: {body}')
