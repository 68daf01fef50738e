"""HTTP client that submits jobs and requests to one entry."""

import asyncio
import itertools
import json
from collections.abc import Iterator
from typing import Final

from tornado.httpclient import AsyncHTTPClient
from tornado.httpclient import HTTPRequest

from endivetally.fleet import Fleet
from endivetally.fleet.process import FleetError

JOB_SERVICE: Final = 'sweeps'
LOOKUP_SERVICE: Final = 'lookups'
NOTE_SERVICE: Final = 'notes'
REQUEST_TIMEOUT_S: Final = 60
MAX_OPEN_REQUESTS: Final = 256
_HTTP_OK: Final = 200


class CapacityCaller:
    """Submits jobs and requests to the first entry of a fleet.

    At most `MAX_OPEN_REQUESTS` HTTP requests are open at a time.

    :param fleet: a running fleet.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._url = f'{fleet.entries[0].url}/v1/services'
        self._token = fleet.deployment.token
        self._keys = itertools.count()
        self._http = AsyncHTTPClient(force_instance=True, max_clients=MAX_OPEN_REQUESTS)

    def close(self) -> None:
        """Close the HTTP connections."""
        self._http.close()

    async def submit_job(self, tasks: int, run_ms: float = 0) -> None:
        """Submit a job and wait for its complete response.

        :param tasks: number of tasks in the job.
        :param run_ms: run time of each task.
        :raises FleetError: when the response has another status than 200.
        """
        payloads = [{'run_ms': run_ms} for _ in range(tasks)]
        body = json.dumps({'tasks': payloads})
        await self._post(f'{JOB_SERVICE}/jobs', body)

    async def submit_request(self, service: str) -> None:
        """Submit a single request and wait for its response.

        :raises FleetError: when the response has another status than 200.
        """
        await self._post(f'{service}/requests', json.dumps({'run_ms': 0}))

    async def submit_jobs(self, count: int, tasks: int, concurrency: int) -> None:
        """Submit jobs of the same size and wait for all responses.

        :param count: number of jobs.
        :param tasks: number of tasks in each job.
        :param concurrency: number of jobs that are open at a time.
        :raises ExceptionGroup: with the `FleetError` of each failed job.
        """
        remaining = iter(range(count))
        async with asyncio.TaskGroup() as group:
            for _ in range(concurrency):
                group.create_task(self._submit_remaining(remaining, tasks))

    async def _submit_remaining(self, remaining: Iterator[int], tasks: int) -> None:
        for _ in remaining:
            await self.submit_job(tasks)

    async def _post(self, path: str, body: str) -> None:
        headers = {
            'Authorization': f'Bearer {self._token}',
            'Idempotency-Key': f'capacity-{next(self._keys)}',
            'Content-Type': 'application/json',
        }
        request = HTTPRequest(
            f'{self._url}/{path}',
            method='POST',
            body=body,
            headers=headers,
            request_timeout=REQUEST_TIMEOUT_S,
        )
        response = await self._http.fetch(request, raise_error=False)
        if response.code != _HTTP_OK:
            raise FleetError(f'{path} returned {response.code}: {response.body!r}')
