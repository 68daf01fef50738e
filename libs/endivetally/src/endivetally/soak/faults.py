"""Faults that a soak test injects from outside the processes."""

import asyncio
import random
from abc import ABC
from abc import abstractmethod
from collections.abc import Callable
from collections.abc import Iterable
from typing import Final

from endivetally_platform.standins import WorkerStandIn
from endivetally_platform.standins.store import StoreFaults
from endivetally_standins.held_target import TargetFaults

from endivetally.soak.deployment import SHUTDOWN_GRACE_S
from endivetally.soak.deployment import Machine
from endivetally.soak.deployment import SoakDeployment
from endivetally.soak.proxy import Proxy

# Shortest and longest duration of a temporary fault. The range includes the times
# after which a silent link (0.6 s) and a lease (0.8 s) expire.
DURATION_RANGE_S: Final = (0.2, 3.0)
# A terminated process that runs longer than this is killed: its grace period, and a
# margin for a busy machine.
EXIT_TIMEOUT_S: Final = SHUTDOWN_GRACE_S + 2
# How often a settings file changes in a row, and how often the process is told.
SETTINGS_CHANGES: Final = 5
HANGUP_SHARE: Final = 0.7
# Shortest and longest time for which a target holds a command. A start is in time for
# the first 0.8 s.
HOLD_RANGE_S: Final = (0.3, 2.0)


class Fault(ABC):
    """Base class of faults; ``name`` identifies the fault in the report."""

    name: str

    @abstractmethod
    async def inject(self, deployment: SoakDeployment, rng: random.Random) -> None:
        """Inject the fault once; a temporary fault is over on return."""


class MachineFault(Fault):
    """Base class of faults that affect a single machine.

    :param role: role of the machines that it affects, ``entry`` or ``agent``.
    """

    def __init__(self, role: str) -> None:
        self.name = f'{self.kind}_{role}'
        self._role = role

    @property
    @abstractmethod
    def kind(self) -> str:
        """Name of the fault without the role."""

    async def inject(self, deployment: SoakDeployment, rng: random.Random) -> None:
        """Inject the fault into a random machine of the role."""
        machines = deployment.entries if self._role == 'entry' else deployment.agents
        if machines:
            duration_s = rng.uniform(*DURATION_RANGE_S)
            await self.inject_into(rng.choice(machines), duration_s, rng)

    @abstractmethod
    async def inject_into(
        self, machine: Machine, duration_s: float, rng: random.Random
    ) -> None:
        """Inject the fault into one machine.

        :param duration_s: how long a temporary fault lasts.
        """


class Kill(MachineFault):
    """SIGKILL to the process, which the deployment restarts."""

    kind = 'kill'

    async def inject_into(
        self, machine: Machine, duration_s: float, rng: random.Random
    ) -> None:
        """Kill the process if it is running."""
        if machine.process.alive:
            machine.record_exit()
            await machine.process.kill()


class Terminate(MachineFault):
    """SIGTERM to the process, which the deployment restarts."""

    kind = 'term'

    async def inject_into(
        self, machine: Machine, duration_s: float, rng: random.Random
    ) -> None:
        """Terminate the process and wait for its exit; kill it after a timeout."""
        if not machine.process.alive:
            return
        machine.termination_times.append(_get_loop_time())
        machine.process.terminate()
        await machine.process.wait(EXIT_TIMEOUT_S)
        machine.record_exit()


class Freeze(MachineFault):
    """SIGSTOP to the process, and SIGCONT some time later."""

    kind = 'freeze'

    async def inject_into(
        self, machine: Machine, duration_s: float, rng: random.Random
    ) -> None:
        """Suspend the process for the duration."""
        if not machine.process.alive:
            return
        machine.record_fault_span(_get_loop_time() + duration_s + 1)
        machine.process.freeze()
        await asyncio.sleep(duration_s)
        if machine.process.alive:
            machine.process.thaw()


class Hangup(MachineFault):
    """SIGHUP to the process, which makes it reload its settings."""

    kind = 'hup'

    async def inject_into(
        self, machine: Machine, duration_s: float, rng: random.Random
    ) -> None:
        """Send SIGHUP if the process is running."""
        if machine.process.alive:
            machine.process.send_sighup()


