"""Runs tasks at the target over HTTP."""

import asyncio
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
# An unanswered cancellation of a run past its deadline is repeated this often.
CANCEL_ATTEMPTS: Final = 10
CANCEL_RETRY_S: Final = 0.2
MS_PER_S: Final = 1000
STATUS_OK: Final = 200


def format_attempt_id(attempt_id: AttemptId) -> str:
    """Return the value of the ``X-Task`` header for an attempt.

    >>> format_attempt_id(AttemptId('entry-1.00ff', 7, 0, 1))
    'entry-1.00ff/7/0/1'
    """
    return (
        f'{quote(attempt_id.owner)}/{attempt_id.sequence}/'
        f'{attempt_id.number}/{attempt_id.attempt}'
    )


class TargetClient:
    """HTTP client of the target.

    Never opens more connections than the target announced.
    """

    def __init__(self) -> None:
        self._client = SimpleAsyncHTTPClient(force_instance=True, max_clients=1)
        self._base_url = ''
        self._cancelled: set[AttemptId] = set()

    def configure(self, announcement: Announcement) -> None:
        """Use the port and connection limit of an announcement from now on."""
        self._base_url = f'http://127.0.0.1:{announcement.port}'
        self._client.max_clients = announcement.connections

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    async def run_task(self, dispatch: Dispatch) -> Outcome:
        """Run a task until it ends or its deadline passes.

        A run past its deadline is cancelled. Until the target answers that, the run
        may go on there and uses its slot, but no longer than for `CANCEL_ATTEMPTS`.

        :return: the outcome, with the status ``refused`` only if the target refused
            the connection, so that nothing was sent, and with ``unknown`` if the
            deadline passed or the connection was lost.
        """
        started_at = time.monotonic()
        outcome = await self._send_run_request(dispatch, started_at)
        self._cancelled.discard(dispatch.attempt_id)
        return outcome

    async def cancel_task(self, attempt_id: AttemptId) -> None:
        """Ask the target to stop a task, which may still end with any status.

        A request that fails is not repeated.
        """
        await self._try_cancel(attempt_id)

    async def _cancel_until_answered(self, attempt_id: AttemptId) -> None:
        attempts_left = CANCEL_ATTEMPTS
        while not await self._try_cancel(attempt_id):
            attempts_left -= 1
            if not attempts_left:
                return
            await asyncio.sleep(CANCEL_RETRY_S)

    async def _try_cancel(self, attempt_id: AttemptId) -> bool:
        """Return whether the target answered, or nothing listens there any more."""
        self._cancelled.add(attempt_id)
        request = HTTPRequest(
            f'{self._base_url}/cancel',
            method='POST',
            headers={'X-Task': format_attempt_id(attempt_id)},
            body=b'',
            request_timeout=CANCEL_TIMEOUT_S,
        )
        try:
            await self._client.fetch(request, raise_error=False)
        except ConnectionRefusedError:
            return True
        except (HTTPClientError, OSError):
            return False
        return True

    async def _send_run_request(self, dispatch: Dispatch, started_at: float) -> Outcome:
        attempt_id = dispatch.attempt_id
        try:
            response = await self._client.fetch(
                self._make_run_request(dispatch), raise_error=False
            )
        except ConnectionRefusedError:
            return Outcome(attempt_id, 'refused', RefusalReason.CLOSED.value)
        except HTTPTimeoutError:
            await self._cancel_until_answered(attempt_id)
            return Outcome(
                attempt_id, 'unknown', 'deadline', run_ms=_elapsed_ms(started_at)
            )
        except (HTTPClientError, OSError, ValueError):
            return Outcome(
                attempt_id, 'unknown', 'connection_lost', run_ms=_elapsed_ms(started_at)
            )
        return self._make_outcome(response, attempt_id, _elapsed_ms(started_at))

    def _make_run_request(self, dispatch: Dispatch) -> HTTPRequest:
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

    def _make_outcome(
        self, response: HTTPResponse, attempt_id: AttemptId, run_ms: float
    ) -> Outcome:
        if response.code == STATUS_OK:
            return Outcome(attempt_id, 'done', body=response.body, run_ms=run_ms)
        if attempt_id in self._cancelled:
            return Outcome(attempt_id, 'cancelled', 'cancelled', run_ms=run_ms)
        reason = f'status_{response.code}'
        return Outcome(attempt_id, 'failed', reason, run_ms=run_ms)


def _elapsed_ms(started_at: float) -> float:
    return (time.monotonic() - started_at) * MS_PER_S
