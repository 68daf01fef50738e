"""Deployment of a soak test: processes, proxies, and stand-ins of store and targets."""

import asyncio
import itertools
import random
import socket
import time
from contextlib import AsyncExitStack
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path
from typing import Final
from typing import Self

import msgspec
from endivetally_config.operator_config import Objective
from endivetally_config.operator_config import Service
from endivetally_config.operator_config import ServiceKind
from endivetally_core.joining import Address
from endivetally_held.jobs import TaskKey
from endivetally_platform.standins import EntryClient
from endivetally_platform.standins import JobSpec
from endivetally_platform.standins import ProcessSettings
from endivetally_platform.standins import StoreStandIn
from endivetally_platform.standins import WorkerStandIn
from endivetally_platform.standins import encode_configuration
from endivetally_platform.standins.settings import CALLER_PORT
from endivetally_platform.standins.settings import PEER_PORT
from endivetally_platform.standins.settings import REPORT_PORT
from endivetally_platform.standins.settings import TARGET_PORT
from endivetally_policy.held import Resources
from endivetally_standins.held_target import HeldTargetStandIn
from endivetally_standins.held_target import RunHistory
from endivetally_table.table import Put
from endivetally_table.table import Transaction
from tornado.httpserver import HTTPServer

from endivetally.fleet.process import ChildProcess
from endivetally.fleet.process import FleetError
from endivetally.soak.proxy import Proxy

POOL: Final = 'pool'
SERVICES: Final = tuple(
    Service(
        name=name,
        kind=ServiceKind.JOB,
        objective=Objective(response_ms=60),
        pool=POOL,
        attempts=3,
        stretch=1.6,
    )
    for name in ('lookup', 'sweep', 'fetch')
)
TARGET_CAPACITY: Final = Resources(16_000, 32_768)
DATA_CENTRES: Final = ('north', 'south', 'west')
# Grace period between SIGTERM and SIGKILL, as stated in the settings of each
# process.
SHUTDOWN_GRACE_S: Final = 6.0
# Bound for evacuations in the settings of each process.
EVACUATION_MS: Final = 5000
STORE_PORT: Final = 8169
RESERVATION_PORT: Final = 7001
# Interval at which the deployment checks for processes that need a restart.
SUPERVISION_INTERVAL_S: Final = 0.1
RESTART_DELAY_RANGE_S: Final = (0.2, 1.5)
# Size of a large deployment's configuration, and the rate at which each of its
# machines receives from the store, which is that of a link of 2 Mbit/s.
LARGE_ROUTE_COUNT: Final = 1600
LARGE_STORE_BYTES_PER_S: Final = 250_000
# Time that data of a caller takes to reach the proxy on a busy machine.
PROXY_TRANSIT_S: Final = 0.2
# Longest time for which the store keeps a request open that waits for changes.
MAX_LONG_POLL_S: Final = 2.5
# Third octet of an IP address: stores, processes, the proxies in front of processes,
# and the proxy between each machine and the store.
STORE_OCTET, PROCESS_OCTET, PROXY_OCTET, STORE_PROXY_OCTET = range(4)
# The number of a machine is the last octet of its addresses.
MAX_MACHINES: Final = 254


