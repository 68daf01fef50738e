"""The deployment that a soak disturbs: machines, proxies, store and targets."""

import asyncio
import itertools
import random
import socket
from contextlib import AsyncExitStack
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path
from typing import Final
from typing import Self

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
TARGET_ROOM: Final = Resources(16_000, 32_768)
DATA_CENTRES: Final = ('north', 'south', 'west')
GRACE_S: Final = 6.0
STORE_PORT: Final = 8169
CLAIM_PORT: Final = 7001
# Processes are looked at, and started again, in this interval.
SUPERVISION_S: Final = 0.1
RESTART_S: Final = (0.2, 1.5)
# Until what a caller sends has reached the proxy, on a busy machine.
PASSED_S: Final = 0.2
# Longest wait of a call that has an answer: for changes of the store.
LAST_CALLS_S: Final = 2.5
# Third part of the addresses: of processes, of proxies before them, and of the
# proxies of the store for each machine.
STORE_HOST, PROCESS_NET, PROXY_NET, STORE_NET = range(4)
# The last part of an address.
MOST_MACHINES: Final = 254


@dataclass(slots=True, eq=False)
class Machine:
    """A process, the proxies around it, and the target beside an agent.

    :param link: proxy before it, for callers or for entries.
    :param store: proxy through which it reaches the store.
    :param disturbed: spans of steady time in which it suffered a fault.
    :param unready_since: when its process had ended, until the next one listens.
    :param removed: it is gone for good.
    """

    name: str
    role: str
    ip: str
    process: ChildProcess
    settings: Path
    link: Proxy
    store: Proxy
    calls: EntryClient | None = None
    worker: WorkerStandIn | None = None
    disturbed: list[tuple[float, float]] = field(default_factory=list)
    terminated_at: list[float] = field(default_factory=list)
    unready_since: float | None = None
    removed: bool = False
    restarting: bool = False

    @property
    def ended(self) -> bool:
        """Whether its process has ended and has to be started again."""
        return not (self.removed or self.restarting or self.process.alive)

    async def start(self) -> None:
        """Start the process and wait until it listens."""
        self.note_ended()
        await self.process.spawn(
            ['-m', 'endivetally_platform', self.role],
            {'ENDIVETALLY_SETTINGS': str(self.settings)},
        )
        while self.process.alive and not await self._listens():
            await asyncio.sleep(SUPERVISION_S)
        if self.process.alive and self.unready_since is not None:
            self.disturb(self.unready_since)
            self.unready_since = None

    def note_ended(self) -> None:
        """Note that there is no process, until the next one listens."""
        if self.unready_since is None:
            self.unready_since = asyncio.get_running_loop().time()

    def disturb(self, other_end: float) -> None:
        """Note that it suffers a fault between now and a time."""
        now = asyncio.get_running_loop().time()
        self.disturbed.append((min(now, other_end), max(now, other_end)))

    def calm(self, since: float, until: float) -> bool:
        """Return whether no fault touched it, or a call to it, in a span."""
        if self.unready_since is not None and until >= self.unready_since:
            return False
        # A kept connection may have fallen silent long before it is used.
        if any(since <= at <= since + PASSED_S for at in self.link.swallowed_at):
            return False
        return all(end < since or start > until for start, end in self.disturbed)

    async def _listens(self) -> bool:
        port = CALLER_PORT if self.role == 'entry' else PEER_PORT
        try:
            _, writer = await asyncio.open_connection(self.ip, port)
        except OSError:
            return False
        writer.close()
        return True


