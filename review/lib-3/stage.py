"""Stand-ins and processes that the cases of the third review share.

Only the standard library is used. The stand-ins do what the users' pages say: the
platform's store (`Store`), a worker beside an agent (`Worker`), a client (`call`) and a
network link (`Link`). The programs are started with the commands of the deploy file.
"""

import asyncio
import base64
import json
import os
import random
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable
from collections.abc import Callable
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs
from urllib.parse import urlsplit

REPOSITORY = Path(__file__).resolve().parents[2]
FRONT_PORT = 8161
READY_PORT = 8167
CONTROL_PORT = 8166
WORKER_PORT = 8165
PEER_PORT = 7720
STORE_PORT = 8169
METRICS_PORT = 9464
HOLD_MAX_MS = 1000
STOP_TIMEOUT_S = 0.05
STORE_ANSWER_S = 0.004
HEARTBEAT_S = 1.5
# Exit codes of a case.
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2

Answer = tuple[int, dict[str, Any]]
Handler = Callable[[str, str, dict[str, str], bytes], Awaitable[Answer | None]]


class CouldNotRun(Exception):
    """The case says nothing about the rule, as its conditions did not arise."""


class Record:
    """What was sent, answered and run, with the seconds since the start of the case."""

    def __init__(self, folder: Path) -> None:
        self._began_at = time.monotonic()
        self._file = (folder / 'record.txt').open('w')

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._began_at

    def add(self, text: str) -> None:
        """Write a line."""
        self._file.write(f'{self.now():8.3f}  {text}\n')
        self._file.flush()


