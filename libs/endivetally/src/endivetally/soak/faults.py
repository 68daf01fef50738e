"""Faults that a soak plays, each from outside the processes."""

import asyncio
import random
from abc import ABC
from abc import abstractmethod
from collections.abc import Callable
from typing import Final

from endivetally_platform.standins import WorkerStandIn
from endivetally_standins.held_target import TargetFaults

from endivetally.soak.proxy import Proxy
from endivetally.soak.stage import GRACE_S
from endivetally.soak.stage import Machine
from endivetally.soak.stage import Stage

# Shortest and longest time of a fault that lasts: on both sides of the silence
# limit of links (0.6 s) and of a lease (0.8 s).
LASTING_S: Final = (0.2, 3.0)
# A process is late to end from here on: the grace, and what a busy machine takes.
LATE_EXIT_S: Final = GRACE_S + 2


class Fault(ABC):
    """One kind of fault."""

    name: str

    @abstractmethod
    async def strike(self, stage: Stage, rng: random.Random) -> None:
        """Play it once, to its end."""


class MachineFault(Fault):
    """A fault of one machine.

    :param role: of the machines that it strikes.
    """

    def __init__(self, role: str) -> None:
        self.name = f'{self.kind}_{role}'
        self._role = role

    @property
    @abstractmethod
    def kind(self) -> str:
        """Its name, without the role."""

    async def strike(self, stage: Stage, rng: random.Random) -> None:
        """Strike one machine."""
        machines = stage.entries if self._role == 'entry' else stage.agents
        if machines:
            lasting_s = rng.uniform(*LASTING_S)
            await self.strike_one(rng.choice(machines), lasting_s, rng)

    @abstractmethod
    async def strike_one(
        self, machine: Machine, lasting_s: float, rng: random.Random
    ) -> None:
        """Strike a machine."""


class Kill(MachineFault):
    """SIGKILL."""

    kind = 'kill'

    async def strike_one(
        self, machine: Machine, lasting_s: float, rng: random.Random
    ) -> None:
        """Kill the process; it is started again."""
        if machine.process.alive:
            machine.note_ended()
            await machine.process.kill()


class Terminate(MachineFault):
    """SIGTERM."""

    kind = 'term'

    async def strike_one(
        self, machine: Machine, lasting_s: float, rng: random.Random
    ) -> None:
        """End the process; it is started again."""
        if not machine.process.alive:
            return
        machine.terminated_at.append(_now())
        machine.process.terminate()
        await machine.process.wait(LATE_EXIT_S)
        machine.note_ended()


class Freeze(MachineFault):
    """SIGSTOP, and SIGCONT some time later."""

    kind = 'freeze'

    async def strike_one(
        self, machine: Machine, lasting_s: float, rng: random.Random
    ) -> None:
        """Let the process stand still."""
        if not machine.process.alive:
            return
        machine.disturb(_now() + lasting_s + 1)
        machine.process.freeze()
        await asyncio.sleep(lasting_s)
        if machine.process.alive:
            machine.process.thaw()


class HangUp(MachineFault):
    """SIGHUP."""

    kind = 'hup'

    async def strike_one(
        self, machine: Machine, lasting_s: float, rng: random.Random
    ) -> None:
        """Let the process read its settings again."""
        if machine.process.alive:
            machine.process.send_sighup()


class Cut(MachineFault):
    """The link before a machine is cut, in one direction or both."""

    kind = 'cut'

    async def strike_one(
        self, machine: Machine, lasting_s: float, rng: random.Random
    ) -> None:
        """Hold back what is sent."""
        link = machine.link
        chosen = rng.choice(((link.forward,), (link.back,), (link.forward, link.back)))
        for direction in chosen:
            direction.cut()
        await _mend_later(machine, link, lasting_s)


class Delay(MachineFault):
    """The link before a machine is slow."""

    kind = 'delay'

    async def strike_one(
        self, machine: Machine, lasting_s: float, rng: random.Random
    ) -> None:
        """Delay what is sent."""
        machine.link.forward.delay_s = rng.uniform(0.02, 0.4)
        machine.link.back.delay_s = rng.uniform(0.02, 0.4)
        await _mend_later(machine, machine.link, lasting_s)


class Refuse(MachineFault):
    """New connections to a machine are closed, the open ones reset."""

    kind = 'refuse'

    async def strike_one(
        self, machine: Machine, lasting_s: float, rng: random.Random
    ) -> None:
        """Refuse connections."""
        machine.link.refusing = True
        machine.link.reset()
        await _mend_later(machine, machine.link, lasting_s)


class Silence(MachineFault):
    """Open connections to a machine fall silent for good."""

    kind = 'silence'

    async def strike_one(
        self, machine: Machine, lasting_s: float, rng: random.Random
    ) -> None:
        """Silence the open connections."""
        # Callers wait on them until they give up.
        machine.disturb(_now() + 1)
        machine.link.silence()
        machine.store.silence()


