"""Simulated operators, and the configuration versions that processes apply."""

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

VERSION_POLL_INTERVAL_S: Final = 0.2
SUBMIT_TIMEOUT_S: Final = 30
_VERSION: Final = re.compile(r'^endivetally_text_version(?:{})? (\S+)', re.MULTILINE)


@dataclass(frozen=True, slots=True)
class ConfigSubmission:
    """A submitted configuration and the response to its operator.

    :param status: HTTP status; 0 when no response arrived.
    :param version: version assigned to it; 0 unless it was accepted.
    :param responded_at_s: wall time of the response, in seconds.
    """

    label: str
    config: OperatorConfig
    status: int
    version: int
    responded_at_s: float


@dataclass(frozen=True, slots=True)
class ObservedVersion:
    """Configuration version that a process reported in its metrics.

    :param observed_at_s: wall time of the observation, in seconds.
    """

    process: str
    pid: int
    version: int
    observed_at_s: float


class Operators:
    """Submits configurations and polls the version that each process has applied."""

    def __init__(self, fleet: Fleet) -> None:
        self.submissions: list[ConfigSubmission] = []
        self.observed_versions: list[ObservedVersion] = []
        self._fleet = fleet
        self._http = AsyncHTTPClient(force_instance=True)
        self._team_weight = 1
        self._polls_in_progress: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def newest_version(self) -> int:
        """Newest version that was accepted; 1 before the first submission."""
        accepted = (submission.version for submission in self.submissions)
        return max(accepted, default=1)

    def find_submission(self, label: str) -> ConfigSubmission:
        """Return the submission with this label."""
        return next(each for each in self.submissions if each.label == label)

    def close(self) -> None:
        """Stop polling versions and close the connections."""
        for task in self._tasks:
            task.cancel()
        self._http.close()

    async def submit_config(self, label: str, entry: str, based_on: int) -> None:
        """Submit a configuration that differs from all earlier ones."""
        if not self._tasks:
            self._start_background(self._poll_versions())
        config = self._make_changed_config()
        status, body = await self._put_config(entry, based_on, encode_config(config))
        version = 0
        if status == 200:
            version = msgspec.json.decode(body, type=SubmitResponse).version
        self.submissions.append(
            ConfigSubmission(label, config, status, version, time.time()),
        )

    def _start_background(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _put_config(
        self, entry: str, based_on: int, body: bytes
    ) -> tuple[int, bytes]:
        request = HTTPRequest(
            f'{self._fleet.get_process(entry).url}/v1/text?based_on={based_on}',
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

    def _make_changed_config(self) -> OperatorConfig:
        self._team_weight += 1
        config = self._fleet.deployment.config
        first, *others = config.teams
        changed = msgspec.structs.replace(first, weight=self._team_weight)
        return msgspec.structs.replace(config, teams=(changed, *others))

    async def _poll_versions(self) -> None:
        while True:
            for process in (*self._fleet.entries, *self._fleet.agents):
                if process.name not in self._polls_in_progress:
                    self._polls_in_progress.add(process.name)
                    self._start_background(self._observe_version(process))
            await asyncio.sleep(VERSION_POLL_INTERVAL_S)

    async def _observe_version(self, process: FleetProcess) -> None:
        pid = process.pid
        try:
            response = await self._fleet.client.get(f'{process.url}/metrics')
        except ProcessUnreachable:
            return
        finally:
            self._polls_in_progress.discard(process.name)
        found = _VERSION.search(response.body.decode())
        if found:
            version = round(float(found[1]))
            self.observed_versions.append(
                ObservedVersion(process.name, pid, version, time.time()),
            )


def find_reverted_processes(observed_versions: list[ObservedVersion]) -> list[str]:
    """Return the processes whose version went back, also across a restart.

    Version 0 is ignored: the process has no configuration yet.

    >>> seen = ObservedVersion('a', 1, 2, 0.5)
    >>> find_reverted_processes([seen, ObservedVersion('a', 1, 1, 0.7)])
    ['a']
    >>> find_reverted_processes([seen, ObservedVersion('a', 2, 0, 0.7)])
    []
    >>> find_reverted_processes([seen, ObservedVersion('a', 2, 1, 0.7)])
    ['a']
    """
    newest: dict[str, int] = {}
    found: list[str] = []
    for observed in observed_versions:
        known = newest.get(observed.process, 0)
        if 0 < observed.version < known:
            found.append(observed.process)
        newest[observed.process] = max(known, observed.version)
    return sorted(set(found))