async def serve(host: str, port: int, handler: Handler) -> asyncio.Server:
    """Serve HTTP/1.1 with persistent connections.

    A handler that returns ``None`` leaves the request unanswered for good, and the
    connection delivers nothing further.
    """

    async def handle(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
                start, *lines = head.split('\r\n')
                method, target, _ = start.split(' ')
                headers = {
                    name.lower(): value.strip()
                    for name, _, value in (line.partition(':') for line in lines)
                }
                body = await reader.readexactly(int(headers.get('content-length', 0)))
                answer = await handler(method, target, headers, body)
                if answer is None:
                    await reader.read()
                    return
                content = json.dumps(answer[1]).encode()
                writer.write(
                    f'HTTP/1.1 {answer[0]} -\r\nContent-Type: application/json\r\n'
                    f'Content-Length: {len(content)}\r\n\r\n'.encode()
                    + content
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()

    return await asyncio.start_server(handle, host, port)


async def call(
    address: tuple[str, int],
    method: str,
    path: str,
    body: dict[str, Any] | bytes | None = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 5,
) -> Answer | None:
    """Send one request on a new connection; ``None`` if there is no answer in time."""
    content = body if isinstance(body, bytes) else json.dumps(body or {}).encode()
    if body is None:
        content = b''
    sent = {
        'Host': f'{address[0]}:{address[1]}',
        'Content-Type': 'application/json',
        'Content-Length': str(len(content)),
        **(headers or {}),
    }
    lines = [f'{method} {path} HTTP/1.1', *(f'{k}: {v}' for k, v in sent.items())]
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            writer.write('\r\n'.join((*lines, '', '')).encode() + content)
            await writer.drain()
            head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
            status = int(head.split(' ')[1])
            length = 0
            for line in head.split('\r\n'):
                if line.lower().startswith('content-length:'):
                    length = int(line.split(':')[1])
            answer = await reader.readexactly(length)
            return status, json.loads(answer or b'{}')
    except (OSError, asyncio.IncompleteReadError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()


class Store:
    """The platform's store: rows, transactions and the feed of changes in order."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._version = 100
        self._rows: dict[tuple[str, str], dict[str, Any]] = {}
        self._changes: list[dict[str, Any]] = []
        self._changed = asyncio.Event()

    async def handle(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> Answer | None:
        """Answer a call of a node."""
        url = urlsplit(target)
        query = {name: each[0] for name, each in parse_qs(url.query).items()}
        if url.path == '/v1/rows-feed':
            return await self._feed(query)
        await asyncio.sleep(STORE_ANSWER_S)
        if url.path == '/v1/rows-tx':
            return self._transact(json.loads(body))
        if url.path == '/v1/rows-get':
            return self._get(query)
        return 404, {}

    def write(self, table: str, key: str, value: dict[str, Any] | None) -> None:
        """Write or remove a row as the operator does; the return acknowledges it."""
        row: dict[str, Any] = {'table': table, 'part': '', 'key': key}
        content = None
        if value is not None:
            content = base64.b64encode(json.dumps(value).encode()).decode()
        self._version += 1
        self._apply(row, content)
        verb = 'removes' if value is None else 'writes'
        self._record.add(
            f'store: the operator {verb} {table}/{key}'
            f' at version {self._version}, acknowledged'
        )

    def _answer(self, **fields: Any) -> Answer:
        steady_ms = int(time.monotonic() * 1000)
        return 200, {**fields, 'ver': self._version, 'nowMs': steady_ms}

    def _apply(self, row: dict[str, Any], content: str | None) -> None:
        place = (row['table'], row['key'])
        changed = {
            'table': row['table'],
            'part': '',
            'key': row['key'],
            'value': content or '',
            'ver': self._version,
        }
        if content is None:
            self._rows.pop(place, None)
            changed['deleted'] = True
        else:
            self._rows[place] = changed
        self._changes.append(changed)
        self._changed.set()
        self._changed = asyncio.Event()

    def _transact(self, body: dict[str, Any]) -> Answer:
        for row in body.get('expectedRevision', []):
            present = self._rows.get((row['table'], row['key']))
            if (present['ver'] if present else 0) != row['ver']:
                return 412, {'rows': [present] if present else []}
        self._version += 1
        for row in body.get('puts', []):
            self._apply(row, row['value'])
        for row in body.get('remove', []):
            self._apply(row, None)
        return self._answer()

    def _get(self, query: dict[str, str]) -> Answer:
        first, end = query.get('from', ''), query.get('to')
        found = [
            row
            for (table, key), row in sorted(self._rows.items())
            if table == query['table'] and key >= first and (end is None or key < end)
        ]
        limit = min(int(query.get('limit', 500)), 500)
        return self._answer(rows=found[:limit], hasMore=len(found) > limit)

    async def _feed(self, query: dict[str, str]) -> Answer:
        ends_at = time.monotonic() + min(int(query['waitMs']), 30_000) / 1000
        while True:
            rows = [
                row
                for row in self._changes
                if row['table'] == query['table'] and row['ver'] > int(query['after'])
            ]
            left_s = ends_at - time.monotonic()
            if rows or left_s <= 0:
                answer = self._answer(rows=rows)
                await asyncio.sleep(STORE_ANSWER_S)
                return answer
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                continue


class Link:
    """A network link, as a proxy of TCP connections.

    ``mode`` is ``open``, ``refuse`` (new connections are closed at once, open ones
    were reset), or ``cut`` (nothing passes, nobody is told).
    """

    def __init__(self, listen: tuple[str, int], target: tuple[str, int]) -> None:
        self.mode = 'open'
        self.on_data: Callable[[int, bytes], None] = lambda number, data: None
        self._listen = listen
        self._target = target
        self._count = 0
        self._silent: set[int] = set()
        self._pairs: dict[int, list[asyncio.StreamWriter]] = {}
        self._mended = asyncio.Event()
        self._mended.set()
        self._server: asyncio.Server | None = None

    @property
    def connections(self) -> list[int]:
        """Numbers of the open connections."""
        return list(self._pairs)

    async def start(self) -> None:
        """Start to listen."""
        self._server = await asyncio.start_server(self._handle, *self._listen)

    def silence_open_connections(self) -> int:
        """Let the open connections go silent for good; new ones work."""
        silenced = set(self._pairs) - self._silent
        self._silent |= silenced
        return len(silenced)

    def cut(self) -> None:
        """Hold all bytes and new connections back until the link is mended."""
        self.mode = 'cut'
        self._mended.clear()

    def refuse(self) -> None:
        """Reset the open connections, and close new ones at once."""
        self.mode = 'refuse'
        for writers in list(self._pairs.values()):
            for writer in writers:
                writer.transport.abort()

    def mend(self) -> None:
        """Let everything pass; what a cut held back is delivered."""
        self.mode = 'open'
        self._mended.set()

    async def _handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.mode == 'refuse':
            writer.transport.abort()
            return
        self._count += 1
        number = self._count
        self._pairs[number] = [writer]
        try:
            await self._mended.wait()
            back, there = await asyncio.open_connection(*self._target)
            self._pairs[number].append(there)
            copies = [
                asyncio.create_task(self._copy(number, reader, there, outward=True)),
                asyncio.create_task(self._copy(number, back, writer, outward=False)),
            ]
            await asyncio.wait(copies, return_when=asyncio.FIRST_COMPLETED)
            for copy in copies:
                copy.cancel()
            await asyncio.gather(*copies, return_exceptions=True)
        except OSError:
            return
        finally:
            for end in self._pairs.pop(number, []):
                end.close()

    async def _copy(
        self,
        number: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        outward: bool,
    ) -> None:
        while True:
            data = await reader.read(65_536)
            await self._mended.wait()
            if number in self._silent:
                # Nothing more passes on this connection, not even its end.
                await asyncio.Event().wait()
            if not data:
                return
            if outward:
                self.on_data(number, data)
            writer.write(data)
            await writer.drain()


class Run:
    """A run of a task at a worker; times are seconds since the start of the case."""

    def __init__(self, task: str, number: int, worker: str, began_at: float) -> None:
        self.task = task
        self.number = number
        self.worker = worker
        self.began_at = began_at
        self.ended_at: float | None = None
        self.how = ''
        self.timer: asyncio.TimerHandle | None = None

    def overlaps(self, other: 'Run') -> bool:
        """Return whether two runs were active at the same time."""
        mine = self.ended_at or float('inf')
        others = other.ended_at or float('inf')
        return self.began_at < others and other.began_at < mine


class _Life:
    """What a worker holds and knows from a start to its end."""

    def __init__(self, identifier: str, clock_start_ms: int) -> None:
        self.identifier = identifier
        self.born_ms = int(time.time() * 1000)
        self.token = 0
        self.lease_ms = 0
        self.sequence = 0
        self.running: dict[str, Run] = {}
        self.highest: dict[str, int] = {}
        self.ended: list[list[Any]] = []
        self.end_count = 0
        self.ended_event = asyncio.Event()
        self._began_at = time.monotonic()
        self._clock_start_ms = clock_start_ms

    @property
    def clock_ms(self) -> int:
        """The steady clock of the worker."""
        elapsed_ms = (time.monotonic() - self._began_at) * 1000
        return self._clock_start_ms + int(elapsed_ms)


class Worker:
    """A worker beside an agent, which it reports to every 1.5 s.

    :param run_s: returns how long a task works, by its name.
    :param withhold: returns the seconds after which a start that gets no answer is
        carried out; 0 to answer it.
    :param keeps_id: whether it starts again under the identifier that it had; it then
        sends ``born``.
    """

    def __init__(
        self,
        record: Record,
        ip: str,
        name: str,
        zone: str,
        run_s: Callable[[str], float],
        withhold: Callable[['Worker', dict[str, Any]], float] = lambda worker, body: 0,
        *,
        keeps_id: bool = False,
        report_ip: str = '',
    ) -> None:
        self.name = name
        self.runs: list[Run] = []
        self.refused: list[str] = []
        self.life: _Life | None = None
        self.address = (ip, WORKER_PORT)
        self._record = record
        self._agent = (report_ip or ip, CONTROL_PORT)
        self._zone = zone
        self._run_s = run_s
        self._withhold = withhold
        self._keeps_id = keeps_id
        self._life_count = 0
        self._server: asyncio.Server | None = None
        self._reports: asyncio.Task[None] | None = None
        self._late: set[asyncio.Task[None]] = set()
        self._silent_connections = asyncio.Event()

    async def start(self) -> None:
        """Start a life of the worker."""
        self._life_count += 1
        number = 1 if self._keeps_id else self._life_count
        self.life = _Life(f'{self.name}-{number}', 100_000)
        self._record.add(
            f'{self.name}: starts as {self.life.identifier}, born {self.life.born_ms}'
        )
        self._server = await serve(*self.address, self._handle)
        self._reports = asyncio.create_task(self._send_reports(self.life))

    def crash(self) -> None:
        """End the life of the worker; everything that runs on it is gone."""
        life = self.life
        if life is None or self._server is None or self._reports is None:
            return
        self.life = None
        self._server.close()
        self._reports.cancel()
        for run in list(life.running.values()):
            self._end(life, run, 'lost with the worker')
        self._record.add(f'{self.name}: crashes')

    async def _send_reports(self, life: _Life) -> None:
        while True:
            life.sequence += 1
            report = {
                'service': 'search',
                'address': f'{self.address[0]}:{self.address[1]}',
                'zone': self._zone,
                'version': 'v1',
                'slots': 8,
                'state': 'ready',
                'coldRemainingMs': 0,
                'capacity': {'cpu': 16_000, 'memMb': 32_768, 'gpus': 0},
                'labels': ['a', 'r1-3'],
                'clockMs': life.clock_ms,
                'sequence': life.sequence,
                **self._describe_born(life),
            }
            path = f'/v1/instances/{life.identifier}/heartbeat'
            answer = await call(self._agent, 'POST', path, report, timeout_s=1)
            if answer is None:
                self._record.add(f'{self.name}: heartbeat without an answer')
            await asyncio.sleep(HEARTBEAT_S)

    def _describe_born(self, life: _Life) -> dict[str, int]:
        return {'born': life.born_ms} if self._keeps_id else {}

    async def _handle(
        self, method: str, target: str, headers: dict[str, str], raw: bytes
    ) -> Answer | None:
        life = self.life
        if life is None:
            return None
        body = json.loads(raw) if raw else {}
        expected = headers.get('x-expect-instance')
        if expected not in {None, life.identifier}:
            return 421, {'clockMs': life.clock_ms}
        if target == '/v1/hold':
            return await self._hold(life, body)
        if target == '/v1/run-start':
            delay_s = self._withhold(self, body)
            if delay_s:
                self._record.add(
                    f'{self.name}: start of {body["task"]} run {body["run"]} gets no'
                    f' answer; it is carried out in {delay_s} s'
                )
                late = asyncio.create_task(self._start_late(body, expected, delay_s))
                self._late.add(late)
                return None
            return self._start_run(life, body)
        if target == '/v1/run-stop':
            return self._stop_run(life, body)
        return 404, {}

    async def _start_late(
        self, body: dict[str, Any], expected: str | None, delay_s: float
    ) -> None:
        await asyncio.sleep(delay_s)
        life = self.life
        if life is None or expected not in {None, life.identifier}:
            self._record.add(f'{self.name}: a late start meets no such worker')
            return
        status, answer = self._start_run(life, body)
        self._record.add(
            f'{self.name}: late start of {body["task"]} run {body["run"]}:'
            f' {status} {answer.get("reason", "")}'
        )

    def _check_fence(self, life: _Life, body: dict[str, Any]) -> Answer | None:
        self._expire(life)
        if body.get('fencingToken', 0) < life.token:
            return 409, self._describe(life, reason='fence')
        life.token = body.get('fencingToken', 0)
        return None

    def _describe(self, life: _Life, **fields: Any) -> dict[str, Any]:
        return {'clockMs': life.clock_ms, **fields, **self._describe_born(life)}

    def _start_run(self, life: _Life, body: dict[str, Any]) -> Answer:
        fenced = self._check_fence(life, body)
        if fenced is not None:
            return fenced
        task, number = body['task'], body['run']
        if body['deadlineMs'] <= life.clock_ms:
            return 409, self._describe(life, reason='late')
        self._extend(life, body)
        present = life.running.get(task)
        if present is not None and present.number == number:
            return 200, self._describe(life)
        if number <= life.highest.get(task, 0):
            return 409, self._describe(life, reason='old')
        life.highest[task] = number
        run = Run(task, number, self.name, self._record.now())
        self.runs.append(run)
        life.running[task] = run
        loop = asyncio.get_running_loop()
        run.timer = loop.call_later(self._run_s(task), self._end, life, run, 'done')
        self._record.add(f'{self.name}: {task} run {number} starts')
        return 200, self._describe(life)

    def _stop_run(self, life: _Life, body: dict[str, Any]) -> Answer:
        fenced = self._check_fence(life, body)
        if fenced is not None:
            return fenced
        task, number = body['task'], body['run']
        life.highest[task] = max(number, life.highest.get(task, 0))
        run = life.running.get(task)
        if run is not None and run.number <= number:
            loop = asyncio.get_running_loop()
            loop.call_later(STOP_TIMEOUT_S / 2, self._end, life, run, 'stopped')
        self._record.add(f'{self.name}: stop of {task} run {number} is accepted')
        return 200, self._describe(life)

    def _end(self, life: _Life, run: Run, how: str) -> None:
        if life.running.get(run.task) is not run:
            return
        del life.running[run.task]
        if run.timer is not None:
            run.timer.cancel()
        run.ended_at = self._record.now()
        if how == 'lapsed':
            # The lease ended the run, however late this is noticed here.
            run.ended_at -= max(life.clock_ms - life.lease_ms, 0) / 1000
        run.how = how
        life.end_count += 1
        life.ended.append([life.end_count, run.task, run.number, how, ''])
        life.ended_event.set()
        self._record.add(f'{self.name}: {run.task} run {run.number} ends: {how}')

    def _extend(self, life: _Life, body: dict[str, Any]) -> None:
        if 'deadlineMs' not in body:
            return
        until_ms = min(body['deadlineMs'], life.clock_ms + HOLD_MAX_MS)
        life.lease_ms = max(life.lease_ms, until_ms)
        left_s = (life.lease_ms - life.clock_ms) / 1000
        asyncio.get_running_loop().call_later(max(left_s, 0), self._expire, life)

    def _expire(self, life: _Life) -> None:
        if life.lease_ms <= life.clock_ms:
            for run in list(life.running.values()):
                self._end(life, run, 'lapsed')

    async def _hold(self, life: _Life, body: dict[str, Any]) -> Answer:
        fenced = self._check_fence(life, body)
        if fenced is not None:
            return fenced
        self._extend(life, body)
        life.ended = [row for row in life.ended if row[0] > body['lastSeen']]
        wait_s = min(body.get('waitMs', 0), 2000) / 1000
        if wait_s and not life.ended:
            life.ended_event.clear()
            try:
                async with asyncio.timeout(wait_s):
                    await life.ended_event.wait()
            except TimeoutError:
                life.ended_event.clear()
        now = self._record.now()
        running = [
            [
                run.task,
                run.number,
                '',
                min(int((now - run.began_at) / self._run_s(run.task) * 100), 99),
            ]
            for run in life.running.values()
        ]
        return 200, self._describe(life, running=running, ended=life.ended[:500])


class Stage:
    """The processes of the deploy file and the stand-ins around them.

    :param folder: folder of the case, in which ``record.txt`` is written.
    """

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder)
        self.store = Store(self.record)
        self.workers: dict[str, Worker] = {}
        self.store_links: dict[str, Link] = {}
        self.network = _find_network()
        self.memory_mb: dict[str, int] = {'front': 300, 'side': 168}
        self.evacuation_ms = 0
        # How often the platform killed a process for its memory.
        self.memory_kills: dict[str, int] = {}
        self._ips: dict[str, str] = {}
        self._zones: dict[str, str] = {}
        self._processes: dict[str, asyncio.subprocess.Process] = {}
        self._watches: list[asyncio.Task[None]] = []
        self._temporary = tempfile.TemporaryDirectory()
        self._commands = tomllib.loads((REPOSITORY / 'deploy/system.toml').read_text())

    async def start_store(self) -> None:
        """Start the platform's store."""
        await serve(f'{self.network}.0.1', STORE_PORT, self.store.handle)

    async def start(self, role: str, name: str, zone: str) -> None:
        """Start a process of a role on a machine of its own."""
        if name not in self._ips:
            number = len(self._ips) + 1
            self._ips[name] = f'{self.network}.1.{number}'
            self._zones[name] = zone
            # The link between the machine and the store.
            link = Link(
                (f'{self.network}.2.{number}', STORE_PORT),
                (f'{self.network}.0.1', STORE_PORT),
            )
            await link.start()
            self.store_links[name] = link
            self._write_settings(name, role, f'{self.network}.2.{number}')
        program, *arguments = shlex.split(self._commands['roles'][role]['run'])
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(REPOSITORY / 'target/deps')
        environment['ENDIVETALLY_SETTINGS'] = self._settings_file(name)
        log = Path(self._temporary.name, f'{name}.txt').open('ab')
        with log:
            self._processes[name] = await asyncio.create_subprocess_exec(
                program,
                *arguments,
                cwd=REPOSITORY,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=environment,
            )
        self.record.add(f'{name}: process starts')
        self._watches.append(asyncio.create_task(self._report_exit(name)))

    async def _report_exit(self, name: str) -> None:
        process = self._processes[name]
        code = await process.wait()
        if code != -signal.SIGKILL:
            text = Path(self._temporary.name, f'{name}.txt').read_text(errors='replace')
            self.record.add(f'{name}: exits with {code}: {text[-600:]}')

    def ip(self, name: str) -> str:
        """Return the address of a machine."""
        return self._ips[name]

    def front(self, name: str) -> tuple[str, int]:
        """Return where an entry accepts clients."""
        return self._ips[name], FRONT_PORT

    def log(self, name: str) -> list[dict[str, Any]]:
        """Return the events that a process has logged."""
        events = []
        text = Path(self._temporary.name, f'{name}.txt').read_text(errors='replace')
        for line in text.splitlines():
            try:
                events.append(json.loads(line))
            except ValueError:
                continue
        return events

    async def kill(self, name: str) -> None:
        """Send SIGKILL to a process."""
        self.record.add(f'{name}: SIGKILL')
        self._processes[name].kill()
        await self._processes[name].wait()

    def alive(self, name: str) -> bool:
        """Return whether a process runs."""
        return self._processes[name].returncode is None

    async def guard_memory(self, name: str, role: str, back_after_s: float) -> None:
        """Kill a process that exceeds its `memoryMb`, and start it again, as often.

        :param back_after_s: seconds after which the platform starts it again.
        """
        limit_mb = self.memory_mb[self._commands['roles'][role]['on']]
        while True:
            await asyncio.sleep(0.02)
            used_mb = self.measure_memory_mb(name)
            if used_mb > limit_mb:
                self.record.add(
                    f'platform: {name} takes {used_mb:.0f} MB of {limit_mb} MB'
                )
                self.memory_kills[name] = self.memory_kills.get(name, 0) + 1
                await self.kill(name)
                await asyncio.sleep(back_after_s)
                await self.start(role, name, '')

    def measure_memory_mb(self, name: str) -> float:
        """Return the resident memory of a process in MB; 0 if it has ended."""
        try:
            fields = Path(f'/proc/{self._processes[name].pid}/statm').read_text()
        except OSError:
            return 0
        return int(fields.split()[1]) * os.sysconf('SC_PAGESIZE') / 1024**2

    def freeze(self, name: str) -> None:
        """Stop a process until `thaw`."""
        self.record.add(f'{name}: SIGSTOP')
        self._processes[name].send_signal(signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Let a stopped process continue."""
        self.record.add(f'{name}: SIGCONT')
        self._processes[name].send_signal(signal.SIGCONT)

    async def wait_ready(self, names: list[str], timeout_s: float = 20) -> None:
        """Wait until the entries report that they are ready.

        :raises CouldNotRun: when they don't in time.
        """
        ends_at = time.monotonic() + timeout_s
        for name in names:
            address = (self._ips[name], READY_PORT)
            while True:
                answer = await call(address, 'GET', '/v1/ready', timeout_s=1)
                if answer is not None and answer[0] == 200:
                    break
                if time.monotonic() > ends_at:
                    raise CouldNotRun(f'{name} is not ready')
                await asyncio.sleep(0.1)

    async def close(self) -> None:
        """End all processes that were started."""
        for watch in self._watches:
            watch.cancel()
        for process in self._processes.values():
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                await process.wait()
        self._temporary.cleanup()

    def _settings_file(self, name: str) -> str:
        return str(Path(self._temporary.name, f'{name}.toml'))

    def _write_settings(self, name: str, role: str, store_ip: str) -> None:
        ip, zone = self._ips[name], self._zones[name]
        machine_class = self._commands['roles'][role]['on']
        listen = [f'control = "{ip}:{CONTROL_PORT}"']
        if machine_class == 'front':
            listen = [
                f'front = "{ip}:{FRONT_PORT}"',
                f'readyAddr = "{ip}:{READY_PORT}"',
            ]
        lines = [
            f'nodeName = "{name}"',
            f'role = "{role}"',
            f'machineClass = "{machine_class}"',
            f'ip = "{ip}"',
            f'zone = "{zone}"',
            f'internalPorts = [{PEER_PORT}, {PEER_PORT + 15}]',
            'heartbeatMs = 1500',
            '[listenAddrs]',
            *listen,
            '[limits]',
            f'memoryMb = {self.memory_mb[machine_class]}',
            'maxFds = 4100',
            '[bounds]',
            'contactMs = 3000',
            'drainMs = 2000',
            'graceS = 6',
            'configApplyMs = 2000',
            'maxStretchMs = 5000',
            'holdMaxMs = 1000',
            'stopTimeoutMs = 50',
            'cancel_ms = 3000',
            'retransmitMs = 1300',
            *([f'evacuationMs = {self.evacuation_ms}'] if self.evacuation_ms else []),
            '[platform]',
            f'address = "{store_ip}:{STORE_PORT}"',
            'form = "table"',
        ]
        Path(self._settings_file(name)).write_text('\n'.join((*lines, '')))


def route(name: str, prefix: str, **fields: Any) -> dict[str, Any]:
    """Return a route of the configuration, like those of a small deployment."""
    return {
        'name': name,
        'host': 'front.example',
        'pathPrefix': prefix,
        'service': 'search',
        'priority': 0,
        'maxAttempts': 3,
        'stretch': 1.6,
        'targetLatencyMs': 60,
        **fields,
    }


def configuration(version: int, routes: list[dict[str, Any]]) -> dict[str, Any]:
    """Return a configuration in full."""
    services = [{'name': 'search', 'admissionCheck': False}]
    return {'version': version, 'routes': routes, 'services': services, 'limits': {}}


def job(
    count: int, estimate_ms: int, cpu: int = 1600, spec: str = 'work'
) -> dict[str, Any]:
    """Return a job that needn't be kept, of one step."""
    step = {'count': count, 'cpu': cpu, 'memMb': 256, 'estimateMs': estimate_ms}
    return {'spec': spec, 'steps': [step], 'bestEffort': True}


def new_id() -> str:
    """Return an identifier of a job."""
    return f'{random.randrange(16**16):016x}'


async def submit(
    stage: Stage,
    entry: str,
    prefix: str,
    identifier: str,
    body: dict[str, Any] | bytes,
    deadline_ms: int,
    *,
    quiet: bool = False,
) -> Answer | None:
    """Hand a job in, and wait for its answer as long as its client does."""
    if not quiet:
        stage.record.add(f'client: POST {prefix}{identifier} to {entry}')
    headers = {'Host': 'front.example', 'X-Deadline-Ms': str(deadline_ms)}
    answer = await call(
        stage.front(entry),
        'POST',
        prefix + identifier,
        body,
        headers,
        deadline_ms / 1000,
    )
    if not quiet:
        stage.record.add(f'client: {identifier} at {entry} gets {describe(answer)}')
    return answer


def describe(answer: Answer | None) -> str:
    """Return an answer as text."""
    return 'no answer' if answer is None else f'{answer[0]} {json.dumps(answer[1])}'


def find_overlaps(workers: list[Worker]) -> list[tuple[Run, Run]]:
    """Return the pairs of runs of one task that were active at the same time."""
    by_task: dict[str, list[Run]] = {}
    for worker in workers:
        for run in worker.runs:
            by_task.setdefault(run.task, []).append(run)
    return [
        (one, other)
        for runs in by_task.values()
        for index, one in enumerate(runs)
        for other in runs[index + 1 :]
        if one.overlaps(other)
    ]


def run_case(
    file: str, play: Callable[[Stage, bool], Awaitable[bool]], limit_s: float = 110
) -> None:
    """Play a case and exit with its result.

    :param file: path of the script of the case.
    :param play: plays the case, with or without the disruption, and returns whether the
        rule was kept.
    """
    trouble = os.environ.get('TROUBLE', '1') != '0'
    sys.exit(asyncio.run(_run(Path(file).resolve().parent, play, limit_s, trouble)))


async def _run(
    folder: Path,
    play: Callable[[Stage, bool], Awaitable[bool]],
    limit_s: float,
    trouble: bool,
) -> int:
    # Streams report handlers that are cancelled at the end of the case.
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
    stage = Stage(folder)
    stage.record.add(f'the case is played {"with" if trouble else "without"} trouble')
    try:
        async with asyncio.timeout(limit_s):
            await stage.start_store()
            kept = await play(stage, trouble)
    except (CouldNotRun, TimeoutError, OSError) as error:
        stage.record.add(f'the case could not run: {error!r}')
        return COULD_NOT_RUN
    finally:
        await stage.close()
    stage.record.add('the rule was kept' if kept else 'the rule was broken')
    return HELD if kept else BROKEN


def _find_network() -> str:
    """Return the first two numbers of loopback addresses that nobody uses."""
    for number in random.sample(range(16, 240), 100):
        probes = []
        try:
            for host, port in (('0.1', STORE_PORT), ('1.1', METRICS_PORT)):
                probe = socket.socket()
                probes.append(probe)
                probe.bind((f'127.{number}.{host}', port))
        except OSError:
            continue
        finally:
            for probe in probes:
                probe.close()
        return f'127.{number}'
    raise CouldNotRun('no free loopback addresses')
