"""Stand-in for a worker: it starts, stops and lists runs as the pages say."""

import asyncio
import math
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from http_server import HttpServer
from http_server import Request
from http_server import Response
from http_server import call

HEARTBEAT_S = 1.5
HOLD_MAX_MS = 1000
TICK_S = 0.002


@dataclass(slots=True)
class ActiveRun:
    """A run that works on a task."""

    task: str
    run: int
    started_at: float
    work_s: float

    @property
    def percent(self) -> int:
        """Progress of the task."""
        return min(int((time.monotonic() - self.started_at) / self.work_s * 100), 99)


class Worker:
    """A worker of one service, beside one agent.

    :param work_s: run time of each task, in seconds.
    :param record: called with each start and each end.
    """

    def __init__(
        self,
        worker_id: str,
        service: str,
        address: tuple[str, int],
        agent: tuple[str, int],
        zone: str,
        work_s: float,
        record: Callable[..., None],
    ) -> None:
        self.worker_id = worker_id
        self.state = 'ready'
        self.work_s = work_s
        self._service = service
        self._address = address
        self.agent = agent
        self._zone = zone
        self._record = record
        self._started_at = time.monotonic() - 5.0
        self._sequence = 0
        self._fence = 0
        self._deadline_ms = 0
        self._running: dict[str, ActiveRun] = {}
        self._highest: dict[str, int] = {}
        self._ended: list[list[Any]] = []
        self._end_count = 0
        self._changed = asyncio.Condition()
        self._server = HttpServer(self._handle)
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def clock_ms(self) -> int:
        """The worker's steady clock."""
        return int((time.monotonic() - self._started_at) * 1000)

    async def start(self) -> None:
        """Serve, and send heartbeats."""
        await self._server.listen(*self._address)
        self._tasks = [
            asyncio.create_task(self._send_heartbeats()),
            asyncio.create_task(self._work()),
        ]

    def close(self) -> None:
        """End the worker."""
        self._server.close()
        for task in self._tasks:
            task.cancel()

    def describe(self) -> dict[str, Any]:
        """Return the body of a heartbeat."""
        return {
            'service': self._service,
            'address': f'{self._address[0]}:{self._address[1]}',
            'zone': self._zone,
            'version': 'v1',
            'slots': 8,
            'state': self.state,
            'coldRemainingMs': 0,
            'capacity': {'cpu': 16000, 'memMb': 32768, 'gpus': 0},
            'labels': ['a', 'r1-1'],
            'clockMs': self.clock_ms,
            'sequence': self._sequence,
        }

    async def _send_heartbeats(self) -> None:
        while True:
            self._sequence += 1
            body = self.describe()
            path = f'/v1/instances/{self.worker_id}/heartbeat'
            state = self.state
            status, _ = await call(self.agent, 'POST', path, body, timeout_s=1.0)
            if state == 'draining' and status == 200:
                self._record('draining acknowledged', worker=self.worker_id)
            await asyncio.sleep(HEARTBEAT_S if status == 200 else 0.2)

    async def _work(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            now = time.monotonic()
            for run in list(self._running.values()):
                if now >= run.started_at + run.work_s:
                    await self._end(run, 'done')
                elif self.clock_ms > self._deadline_ms:
                    await self._end(run, 'lapsed')

    async def _end(self, run: ActiveRun, how: str) -> None:
        if self._running.get(run.task) is not run:
            return
        del self._running[run.task]
        self._highest[run.task] = max(self._highest.get(run.task, 0), run.run)
        self._end_count += 1
        self._ended.append([self._end_count, run.task, run.run, how, ''])
        self._record('end', worker=self.worker_id, task=run.task, run=run.run, how=how)
        async with self._changed:
            self._changed.notify_all()

    async def _handle(self, request: Request) -> Response:
        expected = request.headers.get('x-expect-instance')
        if expected not in {None, self.worker_id}:
            return self._respond(421)
        body = request.json()
        if body.get('fencingToken', 0) < self._fence:
            return self._respond(409, reason='fence')
        self._fence = body.get('fencingToken', 0)
        if request.path == '/v1/run-start':
            return self._start(body)
        if request.path == '/v1/run-stop':
            return await self._stop(body)
        if request.path == '/v1/hold':
            return await self._hold(body)
        return self._respond(400)

    def _start(self, body: dict[str, Any]) -> Response:
        task = body['task']
        present = self._running.get(task)
        if present is not None and present.run == body['run']:
            self._extend(body)
            return self._respond(200)
        if present is not None or body['run'] <= self._highest.get(task, 0):
            self._extend(body)
            return self._respond(409, reason='old')
        if body['deadlineMs'] <= self.clock_ms:
            return self._respond(409, reason='late')
        self._extend(body)
        self._running[task] = ActiveRun(
            task, body['run'], time.monotonic(), self.work_s
        )
        self._record('start', worker=self.worker_id, task=task, run=body['run'])
        return self._respond(200)

    async def _stop(self, body: dict[str, Any]) -> Response:
        task = body['task']
        self._highest[task] = max(self._highest.get(task, 0), body['run'])
        present = self._running.get(task)
        if present is not None and present.run <= body['run']:
            await self._end(present, 'stopped')
        return self._respond(200)

    async def _hold(self, body: dict[str, Any]) -> Response:
        self._extend(body)
        self._ended = [row for row in self._ended if row[0] > body['lastSeen']]
        if not self._ended and body.get('waitMs'):
            async with self._changed:
                try:
                    async with asyncio.timeout(body['waitMs'] / 1000):
                        await self._changed.wait_for(lambda: bool(self._ended))
                except TimeoutError:
                    pass
        running = [
            [run.task, run.run, '', run.percent] for run in self._running.values()
        ]
        return self._respond(200, running=running, ended=self._ended[:500])

    def _extend(self, body: dict[str, Any]) -> None:
        longest = self.clock_ms + HOLD_MAX_MS
        deadline = min(body.get('deadlineMs', -math.inf), longest)
        self._deadline_ms = max(self._deadline_ms, int(max(deadline, 0)))

    def _respond(self, status: int, **fields: Any) -> Response:
        return Response(status, {'clockMs': self.clock_ms, **fields})
