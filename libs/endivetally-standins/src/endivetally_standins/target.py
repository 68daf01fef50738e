"""Stand-in for a target: announces itself, sleeps for each task, records starts.

``python -m endivetally_standins.target --agent HOST:PORT --service NAME``
"""

import argparse
import asyncio
import signal
import sys
import time
from contextlib import AsyncExitStack
from contextlib import suppress
from dataclasses import dataclass
from http import HTTPStatus
from pathlib import Path
from typing import Any
from typing import Final
from typing import Self
from typing import TextIO

import msgspec
from endivetally_core.decoding import DECODE_ERRORS
from endivetally_core.joining import Announcement
from tornado.httpclient import HTTPClientError
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.simple_httpclient import SimpleAsyncHTTPClient
from tornado.web import Application
from tornado.web import RequestHandler

ANNOUNCE_INTERVAL_S: Final = 0.5
ANNOUNCE_TIMEOUT_S: Final = 1
# Memory that is announced as used when no task runs.
IDLE_MEMORY_MB: Final = 512
MS_PER_S: Final = 1000


class TaskPayload(msgspec.Struct, frozen=True):
    """Payload fields that control the stand-in; other fields are ignored.

    :param run_ms: run time of the task in milliseconds.
    :param echo: value that the response repeats.
    :param fail: whether the task ends with status 500.
    :param id: value that is written to the record of the start.
    :param memory_mb: memory that counts as used while the task runs.
    """

    run_ms: float = 0
    echo: Any = None
    fail: bool = False
    id: Any = None
    memory_mb: int = 0


class TaskResponse(msgspec.Struct, frozen=True):
    """Body of a successful response.

    :param task: identifier of the task, as in the request header ``X-Task``.
    """

    echo: Any
    task: str