class Stage:
    """Owns all processes, proxies and stand-ins of a soak.

    :param folder: receives settings and logs.
    """

    def __init__(self, rng: random.Random, folder: Path) -> None:
        self.rng = rng
        self.plans: dict[str, JobSpec] = {}
        self.ledger = RunHistory(self._run_s, self._need, self._fails)
        self.wire_store = StoreStandIn(seed=rng.randrange(2**32))
        self.machines: list[Machine] = []
        self.violations: list[str] = []
        self._payloads: set[str] = set()
        self._restarts: list[asyncio.Future[None]] = []
        self._folder = folder
        self._numbers = itertools.count(1)
        self._lives = itertools.count(1)
        self._version = 0
        self._net = ''
        self._stack = AsyncExitStack()

    @property
    def entries(self) -> list[Machine]:
        """Entries that are not gone for good."""
        return self._of_role('entry')

    @property
    def agents(self) -> list[Machine]:
        """Agents that are not gone for good."""
        return self._of_role('agent')

    async def __aenter__(self) -> Self:
        """Claim addresses and serve the store."""
        self._net = self._claim_net()
        for host, translate in ((1, None), (2, self._through_proxies)):
            server = HTTPServer(self.wire_store.create_application(translate))
            server.listen(STORE_PORT, f'{self._net}.{STORE_HOST}.{host}')
            self._stack.callback(server.stop)
        await self.change_text()
        supervising = asyncio.ensure_future(self._supervise())
        self._stack.callback(supervising.cancel)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """End everything that was started."""
        for machine in self.machines:
            machine.removed = True
        await self._kill_all()
        # A restart that was under way may have started one more.
        await asyncio.gather(*self._restarts)
        await self._kill_all()
        self.wire_store.closing.set()
        await asyncio.sleep(LAST_CALLS_S)
        await self._stack.aclose()
        await asyncio.sleep(SUPERVISION_S)

    async def add(self, role: str) -> Machine:
        """Add a machine and start its process.

        :raises FleetError: when there are too many.
        """
        number = next(self._numbers)
        if number > MOST_MACHINES:
            raise FleetError('no free addresses for another machine')
        name = f'{role}-{number}'
        own = f'{self._net}.{PROCESS_NET}.{number}'
        port = CALLER_PORT if role == 'entry' else PEER_PORT
        link = Proxy(
            Address(f'{self._net}.{PROXY_NET}.{number}', port), Address(own, port)
        )
        store_host = f'{self._net}.{STORE_HOST}.{2 if role == "entry" else 1}'
        store_address = Address(f'{self._net}.{STORE_NET}.{number}', STORE_PORT)
        store = Proxy(store_address, Address(store_host, STORE_PORT))
        for proxy in (link, store):
            await self._stack.enter_async_context(proxy)
        settings = self._folder / f'{name}.toml'
        ProcessSettings(
            name,
            own,
            DATA_CENTRES[number % len(DATA_CENTRES)],
            store_address,
            GRACE_S,
        ).write(settings)
        process = ChildProcess(name, self._folder / f'{name}.log')
        machine = Machine(name, role, own, process, settings, link, store)
        if role == 'entry':
            machine.calls = EntryClient(f'{self._net}.{PROXY_NET}.{number}:{port}')
            self._stack.push_async_callback(machine.calls.close)
        else:
            machine.worker = WorkerStandIn(
                Address(own, TARGET_PORT),
                Address(own, REPORT_PORT),
                self._new_life,
                self._payloads.__contains__,
            )
            await self._stack.enter_async_context(machine.worker)
        self.machines.append(machine)
        await machine.start()
        return machine

    async def remove(self, machine: Machine) -> None:
        """Take a machine away for good."""
        machine.removed = True
        machine.disturb(float('inf'))
        if machine.process.alive:
            await machine.process.kill()
        if machine.worker is not None:
            machine.worker.crash()
        machine.link.refusing = True
        machine.link.reset()

    async def change_text(self) -> None:
        """Write the next version of the operator's text."""
        self._version += self.rng.randint(1, 5)
        content = encode_configuration(self._version, list(SERVICES))
        put = Put('config', content)
        await self.wire_store.get_table('op').commit(Transaction((), (put,)))

    def note_plan(self, plan: JobSpec) -> None:
        """Take note of a job before it is sent."""
        self.plans[plan.identifier] = plan
        self._payloads.add(plan.payload)

    def all_violations(self) -> list[str]:
        """Return what was broken so far, as targets and processes showed it."""
        unasked = [
            f'{machine.name}: payload that no caller sent: {payload}'
            for machine in self.machines
            if machine.worker is not None
            for payload in machine.worker.unknown_payloads
        ]
        return [*self.violations, *self.ledger.violations, *unasked]

    def _of_role(self, role: str) -> list[Machine]:
        return [
            each for each in self.machines if each.role == role and not each.removed
        ]

    def _claim_net(self) -> str:
        """Return the start of the addresses that no other soak uses."""
        for number in self.rng.sample(range(64, 192), k=100):
            claim = socket.socket()
            try:
                claim.bind((f'127.{number}.0.9', CLAIM_PORT))
            except OSError:
                claim.close()
                continue
            self._stack.callback(claim.close)
            return f'127.{number}'
        raise FleetError('no free addresses on loopback')

    def _through_proxies(self, content: bytes) -> bytes:
        """Point the rows of agents at the proxies before them."""
        own = f'"{self._net}.{PROCESS_NET}.'
        proxied = f'"{self._net}.{PROXY_NET}.'
        return content.replace(own.encode(), proxied.encode())

    def _new_life(self) -> HeldTargetStandIn:
        number = next(self._lives)
        # Workers' steady clocks may be 2% slow.
        rate = self.rng.uniform(0.98, 1)
        return HeldTargetStandIn(
            f'target-{number}', TARGET_ROOM, self.ledger, clock_rate=rate, seed=number
        )

    def _run_s(self, task: TaskKey) -> float:
        return self.plans[task.job].run_time_s

    def _need(self, task: TaskKey) -> Resources:
        return self.plans[task.job].task_resources

    def _fails(self, task: TaskKey) -> bool:
        return self.plans[task.job].tasks_fail

    async def _supervise(self) -> None:
        """Start processes again that have ended, as the platform does."""
        while True:
            await asyncio.sleep(SUPERVISION_S)
            ended = [each for each in self.machines if each.ended]
            for machine in ended:
                machine.restarting = True
                self._restarts.append(asyncio.ensure_future(self._restart(machine)))

    async def _kill_all(self) -> None:
        alive = [each for each in self.machines if each.process.alive]
        await asyncio.gather(*(each.process.kill() for each in alive))

    async def _restart(self, machine: Machine) -> None:
        if machine.process.crashed:
            code = machine.process.exit_code
            self.violations.append(f'{machine.name} exited by itself: {code}')
        machine.note_ended()
        await asyncio.sleep(self.rng.uniform(*RESTART_S))
        if not machine.removed:
            await machine.start()
        machine.restarting = False
