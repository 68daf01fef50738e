"""Simulated callers of a scenario: their requests and the responses."""

import asyncio
import random
import time
from collections import Counter
from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Any
from typing import Final

from endivetally_config.operator_config import ServiceKind
from tornado.httpclient import AsyncHTTPClient
from tornado.httpclient import HTTPClientError
from tornado.httpclient import HTTPRequest
from tornado.httpclient import HTTPResponse

from endivetally.fleet import Fleet
from endivetally.load.mix import Arrival
from endivetally.load.responses import CheckedResponse
from endivetally.load.responses import Verdict
from endivetally.load.responses import check_response
from endivetally.load.responses import request_body
from endivetally.load.responses import request_path

# Largest number of requests that wait for a response at the same time.
MAX_OPEN_REQUESTS: Final = 5000
# Time after which a caller stops waiting for a response and stops retrying.
CALLER_TIMEOUT_S: Final = 45
CONNECT_TIMEOUT_S: Final = 5
HEALTH_CHECK_TIMEOUT_S: Final = 0.5
RETRY_DELAY_S: Final = 0.1


@dataclass(slots=True)
class Submission:
    """One request of a caller and, once it has arrived, its response.

    :param label: name in the scenario; requests that are sent together share it.
    :param sent_at_s: wall time of the submission, in seconds.
    :param responded_at_s: wall time of the response, in seconds; 0 before.
    :param broken_connections: connections that ended without a response.
    """

    label: str
    arrival: Arrival
    sent_at_s: float
    responded_at_s: float = 0
    response: CheckedResponse | None = None
    broken_connections: int = 0

    @property
    def key(self) -> str:
        """Idempotency key of the request."""
        return self.arrival.key

    @property
    def verdict(self) -> Verdict:
        """How the request ended; lost until a response arrives."""
        return Verdict.LOST if self.response is None else self.response.verdict

    def record_response(self, response: CheckedResponse) -> None:
        """Store the response and the current time."""
        self.response = response
        self.responded_at_s = time.time()


class Callers:
    """Sends requests and records the responses.

    :param seed: seed of the load balancer that chooses entries.
    """

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self.submissions: list[Submission] = []
        self._fleet = fleet
        self._rng = random.Random(seed)
        self._tasks: set[asyncio.Task[None]] = set()
        self._expected_counts: Counter[str] = Counter()
        self._http = AsyncHTTPClient(
            force_instance=True,
            max_clients=MAX_OPEN_REQUESTS,
        )

    @staticmethod
    def key_of_task(task_id: str) -> str:
        """Return the idempotency key of the request that a task belongs to.

        >>> Callers.key_of_task('k1/3')
        'k1'
        """
        return task_id.rpartition('/')[0]

    def close(self) -> None:
        """Cancel all requests without a response and close the connections."""
        for task in self._tasks:
            task.cancel()
        self._http.close()

    def find_submissions(self, label: str) -> list[Submission]:
        """Return the submissions with a label or a key."""
        return [each for each in self.submissions if label in {each.label, each.key}]

    def find_keys(self, label: str) -> set[str]:
        """Return the keys of the submissions with a label or a key."""
        return {submission.key for submission in self.find_submissions(label)}

    def has_all_responses(self, label: str) -> bool:
        """Return whether every request of a label was sent and has ended."""
        found = self.find_submissions(label)
        complete = len(found) >= self._expected_counts[label]
        return complete and all(each.response is not None for each in found)

    def submit_request(self, label: str, arrival: Arrival, entry: str) -> None:
        """Send a request to one entry in the background, without retries."""
        submission = Submission(label, arrival, time.time())
        self.submissions.append(submission)
        self._start_background(
            self._submit_once(submission, self._fleet.get_process(entry).url)
        )

    async def send_load(
        self,
        label: str,
        arrivals: list[Arrival],
    ) -> None:
        """Send requests at their arrival times through a load balancer.

        A caller whose connection ends without a response submits again.
        """
        started_s = time.monotonic()
        for arrival in arrivals:
            await asyncio.sleep(started_s + arrival.at_s - time.monotonic())
            submission = Submission(label, arrival, time.time())
            self.submissions.append(submission)
            self._start_background(self._send_until_response(submission))

    def start_load(self, label: str, arrivals: list[Arrival]) -> None:
        """Start to send requests in the background."""
        self._expected_counts[label] += len(arrivals)
        self._start_background(self.send_load(label, arrivals))

    async def cancel_job(self, arrival: Arrival, entry: str) -> int:
        """Ask an entry to cancel a job and return the status of its response."""
        url = f'{self._fleet.get_process(entry).url}/v1/services/{arrival.service}/jobs'
        request = HTTPRequest(
            f'{url}/{arrival.key}',
            method='DELETE',
            headers=self._build_headers(arrival),
        )
        response = await self._http.fetch(request, raise_error=False)
        return response.code

    async def wait_until_done(self) -> None:
        """Wait until every request has a response or has timed out."""
        while self._tasks:
            await asyncio.wait(self._tasks)

    def _start_background(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _submit_once(self, submission: Submission, url: str) -> None:
        checked = await self._fetch(submission, url)
        submission.record_response(
            checked or CheckedResponse(Verdict.LOST, 'connection_ended')
        )

    async def _send_until_response(self, submission: Submission) -> None:
        deadline_s = time.monotonic() + CALLER_TIMEOUT_S
        while time.monotonic() < deadline_s:
            url = await self._pick_healthy_entry()
            checked = await self._fetch(submission, url) if url else None
            if checked is not None:
                submission.record_response(checked)
                return
            await asyncio.sleep(RETRY_DELAY_S)
        submission.record_response(CheckedResponse(Verdict.LOST, 'no_answer'))

    async def _pick_healthy_entry(self) -> str:
        """Return the URL of a random healthy entry, or an empty string."""
        entries = self._fleet.entries
        self._rng.shuffle(entries)
        for entry in entries:
            if await self._is_healthy(entry.url):
                return entry.url
        return ''

    async def _is_healthy(self, url: str) -> bool:
        request = HTTPRequest(
            f'{url}/healthz',
            connect_timeout=HEALTH_CHECK_TIMEOUT_S,
            request_timeout=HEALTH_CHECK_TIMEOUT_S,
        )
        try:
            response = await self._http.fetch(request, raise_error=False)
        except (OSError, HTTPClientError):
            return False
        return response.code == 200

    async def _fetch(self, submission: Submission, url: str) -> CheckedResponse | None:
        arrival = submission.arrival
        try:
            response = await self._post_request(arrival, url)
        except ConnectionRefusedError:
            return None
        except (OSError, HTTPClientError):
            submission.broken_connections += 1
            return None
        return check_response(arrival, response.code, response.body)

    async def _post_request(self, arrival: Arrival, url: str) -> HTTPResponse:
        request = HTTPRequest(
            url + request_path(arrival),
            method='POST',
            body=request_body(arrival),
            headers=self._build_headers(arrival),
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=CALLER_TIMEOUT_S,
        )
        return await self._http.fetch(request, raise_error=False)

    def _build_headers(self, arrival: Arrival) -> dict[str, str]:
        return {
            'Authorization': f'Bearer {self._fleet.deployment.token}',
            'Idempotency-Key': arrival.key,
            'Content-Type': 'application/json',
        }


def runs_at_most_once(arrival: Arrival) -> bool:
    """Return whether each task of a request may start at most once."""
    return arrival.kind is not ServiceKind.IDEMPOTENT