@dataclass(slots=True, eq=False)
class Machine:
    """A process, its proxies and, for an agent, the target next to it.

    All times are those of the event loop.

    :param role: ``entry`` or ``agent``.
    :param ip: address that the process listens on.
    :param inbound_proxy: proxy in front of the process, for callers or for entries.
    :param store_proxy: proxy through which the process reaches the store.
    :param entry_client: client for callers of an entry; ``None`` for an agent.
    :param worker: stand-in of the target next to an agent; ``None`` for an entry.
    :param fault_spans: start and end of each fault of the machine.
    :param termination_times: each time at which SIGTERM was sent to the process.
    :param not_listening_since: when the process exited; ``None`` once the next one
        listens.
    :param removed: whether the machine was removed for good.
    :param restarting: whether a start of the process is under way.
    """

    name: str
    role: str
    ip: str
    process: ChildProcess
    settings_file: Path
    inbound_proxy: Proxy
    store_proxy: Proxy
    entry_client: EntryClient | None = None
    worker: WorkerStandIn | None = None
    fault_spans: list[tuple[float, float]] = field(default_factory=list)
    termination_times: list[float] = field(default_factory=list)
    not_listening_since: float | None = None
    removed: bool = False
    restarting: bool = False

    @property
    def needs_restart(self) -> bool:
        """Whether its process has exited and no start is under way."""
        return not (self.removed or self.restarting or self.process.alive)

    async def start(self) -> None:
        """Start the process and wait until it listens or exits."""
        self.record_exit()
        await self.process.spawn(
            ['-m', 'endivetally_platform', self.role],
            {'ENDIVETALLY_SETTINGS': str(self.settings_file)},
        )
        while self.process.alive and not await self._listens():
            await asyncio.sleep(SUPERVISION_INTERVAL_S)
        if self.process.alive and self.not_listening_since is not None:
            self.record_fault_span(self.not_listening_since)
            self.not_listening_since = None

    def record_exit(self) -> None:
        """Record that no process listens until the next one is started."""
        if self.not_listening_since is None:
            self.not_listening_since = asyncio.get_running_loop().time()

    def record_fault_span(self, other_bound: float) -> None:
        """Record a fault between now and another time, which may be in the past."""
        now = asyncio.get_running_loop().time()
        self.fault_spans.append((min(now, other_bound), max(now, other_bound)))

    def was_fault_free(self, since: float, until: float) -> bool:
        """Return whether no fault affected the machine or its connections.

        :param since: start of the time span, in seconds.
        :param until: end of the time span, in seconds.
        """
        if self.not_listening_since is not None and until >= self.not_listening_since:
            return False
        # A persistent connection may be blackholed long before a call uses it.
        if any(
            since <= at <= since + PROXY_TRANSIT_S
            for at in self.inbound_proxy.discard_times
        ):
            return False
        return all(end < since or start > until for start, end in self.fault_spans)

    async def _listens(self) -> bool:
        port = CALLER_PORT if self.role == 'entry' else PEER_PORT
        try:
            _, writer = await asyncio.open_connection(self.ip, port)
        except OSError:
            return False
        writer.close()
        return True