class Faults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults that a test injects.

    :param fail_all: every task fails at once with status 500.
    :param slow_factor: factor by which run times are multiplied.
    :param hang: tasks that start do not end, and announcements stop.
    """

    fail_all: bool = False
    slow_factor: float = 1
    hang: bool = False


class StartRecord(msgspec.Struct, frozen=True):
    """A start of a task, as one line of the record file.

    :param target: ``host:port`` of the target's agent.
    :param id: value from the payload.
    :param time_s: wall clock time of the start, in seconds.
    :param concurrent: number of running tasks, including this one.
    """

    target: str
    task: str
    id: Any
    time_s: float
    concurrent: int


class TargetStats(msgspec.Struct, frozen=True):
    """Response of ``GET /stats``.

    :param ended: tasks that have ended, including cancelled ones.
    :param max_concurrent: largest number of tasks that have run at the same time.
    """

    starts: int
    ended: int
    cancelled: int
    running: int
    max_concurrent: int


@dataclass(frozen=True, slots=True)
class TargetOptions:
    """Settings of a stand-in, which it announces to its agent.

    :param agent: ``host:port`` of the agent.
    :param slots: number of tasks that it runs at the same time.
    :param connections: number of connections that it accepts.
    :param memory_mb: memory that it may use.
    """

    agent: str
    service: str
    slots: int = 8
    connections: int = 64
    memory_mb: int = 32_768


class TargetStandIn:
    """A target that listens on a free loopback port.

    :param record: file that receives a `StartRecord` for each start; ``None`` for none.
    """

    def __init__(self, options: TargetOptions, record: TextIO | None = None) -> None:
        self.port = 0
        self._options = options
        self._record = record
        self._faults = Faults()
        self._draining = False
        self._running_tasks: dict[str, asyncio.Task[None]] = {}
        self._memory_mb = 0
        self._started_runs = 0
        self._ended_runs = 0
        self._cancelled_runs = 0
        self._max_concurrent = 0
        self._exit_stack = AsyncExitStack()
        self._client = SimpleAsyncHTTPClient(force_instance=True)

    @property
    def stats(self) -> TargetStats:
        """Counters since the stand-in was created."""
        return TargetStats(
            self._started_runs,
            self._ended_runs,
            self._cancelled_runs,
            len(self._running_tasks),
            self._max_concurrent,
        )

    async def __aenter__(self) -> Self:
        """Start to listen and to send announcements."""
        sockets = bind_sockets(0, '127.0.0.1')
        self.port = sockets[0].getsockname()[1]
        server = HTTPServer(make_application(self))
        server.add_sockets(sockets)
        announcer = asyncio.ensure_future(self._announce_periodically())
        self._exit_stack.callback(self._client.close)
        self._exit_stack.push_async_callback(server.close_all_connections)
        self._exit_stack.callback(server.stop)
        self._exit_stack.callback(announcer.cancel)
        return self

    async def __aexit__(self, *_exception: object) -> None:
        """Stop announcements and the HTTP server."""
        await self._exit_stack.aclose()

    def set_faults(self, faults: Faults) -> None:
        """Replace the faults."""
        self._faults = faults

    async def run_task(self, task_id: str, payload: TaskPayload) -> HTTPStatus:
        """Run a task and return the status of its response; 409 if it is cancelled."""
        self._started_runs += 1
        if self._faults.fail_all:
            self._write_record(task_id, payload)
            return HTTPStatus.INTERNAL_SERVER_ERROR
        run = asyncio.ensure_future(asyncio.sleep(self._get_run_time_s(payload)))
        self._running_tasks[task_id] = run
        self._max_concurrent = max(self._max_concurrent, len(self._running_tasks))
        self._memory_mb += payload.memory_mb
        self._write_record(task_id, payload)
        await asyncio.wait([run])
        self._running_tasks.pop(task_id, None)
        self._memory_mb -= payload.memory_mb
        self._ended_runs += 1
        if run.cancelled():
            return HTTPStatus.CONFLICT
        return HTTPStatus.INTERNAL_SERVER_ERROR if payload.fail else HTTPStatus.OK

    def cancel_task(self, task_id: str) -> bool:
        """Cancel a task; return whether it was running."""
        run = self._running_tasks.get(task_id)
        if run is None:
            return False
        self._cancelled_runs += 1
        run.cancel()
        return True

    async def drain(self) -> None:
        """Announce that the target shuts down, and wait for its running tasks."""
        self._draining = True
        await self.announce()
        while self._running_tasks:
            await asyncio.wait(list(self._running_tasks.values()))
            await asyncio.sleep(0)

    async def announce(self) -> None:
        """Send one announcement; a failure is ignored, as the next one follows."""
        announcement = Announcement(
            service=self._options.service,
            port=self.port,
            slots=self._options.slots,
            connections=self._options.connections,
            memory_mb=self._options.memory_mb,
            used_memory_mb=IDLE_MEMORY_MB + self._memory_mb,
            leaving=self._draining,
        )
        with suppress(HTTPClientError, OSError):
            await self._client.fetch(
                f'http://{self._options.agent}/announce',
                method='POST',
                body=msgspec.json.encode(announcement),
                request_timeout=ANNOUNCE_TIMEOUT_S,
            )

    async def _announce_periodically(self) -> None:
        while True:
            if not self._faults.hang:
                await self.announce()
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)

    def _get_run_time_s(self, payload: TaskPayload) -> float:
        if self._faults.hang:
            return float('inf')
        return payload.run_ms * self._faults.slow_factor / MS_PER_S

    def _write_record(self, task_id: str, payload: TaskPayload) -> None:
        if self._record is None:
            return
        line = StartRecord(
            self._options.agent,
            task_id,
            payload.id,
            time.time(),
            len(self._running_tasks),
        )
        self._record.write(f'{msgspec.json.encode(line).decode()}\n')
        self._record.flush()


class _TargetHandler(RequestHandler):
    def initialize(self, target: TargetStandIn) -> None:
        self.target = target

    def data_received(self, chunk: bytes) -> None:
        """Do nothing, as requests are not streamed."""

    @property
    def task_id(self) -> str:
        return self.request.headers.get('X-Task', '')


class RunHandler(_TargetHandler):
    """``POST /run``."""

    async def post(self) -> None:
        """Run a task, and respond when it has ended."""
        payload = decode_payload(self.request.body)
        status = await self.target.run_task(self.task_id, payload)
        self.set_status(status)
        if status is HTTPStatus.OK:
            response = TaskResponse(payload.echo, self.task_id)
            self.finish(msgspec.json.encode(response))


class CancelHandler(_TargetHandler):
    """``POST /cancel``."""

    def post(self) -> None:
        """Cancel a task; respond with 404 if it is not running."""
        found = self.target.cancel_task(self.task_id)
        self.set_status(HTTPStatus.OK if found else HTTPStatus.NOT_FOUND)


class StatsHandler(_TargetHandler):
    """``GET /stats``."""

    def get(self) -> None:
        """Respond with the counters."""
        self.finish(msgspec.json.encode(self.target.stats))


class FaultsHandler(_TargetHandler):
    """``POST /faults``."""

    def post(self) -> None:
        """Replace the faults; those that the body does not name are disabled."""
        self.target.set_faults(msgspec.json.decode(self.request.body, type=Faults))


def decode_payload(body: bytes) -> TaskPayload:
    """Decode a payload; defaults apply if it has another format.

    >>> decode_payload(b'{"run_ms": 5}').run_ms
    5.0
    >>> decode_payload(b'not JSON').run_ms
    0
    """
    try:
        return msgspec.json.decode(body, type=TaskPayload)
    except DECODE_ERRORS:
        return TaskPayload()


def make_application(target: TargetStandIn) -> Application:
    """Return the web application of a stand-in."""
    arguments = {'target': target}
    routes: list[Any] = [
        ('/run', RunHandler, arguments),
        ('/cancel', CancelHandler, arguments),
        ('/stats', StatsHandler, arguments),
        ('/faults', FaultsHandler, arguments),
    ]
    return Application(routes)


async def run_targets(
    options: list[TargetOptions], record_path: str, ready_path: str
) -> None:
    """Run stand-ins until SIGTERM or SIGINT, then drain them.

    :param record_path: file that receives the start records; none if empty.
    :param ready_path: file to which ``host:port`` of each stand-in is written, one on
        each line, once they listen; none if empty.
    """
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopped.set)
    async with AsyncExitStack() as stack:
        record = (
            stack.enter_context(Path(record_path).open('a')) if record_path else None
        )
        targets = [
            await stack.enter_async_context(TargetStandIn(option, record))
            for option in options
        ]
        if ready_path:
            _write_ready_file(ready_path, targets)
        await stopped.wait()
        await asyncio.gather(*(target.drain() for target in targets))
        await asyncio.sleep(ANNOUNCE_INTERVAL_S / 2)


def parse_options(arguments: list[str]) -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(prog='endivetally_standins.target')
    parser.add_argument('--agent', action='append', required=True, metavar='HOST:PORT')
    parser.add_argument(
        '--count',
        type=int,
        default=0,
        help='number of targets; by default one for each agent',
    )
    parser.add_argument('--service', required=True)
    parser.add_argument('--slots', type=int, default=8)
    parser.add_argument('--connections', type=int, default=64)
    parser.add_argument('--memory-mb', type=int, default=32_768)
    parser.add_argument('--ready-file', default='')
    parser.add_argument(
        '--record', default='', help='file that receives a JSON line for each start'
    )
    return parser.parse_args(arguments)


def main(arguments: list[str]) -> None:
    """Run a stand-in for each agent, or for the first ones up to the count."""
    parsed = parse_options(arguments)
    count = parsed.count or len(parsed.agent)
    options = [
        TargetOptions(
            agent,
            parsed.service,
            parsed.slots,
            parsed.connections,
            parsed.memory_mb,
        )
        for agent in parsed.agent[:count]
    ]
    asyncio.run(run_targets(options, parsed.record, parsed.ready_file))


def _write_ready_file(path: str, targets: list[TargetStandIn]) -> None:
    temporary = Path(f'{path}.tmp')
    temporary.write_text('\n'.join(f'127.0.0.1:{target.port}' for target in targets))
    temporary.replace(path)


if __name__ == '__main__':
    main(sys.argv[1:])
