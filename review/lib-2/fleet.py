"""Starts the project's programs as the deploy file says, beside stand-ins."""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from contextlib import AsyncExitStack
from contextlib import suppress
from pathlib import Path
from typing import Any
from typing import Self

from http_server import call
from store import Store
from worker import Worker

REPOSITORY = Path(__file__).resolve().parents[2]
SERVICE = 'huvo11a'
HOST = 'nony24.example'
ZONES = ('hall-a', 'hall-b', 'hall-c')
FRONT_PORT = 8161
STORE_PORT = 8169
AGENT_PORT = 7720
CONTROL_PORT = 8166
READY_PORT = 8167
APP_PORT = 8165

_SETTINGS = """\
nodeName = "{name}"
role = "{role}"
machineClass = "{machine_class}"
serves = ["{machine_class}"]
ip = "{ip}"
zone = "{zone}"
region = "stavanger"
internalPorts = [7720,7735]
seeds = []
bootstrap = true
countsAsLoss = false
discovery = "local"
entry = "vip"
heartbeatMs = 1500
contracts = ["base","drain","config","cost","recover","sched","platform"]
orders = "rpc"
[zones]
hall-a = "stavanger"
hall-b = "stavanger"
hall-c = "stavanger"
[listenAddrs]
{listen}
[limits]
cpuShare = 0.537
cores = 2
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seedLagS = 3
addrReuseS = 2
contactMs = 3000
ackTimeoutMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 6
lossSlackMs = 200
configApplyMs = 2000
downgradeSlackMs = 250
maxStretchMs = 5000
recoveryS = 12
holdMaxMs = 1000
stopTimeoutMs = 50
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
retransmitMs = 1300
[platform]
address = "{store}"
form = "table"
writesPerS = 800
readsPerS = 2000
txnLatencyMs = 8.0
partitionWritesS = 150
rowBytes = 65536
crossShard = false
historyS = 20
"""


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, path: Path) -> None:
        self.events: list[dict[str, Any]] = []
        self._began_at = time.monotonic()
        self._file = path.open('w')

    def __call__(self, event: str, **fields: Any) -> None:
        """Write one event."""
        at = time.monotonic() - self._began_at
        self.events.append({'at': at, 'event': event, **fields})
        shown = ' '.join(f'{name}={value}' for name, value in fields.items())
        self._file.write(f'{at:8.3f} {event} {shown}\n')
        self._file.flush()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._began_at

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Program:
    """A program of the deploy file, as one process."""

    def __init__(self, role: str, settings: Path, output: Path) -> None:
        deploy = tomllib.loads((REPOSITORY / 'deploy' / 'system.toml').read_text())
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(REPOSITORY / 'target' / 'deps')
        environment['ENDIVETALLY_SETTINGS'] = str(settings)
        with output.open('ab') as written:
            self._process = subprocess.Popen(
                deploy['roles'][role]['run'].split(' '),
                cwd=REPOSITORY,
                env=environment,
                stdout=written,
                stderr=written,
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self._process.send_signal(number)

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self._process.poll() is None

    def end(self) -> None:
        """Kill the process and wait for its end."""
        with suppress(ProcessLookupError):
            self._process.kill()
        self._process.wait()


class Fleet:
    """A store, entries, and workers with their agents, on loopback addresses."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.store = Store()
        self.workers: list[Worker] = []
        self.entries: list[Program] = []
        self.agents: list[Program] = []
        self._stack = AsyncExitStack()
        self._folder = Path(tempfile.mkdtemp(prefix='review-'))
        self._net = _find_free_net()

    async def __aenter__(self) -> Self:
        """Start the store."""
        self._stack.callback(shutil.rmtree, self._folder, ignore_errors=True)
        await self.store.listen(self.store_address[0], STORE_PORT)
        self._stack.callback(self.store.close)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """End all that was started."""
        for program in (*self.entries, *self.agents):
            program.end()
        await self._stack.aclose()

    @property
    def store_address(self) -> tuple[str, int]:
        """Address of the store."""
        return (f'{self._net}.7', STORE_PORT)

    def entry_address(self, number: int) -> tuple[str, int]:
        """Address at which an entry serves clients."""
        return (self._entry_ip(number), FRONT_PORT)

    def read_output(self, name: str) -> str:
        """Return what a program has written so far."""
        return (self._folder / f'{name}.txt').read_text()

    async def move_store(self) -> None:
        """Move the store to another address, and write it into all settings files."""
        former = f'{self.store_address[0]}:{STORE_PORT}'
        moved = (f'{self._net}.8', STORE_PORT)
        await self.store.move(*moved)
        for settings in self._folder.glob('*.toml'):
            text = settings.read_text().replace(former, f'{moved[0]}:{moved[1]}')
            new = settings.with_suffix('.new')
            new.write_text(text)
            new.replace(settings)

    async def start_worker(
        self,
        number: int,
        work_s: float,
        zone: str = ZONES[0],
    ) -> Worker:
        """Start an agent and its worker."""
        ip = self._agent_ip(number)
        self.agents.append(self.start_agent(number, zone))
        worker = Worker(
            f'i-{number:08x}',
            SERVICE,
            (ip, APP_PORT),
            (ip, CONTROL_PORT),
            zone,
            work_s,
            self.record,
        )
        await worker.start()
        self._stack.callback(worker.close)
        self.workers.append(worker)
        return worker

    def start_agent(self, number: int, zone: str = ZONES[0]) -> Program:
        """Start the agent of a worker."""
        ip = self._agent_ip(number)
        listen = f'control = "{ip}:{CONTROL_PORT}"'
        name = f'side-{zone}-{number}'
        return self._start_program(
            'agent', 'side', name, ip, zone, listen, self.store_address
        )

    def start_entry(
        self, number: int, store: tuple[str, int] | None = None, zone: str = ZONES[0]
    ) -> Program:
        """Start an entry."""
        ip = self._entry_ip(number)
        listen = f'front = "{ip}:{FRONT_PORT}"\nreadyAddr = "{ip}:{READY_PORT}"'
        name = f'front-{zone}-{number}'
        address = store or self.store_address
        program = self._start_program('entry', 'front', name, ip, zone, listen, address)
        self.entries.append(program)
        return program

    async def write_config(self, version: int, paths: list[str], **fields: Any) -> None:
        """Write a configuration with one route for each path prefix."""
        routes = [
            {
                'name': f'queue-{prefix.strip("/")}',
                'host': HOST,
                'pathPrefix': prefix,
                'service': SERVICE,
                'targetLatencyMs': 60,
                'priority': 1,
                'maxAttempts': 4,
                'stretch': 1.6,
                'timeoutMs': 1500,
                **fields,
            }
            for prefix in paths
        ]
        services = [{'name': SERVICE, 'admissionCheck': False}]
        content = {
            'version': version,
            'routes': routes,
            'services': services,
            'limits': {},
        }
        await self.store.write('op', 'config', content)
        self.record('config acknowledged', version=version, routes=','.join(paths))

    async def wait_ready(self, entries: int, timeout_s: float = 20.0) -> bool:
        """Wait until the entries say that they are ready."""
        end_at = time.monotonic() + timeout_s
        while time.monotonic() < end_at:
            addresses = [
                (self._entry_ip(number), READY_PORT) for number in range(1, entries + 1)
            ]
            answers = [
                await call(each, 'GET', '/v1/ready', timeout_s=1) for each in addresses
            ]
            if all(status == 200 for status, _ in answers):
                return True
            await asyncio.sleep(0.2)
        return False

    async def submit(
        self,
        entry: int,
        job: str,
        steps: list[dict[str, Any]],
        prefix: str = '/lohu930/',
        deadline_s: float = 1.5,
    ) -> tuple[int, Any]:
        """Send a job and wait for its response until its deadline; status 0 if none."""
        body = {'spec': f'spec of {job}', 'steps': steps, 'bestEffort': True}
        return await self.request(entry, 'POST', f'{prefix}{job}', body, deadline_s)

    async def request(
        self,
        entry: int,
        method: str,
        path: str,
        body: Any = None,
        deadline_s: float = 1.5,
    ) -> tuple[int, Any]:
        """Send a request of a client; record it and its answer."""
        headers = {'Host': HOST, 'X-Deadline-Ms': str(int(deadline_s * 1000))}
        self.record('sent', method=method, path=path, entry=entry)
        status, answer = await call(
            self.entry_address(entry), method, path, body, headers, deadline_s
        )
        self.record(
            'answered',
            method=method,
            path=path,
            entry=entry,
            status=status,
            body=answer,
        )
        return status, answer

    def _start_program(
        self,
        role: str,
        machine_class: str,
        name: str,
        ip: str,
        zone: str,
        listen: str,
        store: tuple[str, int],
    ) -> Program:
        settings = self._folder / f'{name}.toml'
        text = _SETTINGS.format(
            name=name,
            role=role,
            machine_class=machine_class,
            ip=ip,
            zone=zone,
            listen=listen,
            store=f'{store[0]}:{store[1]}',
        )
        settings.write_text(text)
        return Program(role, settings, self._folder / f'{name}.txt')

    def _entry_ip(self, number: int) -> str:
        return f'{self._net}.{100 + number}'

    def _agent_ip(self, number: int) -> str:
        return f'{self._net}.{150 + number}'


def new_job() -> str:
    """Return the identifier of a new job."""
    return f'{random.getrandbits(64):016x}'


def list_runs(record: Record) -> list[dict[str, Any]]:
    """Return the runs on all workers with their starts and ends."""
    runs = []
    for each in record.events:
        if each['event'] == 'start':
            runs.append({**each, 'end': float('inf'), 'how': ''})
        elif each['event'] == 'end':
            for run in runs:
                same = all(
                    run[name] == each[name] for name in ('worker', 'task', 'run')
                )
                if same and not run['how']:
                    run['end'], run['how'] = each['at'], each['how']
    return runs


def write_verdict(record: Record, broken: list[str]) -> int:
    """Write the verdict; return the exit code."""
    for line in broken:
        record('BROKEN', what=json.dumps(line))
    record('verdict', broken=len(broken))
    return 1 if broken else 0


def _find_free_net() -> str:
    """Return the first three numbers of loopback addresses that nothing uses."""
    while True:
        net = f'127.{random.randint(2, 250)}.{random.randint(1, 250)}'
        with socket.socket() as probe, suppress(OSError):
            probe.bind((f'{net}.7', STORE_PORT))
            return net
