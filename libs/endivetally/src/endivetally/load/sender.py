"""A process that sends planned requests at their times and records the answers.

Run as ``python -m endivetally.load.sender PLAN RECORDS``. Response times count
from the time at which a request was due, so that a slow dispatcher can't make
the generator wait and so hide its own delays.
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
RESUBMISSION_PAUSE_S: Final = 0.25
_MS_PER_S: Final = 1000


class LoadPlan(msgspec.Struct, frozen=True):
    """What one worker process sends.

    :param start: monotonic clock at which the load starts.
    :param entries: base URLs of the entries.
    :param patience_s: seconds after which a caller gives up.
    """

    start: float
    entries: list[str]
    token: str
    patience_s: float
    seed: int
    arrivals: list[Arrival]


class LoadRecord(msgspec.Struct, frozen=True):
    """How one request ended.

    :param response_ms: from the time it was due to the end of its answer.
    :param late_ms: by how much the generator sent it late.
    :param done_s: seconds after the start of the load at which it ended.
    :param submissions: how often it was submitted, with the same key.
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
    """Sends requests to entries as callers behind the balancer would.

    A caller whose connection ends without an answer submits the request again,
    with the same key, through another entry.

    :param on_record: told of each record as it is made.
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
        """Send every request at its time and return the records."""
        async with asyncio.TaskGroup() as group:
            tasks = [group.create_task(self._call(due)) for due in self._plan.arrivals]
        self._http.close()
        return [task.result() for task in tasks]

    async def _call(self, arrival: Arrival) -> LoadRecord:
        due = self._plan.start + arrival.at_s
        await asyncio.sleep(due - time.monotonic())
        late_ms = (time.monotonic() - due) * _MS_PER_S
        checked, submissions = await self._submit_until(
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

    async def _submit_until(
        self,
        arrival: Arrival,
        give_up: float,
    ) -> tuple[CheckedResponse, int]:
        entries = self._random.sample(self._plan.entries, len(self._plan.entries))
        submissions = 0
        while time.monotonic() < give_up:
            entry = entries[submissions % len(entries)]
            submissions += 1
            left_s = give_up - time.monotonic()
            try:
                response = await self._fetch(entry, arrival, left_s)
            except (OSError, HTTPClientError):
                await asyncio.sleep(RESUBMISSION_PAUSE_S)
                continue
            checked = check_response(arrival, response.code, response.body)
            return checked, submissions
        return CheckedResponse(Verdict.LOST, 'no_answer'), submissions

    async def _fetch(
        self,
        entry: str,
        arrival: Arrival,
        left_s: float,
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
            request_timeout=max(left_s, 0.001),
        )
        return await self._http.fetch(request, raise_error=False)


def main(plan_file: str, records_file: str) -> None:
    """Run a plan and write the records.

    :param plan_file: JSON of a `LoadPlan`.
    :param records_file: receives a JSON list of `LoadRecord`.
    """
    plan = msgspec.json.decode(Path(plan_file).read_bytes(), type=LoadPlan)
    records = asyncio.run(Caller(plan).run())
    Path(records_file).write_bytes(msgspec.json.encode(records))


if __name__ == '__main__':
    main(*sys.argv[1:])
