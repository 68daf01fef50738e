"""Starts an entry and an agent as the deploy file says, beside stand-ins."""

import asyncio
import dataclasses
import itertools
import json
import re
import resource
import shlex
import socket
import sys
import tomllib
from contextlib import AsyncExitStack
from contextlib import asynccontextmanager
from contextlib import suppress
from pathlib import Path

from endivetally.fleet.process import ChildProcess
from endivetally_config.operator_config import Objective
from endivetally_config.operator_config import Service
from endivetally_config.operator_config import ServiceKind
from endivetally_core.joining import Address
from endivetally_platform.standins import ProcessSettings
from endivetally_platform.standins import StoreStandIn
from endivetally_platform.standins import WorkerStandIn
from endivetally_platform.standins import encode_configuration
from endivetally_platform.standins.settings import CALLER_PORT
from endivetally_platform.standins.settings import PEER_PORT
from endivetally_platform.standins.settings import READINESS_PORT
from endivetally_platform.standins.settings import REPORT_PORT
from endivetally_platform.standins.settings import ROUTE_HOST
from endivetally_platform.standins.settings import TARGET_PORT
from endivetally_policy.held import Resources
from endivetally_standins.held_target import HeldTargetStandIn
from endivetally_standins.held_target import RunHistory
from endivetally_table.table import Put
from endivetally_table.table import Transaction
from tornado.httpserver import HTTPServer

REPOSITORY = Path(__file__).parents[2]
CROWD_PROGRAM = Path(__file__).with_name('crowd.py')
SERVICE = Service(
    name='lookup',
    kind=ServiceKind.JOB,
    objective=Objective(response_ms=1000),
    pool='pool',
    attempts=3,
    stretch=100,
)
STORE_PORT = 8169
METRICS_PORT = 9464
MEGABYTE = 1024 * 1024
# A process that uses this many times its memory is ended, as the platform would do.
MEMORY_FACTOR = 4
# Of the descriptors in the settings, these are for files.
FILE_DESCRIPTORS = 200
SAMPLE_INTERVAL_S = 0.02
# Bounds a test that hangs; no check depends on it.
GIVE_UP_S = 60
LONG_RUN_S = 100
REFUSED = 503
OK = 200
PORTS = {
    'callers': ('entry', CALLER_PORT),
    'readiness': ('entry', READINESS_PORT),
    'entry-metrics': ('entry', METRICS_PORT),
    'reports': ('agent', REPORT_PORT),
    'peers': ('agent', PEER_PORT),
    'agent-metrics': ('agent', METRICS_PORT),
}


@dataclasses.dataclass(frozen=True)
class Limits:
    """Limits in the settings of both processes."""

    memory_mb: int = 128
    max_fds: int = 4100


@dataclasses.dataclass
class Usage:
    """The most that a process has used.

    :ivar memory: resident memory and bytes that were received and not read.
    :ivar sockets: open sockets and pipes.
    """

    memory: int = 0
    sockets: int = 0


class Process:
    """A program of the deploy file, and what it has used."""

    def __init__(self, role, ip, directory, limits):
        self.usage = Usage()
        self._role = role
        self._ip = ip
        self._limits = limits
        self._settings = directory / f'{role}.toml'
        self._child = ChildProcess(role, directory / f'{role}.log')

    @property
    def alive(self):
        return self._child.alive

    async def start(self, store_address):
        ProcessSettings(
            self._role,
            self._ip,
            'north',
            store_address,
            6,
            memory_mb=self._limits.memory_mb,
            max_fds=self._limits.max_fds,
        ).write(self._settings)
        deploy = tomllib.loads((REPOSITORY / 'deploy' / 'system.toml').read_text())
        _, *arguments = shlex.split(deploy['roles'][self._role]['run'])
        await self._child.spawn(
            arguments, {'ENDIVETALLY_SETTINGS': str(self._settings)}
        )
        descriptors = (self._limits.max_fds, self._limits.max_fds)
        resource.prlimit(self._child.pid, resource.RLIMIT_NOFILE, descriptors)

    async def stop(self):
        """Send SIGTERM and return the exit code; a process that hangs is killed."""
        return await self._child.stop(GIVE_UP_S)

    async def end(self):
        if self._child.alive:
            await self._child.kill()

    async def watch(self):
        """Record the usage, and end the process when it uses too much memory."""
        with suppress(FileNotFoundError, ProcessLookupError):
            while self._child.alive:
                self._measure()
                if (
                    self.usage.memory
                    > self._limits.memory_mb * MEGABYTE * MEMORY_FACTOR
                ):
                    await self._child.kill()
                await asyncio.sleep(SAMPLE_INTERVAL_S)

    def _measure(self):
        process = Path('/proc') / str(self._child.pid)
        status = (process / 'status').read_text()
        resident = int(re.search(r'VmRSS:\s+(\d+) kB', status)[1]) * 1024
        highest = int(re.search(r'VmHWM:\s+(\d+) kB', status)[1]) * 1024
        memory = max(resident + count_unread_bytes(self._ip), highest)
        self.usage.memory = max(self.usage.memory, memory)
        self.usage.sockets = max(self.usage.sockets, count_sockets(process))