class SettingsChanges(MachineFault):
    """The settings file is written again in quick succession."""

    kind = 'settings'

    async def inject_into(
        self, machine: Machine, duration_s: float, rng: random.Random
    ) -> None:
        """Write the file several times, not always followed by SIGHUP."""
        content = machine.settings_file.read_text()
        for number in range(SETTINGS_CHANGES):
            machine.settings_file.write_text(f'generation = {number}\n{content}')
            if machine.process.alive and rng.random() < HANGUP_SHARE:
                machine.process.send_sighup()
            await asyncio.sleep(duration_s / SETTINGS_CHANGES)
        machine.settings_file.write_text(content)


class LinkPartition(MachineFault):
    """The link to a machine forwards nothing in one or both directions."""

    kind = 'cut'

    async def inject_into(
        self, machine: Machine, duration_s: float, rng: random.Random
    ) -> None:
        """Block random directions for the duration; data is held back, not lost."""
        proxy = machine.inbound_proxy
        chosen = rng.choice(
            ((proxy.forward,), (proxy.backward,), (proxy.forward, proxy.backward))
        )
        for direction in chosen:
            direction.block()
        await _restore_after(machine, proxy, duration_s)


class LinkDelay(MachineFault):
    """The link to a machine is slow in both directions."""

    kind = 'delay'

    async def inject_into(
        self, machine: Machine, duration_s: float, rng: random.Random
    ) -> None:
        """Delay each chunk of data for the duration."""
        machine.inbound_proxy.forward.delay_s = rng.uniform(0.02, 0.4)
        machine.inbound_proxy.backward.delay_s = rng.uniform(0.02, 0.4)
        await _restore_after(machine, machine.inbound_proxy, duration_s)


class ConnectionRefusal(MachineFault):
    """New connections to a machine are closed and the open ones are reset."""

    kind = 'refuse'

    async def inject_into(
        self, machine: Machine, duration_s: float, rng: random.Random
    ) -> None:
        """Refuse connections for the duration."""
        machine.inbound_proxy.refuses_connections = True
        machine.inbound_proxy.reset_connections()
        await _restore_after(machine, machine.inbound_proxy, duration_s)


class ConnectionBlackhole(MachineFault):
    """The open connections of a machine discard all data but are not closed."""

    kind = 'silence'

    async def inject_into(
        self, machine: Machine, duration_s: float, rng: random.Random
    ) -> None:
        """Discard what is sent on the connections that are open now."""
        # Callers that wait for a response on these connections time out.
        machine.record_fault_span(_get_loop_time() + 1)
        machine.inbound_proxy.blackhole_connections()
        machine.store_proxy.blackhole_connections()


class StorePartition(MachineFault):
    """One machine cannot reach the store."""

    kind = 'store_cut'

    async def inject_into(
        self, machine: Machine, duration_s: float, rng: random.Random
    ) -> None:
        """Refuse connections to the store or block what is sent to it."""
        if rng.choice((True, False)):
            machine.store_proxy.refuses_connections = True
            machine.store_proxy.reset_connections()
        else:
            machine.store_proxy.forward.block()
        await asyncio.sleep(duration_s * 2)
        machine.store_proxy.restore()


class SettingFault(Fault):
    """Base class of faults that are set in the fault settings of a stand-in.

    :param settings: values to set, by attribute.
    """

    def __init__(
        self, name: str, **settings: float | bool | tuple[float, float]
    ) -> None:
        self.name = name
        self._settings = settings

    async def _set_for(self, faults: StoreFaults | TargetFaults, time_s: float) -> None:
        """Set the values for some time, then those without faults."""
        for name, setting in self._settings.items():
            setattr(faults, name, setting)
        await asyncio.sleep(time_s)
        without = type(faults)()
        for name in self._settings:
            setattr(faults, name, getattr(without, name))


class StoreFault(SettingFault):
    """A fault of the store that affects all machines."""

    async def inject(self, deployment: SoakDeployment, rng: random.Random) -> None:
        """Set the faults of the store for some seconds."""
        time_s = rng.uniform(*DURATION_RANGE_S) * 2
        await self._set_for(deployment.store.faults, time_s)


class StoreHistoryLoss(Fault):
    """The store drops its history of changes."""

    name = 'store_forgets'

    async def inject(self, deployment: SoakDeployment, rng: random.Random) -> None:
        """Drop the history once."""
        deployment.store.discard_history()


class TargetFault(SettingFault):
    """A fault of a single target."""

    async def inject(self, deployment: SoakDeployment, rng: random.Random) -> None:
        """Set the faults of a random target for some seconds."""
        worker = rng.choice(deployment.agents).worker
        if worker is not None:
            await self.inject_into(worker, rng)

    async def inject_into(self, worker: WorkerStandIn, rng: random.Random) -> None:
        """Set the faults of one target for some seconds."""
        time_s = rng.uniform(*DURATION_RANGE_S)
        await self._set_for(worker.instance.faults, time_s)


