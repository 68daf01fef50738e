"""Process that sends each planned request when it is due and records the response.

Run as ``python -m endivetally.load.sender PLAN RECORDS``. Response times count
from the time at which a request was due. Otherwise a slow dispatcher could delay
the sender and thereby hide its own delays (coordinated omission).
"""

import asyncio
import random
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Final

import msgspec
from tornado.httpclient import AsyncHTTPClient
from tornado.httpclient import HTTPClientError
from tornado.httpclient import HTTPRequest
from tornado.httpclient import HTTPResponse

from endivetally.load.mix import Arrival
from endivetally.load.responses import CheckedResponse
from endivetally.load.responses import Verdict
from endivetally.load.responses import check_response
from endivetally.load.responses import request_body
from endivetally.load.responses import request_path

MAX_OPEN_REQUESTS: Final = 20_000
CONNECT_TIMEOUT_S: Final = 5
RESUBMISSION_DELAY_S: Final = 0.25
_MS_PER_S: Final = 1000


class LoadPlan(msgspec.Struct, frozen=True):
    """Requests that one sending process sends.

    :param start: monotonic time at which the load starts.
    :param entries: base URLs of the entries.
    :param token: bearer token of the caller.
    :param patience_s: seconds after which a caller gives up, counted from when
        its request was due.
    :param seed: seed of the order in which a caller tries the entries.
    """

    start: float
    entries: list[str]
    token: str
    patience_s: float
    seed: int
    arrivals: list[Arrival]


class LoadRecord(msgspec.Struct, frozen=True):
    """How one request ended.

    :param key: idempotency key of the request.
    :param code: error code; empty for a complete response.
    :param response_ms: milliseconds from when it was due to the end of its response.
    :param late_ms: milliseconds from when it was due to when it was sent.
    :param done_s: when it ended, in seconds after the start of the load.
    :param submissions: how many times it was submitted with the same key.
    """

    key: str
    verdict: Verdict
    code: str
    response_ms: float
    late_ms: float
    done_s: float
    submissions: int


OnRecord = Callable[[LoadRecord], None]


class Caller:
    """Sends requests to entries as callers behind a load balancer would.

    A caller whose connection ends without a response submits the request again
    through another entry, with the same idempotency key.

    :param on_record: called with the record of each request when it has ended.
    """

    def __init__(self, plan: LoadPlan, on_record: OnRecord | None = None) -> None:
        self._on_record = on_record
        self._plan = plan
        self._random = random.Random(plan.seed)
        self._http = AsyncHTTPClient(
            force_instance=True,
            max_clients=MAX_OPEN_REQUESTS,
        )

    async def run(self) -> list[LoadRecord]:
        """Send every request when it is due and return the records."""
        async with asyncio.TaskGroup() as group:
            tasks = [
                group.create_task(self._send_when_due(planned))
                for planned in self._plan.arrivals
            ]
        self._http.close()
        return [task.result() for task in tasks]

    async def _send_when_due(self, arrival: Arrival) -> LoadRecord:
        due = self._plan.start + arrival.at_s
        await asyncio.sleep(due - time.monotonic())
        late_ms = (time.monotonic() - due) * _MS_PER_S
        checked, submissions = await self._submit_until_answered(
            arrival,
            due + self._plan.patience_s,
        )
        done = time.monotonic()
        record = LoadRecord(
            key=arrival.key,
            verdict=checked.verdict,
            code=checked.code,
            response_ms=(done - due) * _MS_PER_S,
            late_ms=late_ms,
            done_s=done - self._plan.start,
            submissions=submissions,
        )
        if self._on_record:
            self._on_record(record)
        return record

    async def _submit_until_answered(
        self,
        arrival: Arrival,
        give_up_at: float,
    ) -> tuple[CheckedResponse, int]:
        entries = self._random.sample(self._plan.entries, len(self._plan.entries))
        submissions = 0
        while time.monotonic() < give_up_at:
            entry = entries[submissions % len(entries)]
            submissions += 1
            timeout_s = give_up_at - time.monotonic()
            try:
                response = await self._fetch(entry, arrival, timeout_s)
            except (OSError, HTTPClientError):
                await asyncio.sleep(RESUBMISSION_DELAY_S)
                continue
            checked = check_response(arrival, response.code, response.body)
            return checked, submissions
        return CheckedResponse(Verdict.LOST, 'no_answer'), submissions

    async def _fetch(
        self,
        entry: str,
        arrival: Arrival,
        timeout_s: float,
    ) -> HTTPResponse:
        headers = {
            'Authorization': f'Bearer {self._plan.token}',
            'Idempotency-Key': arrival.key,
            'Content-Type': 'application/json',
        }
        request = HTTPRequest(
            entry + request_path(arrival),
            method='POST',
            body=request_body(arrival),
            headers=headers,
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=max(timeout_s, 0.001),
        )
        return await self._http.fetch(request, raise_error=False)


def main(plan_file: str, records_file: str) -> None:
    """Send the requests of a plan and write their records.

    :param plan_file: path of a `LoadPlan` as JSON.
    :param records_file: path to which the list of `LoadRecord` is written as JSON.
    """
    plan = msgspec.json.decode(Path(plan_file).read_bytes(), type=LoadPlan)
    records = asyncio.run(Caller(plan).run())
    Path(records_file).write_bytes(msgspec.json.encode(records))


if __name__ == '__main__':
    main(*sys.argv[1:])
