"""Runs started tasks against the target over HTTP."""

import contextlib
import time
from typing import Final
from urllib.parse import quote

from endivetally_core.joining import Announcement
from endivetally_core.messages import AttemptId
from endivetally_core.messages import Dispatch
from endivetally_core.messages import Outcome
from tornado.httpclient import HTTPClientError
from tornado.httpclient import HTTPRequest
from tornado.httpclient import HTTPResponse
from tornado.simple_httpclient import HTTPTimeoutError
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from endivetally_agent.admission import RefusalReason

CANCEL_TIMEOUT_S: Final = 1
MS_PER_S: Final = 1000
STATUS_OK: Final = 200


def format_attempt_id(name: AttemptId) -> str:
    """Return a binding's name as it stands in the ``X-Task`` header.

    >>> format_attempt_id(AttemptId('entry-1.00ff', 7, 0, 1))
    'entry-1.00ff/7/0/1'
    """
    return f'{quote(name.owner)}/{name.sequence}/{name.number}/{name.attempt}'


class TargetClient:
    """HTTP client of the target; never opens more than its connections."""

    def __init__(self) -> None:
        self._client = SimpleAsyncHTTPClient(force_instance=True, max_clients=1)
        self._base_url = ''
        self._cancelled: set[AttemptId] = set()

    def configure(self, announcement: Announcement) -> None:
        """Use the target of an announcement from now on."""
        self._base_url = f'http://127.0.0.1:{announcement.port}'
        self._client.max_clients = announcement.connections

    def close(self) -> None:
        """Release the connections."""
        self._client.close()

    async def run(self, dispatch: Dispatch) -> Outcome:
        """Run a task to its end or deadline.

        :return: ``refused`` only if the connection was refused, so that nothing
            was sent.
        """
        started_s = time.monotonic()
        outcome = await self._attempt(dispatch, started_s)
        self._cancelled.discard(dispatch.attempt_id)
        return outcome

    async def cancel(self, name: AttemptId) -> None:
        """Ask the target to stop a task; it may end in any way."""
        self._cancelled.add(name)
        request = HTTPRequest(
            f'{self._base_url}/cancel',
            method='POST',
            headers={'X-Task': format_attempt_id(name)},
            body=b'',
            request_timeout=CANCEL_TIMEOUT_S,
        )
        with contextlib.suppress(HTTPClientError, OSError):
            await self._client.fetch(request)

    async def _attempt(self, dispatch: Dispatch, started_s: float) -> Outcome:
        name = dispatch.attempt_id
        try:
            response = await self._client.fetch(
                self._request(dispatch), raise_error=False
            )
        except ConnectionRefusedError:
            return Outcome(name, 'refused', RefusalReason.CLOSED.value)
        except HTTPTimeoutError:
            await self.cancel(name)
            return Outcome(name, 'unknown', 'deadline', run_ms=_elapsed_ms(started_s))
        except (HTTPClientError, OSError, ValueError):
            return Outcome(
                name, 'unknown', 'connection_lost', run_ms=_elapsed_ms(started_s)
            )
        return self._outcome_of(response, name, _elapsed_ms(started_s))

    def _request(self, dispatch: Dispatch) -> HTTPRequest:
        timeout_s = dispatch.deadline_ms / MS_PER_S
        return HTTPRequest(
            f'{self._base_url}/run',
            method='POST',
            headers={
                'X-Task': format_attempt_id(dispatch.attempt_id),
                'X-Service': quote(dispatch.service),
                'X-Deadline-Ms': str(dispatch.deadline_ms),
                'Content-Type': 'application/octet-stream',
            },
            body=dispatch.payload,
            connect_timeout=timeout_s,
            request_timeout=timeout_s,
            follow_redirects=False,
        )

    def _outcome_of(
        self, response: HTTPResponse, name: AttemptId, run_ms: float
    ) -> Outcome:
        if response.code == STATUS_OK:
            return Outcome(name, 'done', body=response.body, run_ms=run_ms)
        if name in self._cancelled:
            return Outcome(name, 'cancelled', 'cancelled', run_ms=run_ms)
        reason = f'status_{response.code}'
        return Outcome(name, 'failed', reason, run_ms=run_ms)


def _elapsed_ms(started_s: float) -> float:
    return (time.monotonic() - started_s) * MS_PER_S