class TargetShutdown(Fault):
    """A target instance ends and its worker starts the next one.

    :param shut_down: function that ends the instance, at once or after draining it.
    """

    def __init__(self, name: str, shut_down: Callable[[WorkerStandIn], None]) -> None:
        self.name = name
        self._shut_down = shut_down

    async def inject(self, deployment: SoakDeployment, rng: random.Random) -> None:
        """End the target instance of a random worker."""
        worker = rng.choice(deployment.agents).worker
        if worker is not None:
            self._shut_down(worker)


class ConfigChange(Fault):
    """Operators change their configuration one to four times in a row."""

    name = 'text_change'

    async def inject(self, deployment: SoakDeployment, rng: random.Random) -> None:
        """Write new versions of the configuration."""
        for _ in range(rng.randint(1, 4)):
            await deployment.change_config()
            await asyncio.sleep(rng.uniform(0, 0.3))


class KillAll(Fault):
    """All processes are killed at once; the deployment restarts them."""

    name = 'kill_all'

    async def inject(self, deployment: SoakDeployment, rng: random.Random) -> None:
        """Kill all running processes."""
        await _kill_at_once(deployment.machines)


class KillHalfOfAgents(Fault):
    """Half of the agents are killed at once; their targets run on."""

    name = 'kill_agents'

    async def inject(self, deployment: SoakDeployment, rng: random.Random) -> None:
        """Kill a random half of the agents."""
        agents = deployment.agents
        await _kill_at_once(rng.sample(agents, k=(len(agents) + 1) // 2))


class MachineReplacement(Fault):
    """A machine is removed, and another one is added at a new address."""

    name = 'replace'

    async def inject(self, deployment: SoakDeployment, rng: random.Random) -> None:
        """Replace a random machine by one of the same role."""
        removed = rng.choice(deployment.entries + deployment.agents)
        await deployment.remove_machine(removed)
        await asyncio.sleep(rng.uniform(0, 1))
        await deployment.add_machine(removed.role)


FAULTS: Final[tuple[Fault, ...]] = (
    *(kind(role) for role in ('entry', 'agent') for kind in (Kill, Terminate, Freeze)),
    *(
        kind(role)
        for role in ('entry', 'agent')
        for kind in (Hangup, LinkPartition, LinkDelay)
    ),
    *(
        kind(role)
        for role in ('entry', 'agent')
        for kind in (ConnectionRefusal, ConnectionBlackhole)
    ),
    StorePartition('entry'),
    StorePartition('agent'),
    StoreFault('store_silent', unresponsive=True),
    StoreFault('store_busy', error_status=503),
    StoreFault('store_slow', delay_s=0.5),
    StoreFault('store_lost', lost_response_share=0.5),
    StoreFault('store_late', lost_response_share=0.5, delay_lost_writes=True),
    StoreHistoryLoss(),
    TargetFault('target_silent', unresponsive=True),
    TargetFault('target_fails', runs_fail=True),
    TargetFault('target_hangs', runs_hang=True),
    TargetFault('target_slow', run_time_factor=8),
    TargetFault('target_late_orders', unanswered_share=0.5),
    TargetShutdown('target_crash', WorkerStandIn.crash),
    TargetShutdown('target_drain', WorkerStandIn.drain),
    ConfigChange(),
    KillAll(),
    MachineReplacement(),
)


# Polls and newer commands overtake the commands that are held, each one by itself.
HELD_COMMANDS: Final = TargetFault(
    'target_held_orders', unanswered_share=0.5, late_command_delay_s=HOLD_RANGE_S
)

# Faults of a large deployment, beside those of any other.
LARGE_FAULTS: Final[tuple[Fault, ...]] = (
    *FAULTS,
    SettingsChanges('entry'),
    SettingsChanges('agent'),
    KillHalfOfAgents(),
    ConfigChange(),
)


async def _kill_at_once(machines: Iterable[Machine]) -> None:
    running = [each for each in machines if each.process.alive]
    for machine in running:
        machine.record_exit()
    await asyncio.gather(*(each.process.kill() for each in running))


def _get_loop_time() -> float:
    return asyncio.get_running_loop().time()


async def _restore_after(machine: Machine, proxy: Proxy, duration_s: float) -> None:
    machine.record_fault_span(_get_loop_time() + duration_s + 1)
    await asyncio.sleep(duration_s)
    proxy.restore()