class Deployment:
    """An entry, an agent and its worker, and the store, on loopback addresses."""

    def __init__(self, directory, limits):
        self._stack = AsyncExitStack()
        self._network = ''
        self._directory = directory
        self._limits = limits
        self._jobs = itertools.count(1)
        self.processes = {}

    async def __aenter__(self):
        self._network = self._reserve_network()
        store = StoreStandIn()
        server = HTTPServer(store.create_application())
        server.listen(STORE_PORT, self._get_ip(1))
        self._stack.callback(server.stop)
        self._stack.callback(store.closing.set)
        put = Put('config', encode_configuration(1, [SERVICE]))
        await store.get_table('op').commit(Transaction((), (put,)))
        await self._start_worker()
        for number, role in enumerate(('agent', 'entry'), 2):
            await self._start_process(role, self._get_ip(number))
        await self.wait_ready()
        return self

    async def __aexit__(self, *exc_info):
        await self._stack.aclose()

    @asynccontextmanager
    async def send_crowd(self, crowd, address):
        """Run a crowd, wait until it has sent all, and end it afterwards.

        :param address: key of `PORTS`.
        """
        role, port = PORTS[address]
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(CROWD_PROGRAM),
            self._get_process_ip(role),
            str(port),
            json.dumps(dataclasses.asdict(crowd)),
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        try:
            assert await process.stdout.readline() == b'sent\n'
            yield
        finally:
            process.stdin.close()
            await process.wait()

    async def wait_ready(self):
        """Wait until the entry says that it is ready, or has ended."""
        address = Address(self._get_process_ip('entry'), READINESS_PORT)
        async with asyncio.timeout(GIVE_UP_S):
            while self.processes['entry'].alive:
                if await send(address, 'GET', '/v1/ready') == OK:
                    return
                await asyncio.sleep(0.1)

    async def submit(self):
        """Send a job as an ordinary caller, who sends it again when it is refused.

        :returns: status of the response, or 0 if the connection ended without one.
        """
        address = Address(self._get_process_ip('entry'), CALLER_PORT)
        path = f'/{SERVICE.name}/{next(self._jobs):016x}'
        step = {'count': 1, 'cpu': 100, 'memMb': 64, 'estimateMs': 20}
        body = {'spec': 'sound', 'steps': [step], 'bestEffort': True}
        async with asyncio.timeout(GIVE_UP_S):
            while self.processes['entry'].alive:
                status = await send(address, 'POST', path, json.dumps(body).encode())
                if status != REFUSED:
                    return status
                await asyncio.sleep(1)
        return 0

    def _reserve_network(self):
        for number in range(192, 250):
            reservation = socket.socket()
            try:
                reservation.bind((f'127.{number}.0.9', STORE_PORT))
            except OSError:
                reservation.close()
                continue
            self._stack.callback(reservation.close)
            return f'127.{number}'
        raise AssertionError('found no unused network on loopback')

    def _get_ip(self, number):
        return f'{self._network}.0.{number}'

    def _get_process_ip(self, role):
        return self._get_ip({'agent': 2, 'entry': 3}[role])

    async def _start_worker(self):
        resources = Resources(100, 64)
        history = RunHistory(get_run_time_s, lambda task: resources)
        agent_ip = self._get_process_ip('agent')
        worker = WorkerStandIn(
            Address(agent_ip, TARGET_PORT),
            Address(agent_ip, REPORT_PORT),
            lambda: HeldTargetStandIn('target-1', Resources(16_000, 32_768), history),
            lambda payload: True,
        )
        await self._stack.enter_async_context(worker)

    async def _start_process(self, role, ip):
        process = Process(role, ip, self._directory, self._limits)
        self.processes[role] = process
        await process.start(Address(self._get_ip(1), STORE_PORT))
        self._stack.push_async_callback(process.end)
        watch = asyncio.ensure_future(process.watch())
        self._stack.callback(watch.cancel)


def get_run_time_s(task):
    """Return the run time of a task: jobs of a crowd that go on have such names."""
    return LONG_RUN_S if task.job.startswith('f') else 0.02


async def send(address, method, path, body=b''):
    """Send a request on a new connection and return the status; 0 for none."""
    head = (
        f'{method} {path} HTTP/1.1\r\nHost: {ROUTE_HOST}\r\nX-Deadline-Ms: 20000\r\n'
        f'Connection: close\r\nContent-Length: {len(body)}\r\n\r\n'
    )
    try:
        reader, writer = await asyncio.open_connection(address.host, address.port)
    except OSError:
        return 0
    try:
        writer.write(head.encode() + body)
        response = await reader.read()
    except OSError:
        return 0
    finally:
        writer.close()
    return int(response[9:12] or 0)


def count_unread_bytes(ip):
    """Return the bytes that the sockets of an address have received, unread."""
    encoded = socket.inet_aton(ip)[::-1].hex().upper()
    rows = Path('/proc/net/tcp').read_text().splitlines()[1:]
    columns = (row.split() for row in rows if encoded in row)
    # The receive queue of a listening socket counts connections.
    return sum(
        int(column[4].partition(':')[2], 16)
        for column in columns
        if column[1].startswith(encoded) and column[3] != '0A'
    )


def count_sockets(process):
    """Return the number of open sockets and pipes of a process.

    :param process: its directory in the file system of processes.
    """
    links = []
    for descriptor in (process / 'fd').iterdir():
        with suppress(OSError):
            links.append(str(descriptor.readlink()))
    return sum(link.startswith(('socket:', 'pipe:')) for link in links)