class StoreCut(MachineFault):
    """The store is out of reach of one machine."""

    kind = 'store_cut'

    async def strike_one(
        self, machine: Machine, lasting_s: float, rng: random.Random
    ) -> None:
        """Cut the machine off from the store."""
        if rng.choice((True, False)):
            machine.store.refusing = True
            machine.store.reset()
        else:
            machine.store.forward.cut()
        await asyncio.sleep(lasting_s * 2)
        machine.store.mend()


class StoreFault(Fault):
    """The store misbehaves towards all.

    :param faults: fields of the store's faults, with their settings.
    """

    def __init__(self, name: str, **faults: float | bool) -> None:
        self.name = name
        self._faults = faults

    async def strike(self, stage: Stage, rng: random.Random) -> None:
        """Let the store misbehave for some seconds."""
        before = {name: getattr(stage.wire_store.faults, name) for name in self._faults}
        for name, setting in self._faults.items():
            setattr(stage.wire_store.faults, name, setting)
        await asyncio.sleep(rng.uniform(*LASTING_S) * 2)
        for name, setting in before.items():
            setattr(stage.wire_store.faults, name, setting)


class StoreForgets(Fault):
    """The store drops its history."""

    name = 'store_forgets'

    async def strike(self, stage: Stage, rng: random.Random) -> None:
        """Drop it once."""
        stage.wire_store.discard_history()


class TargetFault(Fault):
    """A target misbehaves.

    :param change: switches the fault on.
    """

    def __init__(self, name: str, change: Callable[[TargetFaults], None]) -> None:
        self.name = name
        self._change = change

    async def strike(self, stage: Stage, rng: random.Random) -> None:
        """Let one target misbehave for some seconds."""
        worker = rng.choice(stage.agents).worker
        if worker is None:
            return
        life = worker.instance
        self._change(life.faults)
        await asyncio.sleep(rng.uniform(*LASTING_S))
        life.faults = TargetFaults()


class TargetEnd(Fault):
    """The life of a target ends; the next one follows.

    :param end: ends it, at once or in good order.
    """

    def __init__(self, name: str, end: Callable[[WorkerStandIn], None]) -> None:
        self.name = name
        self._end = end

    async def strike(self, stage: Stage, rng: random.Random) -> None:
        """End the life of one target."""
        worker = rng.choice(stage.agents).worker
        if worker is not None:
            self._end(worker)


class TextChange(Fault):
    """The operator changes the text, a few times in a row."""

    name = 'text_change'

    async def strike(self, stage: Stage, rng: random.Random) -> None:
        """Write new versions."""
        for _ in range(rng.randint(1, 4)):
            await stage.change_text()
            await asyncio.sleep(rng.uniform(0, 0.3))


class KillAll(Fault):
    """All processes are killed at once."""

    name = 'kill_all'

    async def strike(self, stage: Stage, rng: random.Random) -> None:
        """Kill them; they are started again."""
        machines = [each for each in stage.machines if each.process.alive]
        for machine in machines:
            machine.note_ended()
        await asyncio.gather(*(each.process.kill() for each in machines))


class Replace(Fault):
    """A machine is gone for good, and a new one comes at another address."""

    name = 'replace'

    async def strike(self, stage: Stage, rng: random.Random) -> None:
        """Replace one machine."""
        former = rng.choice(stage.entries + stage.agents)
        await stage.remove(former)
        await asyncio.sleep(rng.uniform(0, 1))
        await stage.add(former.role)


def _switch(name: str, *, setting: float) -> Callable[[TargetFaults], None]:
    return lambda faults: setattr(faults, name, setting)


FAULTS: Final[tuple[Fault, ...]] = (
    *(kind(role) for role in ('entry', 'agent') for kind in (Kill, Terminate, Freeze)),
    *(kind(role) for role in ('entry', 'agent') for kind in (HangUp, Cut, Delay)),
    *(kind(role) for role in ('entry', 'agent') for kind in (Refuse, Silence)),
    StoreCut('entry'),
    StoreCut('agent'),
    StoreFault('store_silent', unresponsive=True),
    StoreFault('store_busy', error_status=503),
    StoreFault('store_slow', delay_s=0.5),
    StoreFault('store_lost', lost_response_share=0.5),
    StoreFault('store_late', lost_response_share=0.5, delay_lost_writes=True),
    StoreForgets(),
    TargetFault('target_silent', _switch('unresponsive', setting=True)),
    TargetFault('target_fails', _switch('runs_fail', setting=True)),
    TargetFault('target_hangs', _switch('runs_hang', setting=True)),
    TargetFault('target_slow', _switch('run_time_factor', setting=8)),
    TargetFault('target_late_orders', _switch('unanswered_share', setting=0.5)),
    TargetEnd('target_crash', WorkerStandIn.crash),
    TargetEnd('target_drain', WorkerStandIn.drain),
    TextChange(),
    KillAll(),
    Replace(),
)


def _now() -> float:
    return asyncio.get_running_loop().time()


async def _mend_later(machine: Machine, proxy: Proxy, lasting_s: float) -> None:
    machine.disturb(_now() + lasting_s + 1)
    await asyncio.sleep(lasting_s)
    proxy.mend()
