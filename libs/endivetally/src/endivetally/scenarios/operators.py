"""Operators of a scenario, and the versions that each process has in force."""

import asyncio
import re
import time
from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Any
from typing import Final

import msgspec
from endivetally_config.api import SubmitResponse
from endivetally_config.operator_config import OperatorConfig
from endivetally_config.operator_config import encode_config
from tornado.httpclient import AsyncHTTPClient
from tornado.httpclient import HTTPClientError
from tornado.httpclient import HTTPRequest

from endivetally.fleet import Fleet
from endivetally.fleet.client import ProcessUnreachable
from endivetally.fleet.deployment import OPERATOR_TOKEN
from endivetally.fleet.process import FleetProcess

LOOK_INTERVAL_S: Final = 0.2
SUBMIT_TIMEOUT_S: Final = 30
_VERSION: Final = re.compile(r'^endivetally_text_version(?:{})? (\S+)', re.MULTILINE)


@dataclass(frozen=True, slots=True)
class TextSubmission:
    """A submitted text and the answer to its operator.

    :param version: version that it got; 0 unless it was accepted.
    :param answered_s: wall time.
    """

    label: str
    text: OperatorConfig
    status: int
    version: int
    answered_s: float


@dataclass(frozen=True, slots=True)
class Sighting:
    """A version that a process had in force at a time."""

    process: str
    pid: int
    version: int
    seen_s: float


class Operators:
    """Submits texts and follows their versions."""

    def __init__(self, fleet: Fleet) -> None:
        self.submissions: list[TextSubmission] = []
        self.sightings: list[Sighting] = []
        self._fleet = fleet
        self._http = AsyncHTTPClient(force_instance=True)
        self._weight = 1
        self._looking: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def newest_version(self) -> int:
        """Newest version that an operator was told to be in force."""
        accepted = (submission.version for submission in self.submissions)
        return max(accepted, default=1)

    def find(self, label: str) -> TextSubmission:
        """Return a submission by its label."""
        return next(each for each in self.submissions if each.label == label)

    def close(self) -> None:
        """Stop looking at versions."""
        for task in self._tasks:
            task.cancel()
        self._http.close()

    async def submit(self, label: str, entry: str, based_on: int) -> None:
        """Submit a text that differs from all before it."""
        if not self._tasks:
            self._spawn(self._look_forever())
        text = self._next_text()
        status, body = await self._put(entry, based_on, encode_config(text))
        version = 0
        if status == 200:
            version = msgspec.json.decode(body, type=SubmitResponse).version
        self.submissions.append(
            TextSubmission(label, text, status, version, time.time()),
        )

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _put(self, entry: str, based_on: int, body: bytes) -> tuple[int, bytes]:
        request = HTTPRequest(
            f'{self._fleet.process(entry).url}/v1/text?based_on={based_on}',
            method='PUT',
            body=body,
            headers={'Authorization': f'Bearer {OPERATOR_TOKEN}'},
            request_timeout=SUBMIT_TIMEOUT_S,
        )
        try:
            response = await self._http.fetch(request, raise_error=False)
        except (OSError, HTTPClientError):
            return 0, b''
        return response.code, response.body

    def _next_text(self) -> OperatorConfig:
        self._weight += 1
        text = self._fleet.deployment.text
        first, *others = text.teams
        changed = msgspec.structs.replace(first, weight=self._weight)
        return msgspec.structs.replace(text, teams=(changed, *others))

    async def _look_forever(self) -> None:
        while True:
            for process in (*self._fleet.entries, *self._fleet.agents):
                if process.name not in self._looking:
                    self._looking.add(process.name)
                    self._spawn(self._look(process))
            await asyncio.sleep(LOOK_INTERVAL_S)

    async def _look(self, process: FleetProcess) -> None:
        pid = process.pid
        try:
            response = await self._fleet.client.get(f'{process.url}/metrics')
        except ProcessUnreachable:
            return
        finally:
            self._looking.discard(process.name)
        found = _VERSION.search(response.body.decode())
        if found:
            version = round(float(found[1]))
            self.sightings.append(
                Sighting(process.name, pid, version, time.time()),
            )


def reverted(sightings: list[Sighting]) -> list[str]:
    """Return the processes whose version went back while they ran.

    A process without a text, at version 0, has nothing in force yet.

    >>> reverted([Sighting('a', 1, 2, 0.5), Sighting('a', 1, 1, 0.7)])
    ['a']
    >>> reverted([Sighting('a', 1, 2, 0.5), Sighting('a', 2, 0, 0.7)])
    []
    >>> reverted([Sighting('a', 1, 2, 0.5), Sighting('a', 2, 1, 0.7)])
    ['a']
    """
    newest: dict[str, int] = {}
    found: list[str] = []
    for sighting in sightings:
        known = newest.get(sighting.process, 0)
        if 0 < sighting.version < known:
            found.append(sighting.process)
        newest[sighting.process] = max(known, sighting.version)
    return sorted(set(found))