class SoakDeployment:
    """Runs the processes, proxies and stand-ins of a soak test.

    Processes that exit are restarted.

    ``jobs`` holds the registered jobs by identifier. ``violations`` lists the
    processes that exited without a signal from the soak test.

    :param directory: directory that receives settings and logs.
    :param large: whether the configuration is large and the links to the store are
        slow.
    """

    def __init__(
        self, rng: random.Random, directory: Path, *, large: bool = False
    ) -> None:
        self.rng = rng
        self.jobs: dict[str, JobSpec] = {}
        self.run_history = RunHistory(
            self._get_run_time_s,
            self._get_task_resources,
            self._does_task_fail,
            self._crashes_target,
            self._crash_target,
        )
        self.store = StoreStandIn(seed=rng.randrange(2**32))
        self.machines: list[Machine] = []
        self.violations: list[str] = []
        self._known_payloads: set[str] = set()
        self._crash_tasks: set[asyncio.Future[None]] = set()
        self._restart_tasks: list[asyncio.Future[None]] = []
        self._directory = directory
        self._machine_numbers = itertools.count(1)
        self._target_numbers = itertools.count(1)
        self._large = large
        self._config_version = 0
        self._network = ''
        self._exit_stack = AsyncExitStack()

    @property
    def entries(self) -> list[Machine]:
        """Entries that were not removed."""
        return self._get_machines('entry')

    @property
    def agents(self) -> list[Machine]:
        """Agents that were not removed."""
        return self._get_machines('agent')

    async def __aenter__(self) -> Self:
        """Reserve addresses, serve the store and start to supervise processes."""
        self._network = self._reserve_network()
        for host, translate in ((1, None), (2, self._replace_agent_addresses)):
            server = HTTPServer(self.store.create_application(translate))
            server.listen(STORE_PORT, f'{self._network}.{STORE_OCTET}.{host}')
            self._exit_stack.callback(server.stop)
        await self.change_config()
        supervisor = asyncio.ensure_future(self._supervise())
        self._exit_stack.callback(supervisor.cancel)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop all processes, proxies and stand-ins."""
        for machine in self.machines:
            machine.removed = True
        await self._kill_all()
        # A restart that had already begun may have started a new process.
        await asyncio.gather(*self._restart_tasks, *self._crash_tasks)
        await self._kill_all()
        self.store.closing.set()
        await asyncio.sleep(MAX_LONG_POLL_S)
        await self._exit_stack.aclose()
        await asyncio.sleep(SUPERVISION_INTERVAL_S)

    async def add_machine(self, role: str) -> Machine:
        """Add a machine and start its process.

        :raises FleetError: when all addresses are in use.
        """
        number = next(self._machine_numbers)
        if number > MAX_MACHINES:
            raise FleetError('all machine addresses are in use')
        name = f'{role}-{number}'
        process_ip = f'{self._network}.{PROCESS_OCTET}.{number}'
        port = CALLER_PORT if role == 'entry' else PEER_PORT
        inbound_proxy = Proxy(
            Address(f'{self._network}.{PROXY_OCTET}.{number}', port),
            Address(process_ip, port),
        )
        store_host = f'{self._network}.{STORE_OCTET}.{2 if role == "entry" else 1}'
        store_address = Address(
            f'{self._network}.{STORE_PROXY_OCTET}.{number}', STORE_PORT
        )
        store_proxy = Proxy(store_address, Address(store_host, STORE_PORT))
        if self._large:
            store_proxy.backward.bytes_per_s = LARGE_STORE_BYTES_PER_S
        for proxy in (inbound_proxy, store_proxy):
            await self._exit_stack.enter_async_context(proxy)
        settings_file = self._directory / f'{name}.toml'
        ProcessSettings(
            name,
            process_ip,
            DATA_CENTRES[number % len(DATA_CENTRES)],
            store_address,
            SHUTDOWN_GRACE_S,
            EVACUATION_MS,
        ).write(settings_file)
        process = ChildProcess(name, self._directory / f'{name}.log')
        machine = Machine(
            name, role, process_ip, process, settings_file, inbound_proxy, store_proxy
        )
        if role == 'entry':
            machine.entry_client = EntryClient(
                f'{self._network}.{PROXY_OCTET}.{number}:{port}'
            )
            self._exit_stack.push_async_callback(machine.entry_client.close)
        else:
            machine.worker = WorkerStandIn(
                Address(process_ip, TARGET_PORT),
                Address(process_ip, REPORT_PORT),
                self._create_target,
                self._known_payloads.__contains__,
            )
            await self._exit_stack.enter_async_context(machine.worker)
        # The supervisor must not start its process a second time.
        machine.restarting = True
        self.machines.append(machine)
        await machine.start()
        machine.restarting = False
        return machine

    async def remove_machine(self, machine: Machine) -> None:
        """Remove a machine for good; its process and its target are killed."""
        machine.removed = True
        machine.record_fault_span(float('inf'))
        if machine.process.alive:
            await machine.process.kill()
        if machine.worker is not None:
            machine.worker.crash()
        machine.inbound_proxy.refuses_connections = True
        machine.inbound_proxy.reset_connections()

    async def change_config(self) -> None:
        """Write the next version of the operators' configuration to the store."""
        self._config_version += self.rng.randint(1, 5)
        services = list(SERVICES)
        if self._large:
            services += _create_unused_services(LARGE_ROUTE_COUNT)
        content = encode_configuration(self._config_version, services)
        put = Put('config', content)
        await self.store.get_table('op').commit(Transaction((), (put,)))

    async def set_evacuated(self, data_centre: str, *, evacuated: bool) -> None:
        """Write or remove the row that requests to empty a data centre."""
        put = Put(f'evacuate/{data_centre}', b'{}' if evacuated else None)
        await self.store.get_table('op').commit(Transaction((), (put,)))

    def register_job(self, job: JobSpec) -> None:
        """Register a job, which must be done before it is sent.

        Targets look up the run time and resources of its tasks here.
        """
        self.jobs[job.identifier] = job
        self._known_payloads.add(job.payload)

    def collect_violations(self) -> list[str]:
        """Return the violations observed at targets and processes so far."""
        unknown_payloads = [
            f'{machine.name}: payload that no caller sent: {payload}'
            for machine in self.machines
            if machine.worker is not None
            for payload in machine.worker.unknown_payloads
        ]
        return [*self.violations, *self.run_history.violations, *unknown_payloads]

    def _get_machines(self, role: str) -> list[Machine]:
        return [
            each for each in self.machines if each.role == role and not each.removed
        ]

    def _reserve_network(self) -> str:
        """Return the first two octets of addresses that no other soak test uses."""
        for number in self.rng.sample(range(64, 192), k=100):
            reservation = socket.socket()
            try:
                reservation.bind((f'127.{number}.0.9', RESERVATION_PORT))
            except OSError:
                reservation.close()
                continue
            self._exit_stack.callback(reservation.close)
            return f'127.{number}'
        raise FleetError('found no unused network on loopback')

    def _replace_agent_addresses(self, content: bytes) -> bytes:
        """Replace the addresses of agents in a row by those of their proxies."""
        process_prefix = f'"{self._network}.{PROCESS_OCTET}.'
        proxy_prefix = f'"{self._network}.{PROXY_OCTET}.'
        return content.replace(process_prefix.encode(), proxy_prefix.encode())

    def _create_target(self) -> HeldTargetStandIn:
        number = next(self._target_numbers)
        # The monotonic clocks of workers may be 2% slow.
        clock_rate = self.rng.uniform(0.98, 1)
        return HeldTargetStandIn(
            f'target-{number}',
            TARGET_CAPACITY,
            self.run_history,
            clock_rate=clock_rate,
            seed=number,
            born_ms=int(time.time() * 1000),
        )

    def _get_run_time_s(self, task: TaskKey) -> float:
        return self.jobs[task.job].run_time_s

    def _get_task_resources(self, task: TaskKey) -> Resources:
        return self.jobs[task.job].task_resources

    def _does_task_fail(self, task: TaskKey) -> bool:
        return self.jobs[task.job].tasks_fail

    def _crashes_target(self, task: TaskKey) -> bool:
        return self.jobs[task.job].crashes_targets and task.number == 0

    def _crash_target(self, target: HeldTargetStandIn) -> None:
        """Crash a target, which refuses connections until the next one starts."""
        workers = [each.worker for each in self.machines if each.worker is not None]
        for worker in workers:
            if worker.instance is target:
                crash = asyncio.ensure_future(worker.refuse_connections())
                self._crash_tasks.add(crash)
                crash.add_done_callback(self._crash_tasks.discard)

    async def _supervise(self) -> None:
        """Restart processes that have exited, as the platform does."""
        while True:
            await asyncio.sleep(SUPERVISION_INTERVAL_S)
            exited = [each for each in self.machines if each.needs_restart]
            for machine in exited:
                machine.restarting = True
                self._restart_tasks.append(
                    asyncio.ensure_future(self._restart(machine))
                )

    async def _kill_all(self) -> None:
        alive = [each for each in self.machines if each.process.alive]
        await asyncio.gather(*(each.process.kill() for each in alive))

    async def _restart(self, machine: Machine) -> None:
        if machine.process.crashed:
            code = machine.process.exit_code
            self.violations.append(f'{machine.name} exited by itself: {code}')
        machine.record_exit()
        await asyncio.sleep(self.rng.uniform(*RESTART_DELAY_RANGE_S))
        if not machine.removed:
            await machine.start()
        machine.restarting = False


def _create_unused_services(count: int) -> list[Service]:
    return [
        msgspec.structs.replace(
            SERVICES[number % len(SERVICES)], name=f'unused-{number}'
        )
        for number in range(count)
    ]
