"""HTTP client for the processes of a fleet."""

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

REQUEST_TIMEOUT_S: Final = 5
_HTTP_OK: Final = 200
_HTTP_CONFLICT: Final = 409


class ProcessUnreachable(FleetError):
    """A process did not respond to an HTTP request."""


class FleetClient:
    """Sends operator requests to entries, shaping rules to processes, and faults.

    :param operator_token: bearer token sent with every request.
    """

    def __init__(self, operator_token: str) -> None:
        self._http = AsyncHTTPClient(force_instance=True)
        self._headers = {'Authorization': f'Bearer {operator_token}'}

    def close(self) -> None:
        """Close all connections."""
        self._http.close()

    async def get(self, url: str) -> HTTPResponse:
        """Send a GET request; a response is returned even if its status is not 200.

        :raises ProcessUnreachable: when the process does not respond.
        """
        return await self._fetch(url, 'GET')

    async def post(self, url: str, body: bytes) -> HTTPResponse:
        """Send a POST request; a response is returned even if its status is not 200.

        :raises ProcessUnreachable: when the process does not respond.
        """
        return await self._fetch(url, 'POST', body)

    async def fetch_status(self, url: str) -> EntryStatus | None:
        """Return the status of an entry, or ``None`` if it is not available."""
        try:
            response = await self.get(f'{url}/v1/status')
        except ProcessUnreachable:
            return None
        if response.code != _HTTP_OK:
            return None
        return msgspec.json.decode(response.body, type=EntryStatus)

    async def apply_shaping(self, url: str, rules: tuple[ShapingRule, ...]) -> None:
        """Replace the shaping rules of a process.

        :raises FleetError: when the process rejects them.
        """
        body = msgspec.json.encode(rules)
        response = await self.post(f'{url}/internal/shaping', body)
        _expect_ok(response)

    async def submit_config(
        self, url: str, config: OperatorConfig, based_on: int
    ) -> None:
        """Submit the operators' configuration; retry while the entry is not ready.

        A server error (5xx) is retried, and a conflict (409) is not an error.

        :param based_on: version on which the configuration is based.
        :raises FleetError: when the configuration is rejected.
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
            request_timeout=REQUEST_TIMEOUT_S,
        )
        try:
            return await self._http.fetch(request, raise_error=False)
        except (OSError, HTTPClientError) as error:
            raise ProcessUnreachable(f'{url}: {error}') from error


def _expect_ok(response: HTTPResponse) -> None:
    if response.code >= 300:
        url = response.effective_url
        body = response.body.decode(errors='replace')
        raise FleetError(f'{url} returned status {response.code}: {body}')
