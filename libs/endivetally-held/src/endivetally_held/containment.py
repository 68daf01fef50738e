"""Keeps tasks that crash targets, and their services, to few targets of a pool."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Set
from typing import Final

from endivetally_config.operator_config import Service
from endivetally_core.events import Event
from endivetally_core.events import EventLog
from endivetally_policy.held import Crash
from endivetally_policy.held import CrashedRun
from endivetally_policy.held import CrashHistory
from endivetally_policy.held import CrashVerdict
from endivetally_policy.held import choose_confinement

from endivetally_held.agent_connections import AgentConnections
from endivetally_held.agent_connections import AgentPeer
from endivetally_held.crash_state import CrashState
from endivetally_held.jobs import TaskKey
from endivetally_held.messages import TargetCrashed

# A target that has crashed counts as one of its pool for this time. One that is back
# later, or never, is replaced among the confined ones.
RETURN_TIME_S: Final = 10.0
# A single crash confines no service, however small its pool is.
MIN_LIMIT: Final = 2
# Suspects that one line of the log names.
MAX_LOGGED_TASKS: Final = 8


class CrashContainment:
    """What an entry knows of crashes, and which targets tasks may use because of them.

    :param connections: provide the agents.
    :param clock: returns monotonic time in seconds.
    """

    def __init__(
        self,
        connections: AgentConnections,
        events: EventLog,
        clock: Callable[[], float],
    ) -> None:
        self._connections = connections
        self._events = events
        self._clock = clock
        self._history = CrashHistory()
        self._pools: dict[str, str] = {}
        self._confined: Set[str] = frozenset()

    @property
    def active(self) -> bool:
        """Whether a crash is known."""
        return bool(len(self._history))

    @property
    def confined_services(self) -> Set[str]:
        """Names of the services that are confined to few targets."""
        return self._confined

    def apply_services(self, services: Iterable[Service]) -> None:
        """Apply the operators' configuration."""
        self._pools = {service.name: service.target_pool for service in services}

    def record_crash(self, peer: AgentPeer, message: TargetCrashed) -> None:
        """Record a crash that an agent has reported, or its new state."""
        crash_id = (peer.name, message.number)
        if message.state is CrashState.DISMISSED:
            self._history.dismiss(crash_id)
            peer.crashed_pool = ''
        else:
            crashed_at = self._clock() - message.crashed_ms_ago / 1000
            runs = tuple(
                CrashedRun(row.task, row.service, row.age_ms / 1000, row.observed)
                for row in message.runs
            )
            confirmed = message.state is CrashState.CONFIRMED
            self._history.record(crash_id, Crash(crashed_at, runs, confirmed))
            peer.crashed_pool = message.pool
            peer.crashed_at = crashed_at
            limit = max(len(self.find_targets(message.pool)), MIN_LIMIT)
            self._history.confine_if_excessive(crash_id, limit, self._clock())
        self._report(peer, message)
        self.update()

    def update(self) -> None:
        """Forget old crashes, and release or confine services."""
        now = self._clock()
        self._history.remove_expired(now)
        found = self._history.find_confined(now)
        # Where all services of a pool are suspected none of them gains by it.
        free_pools = {pool for name, pool in self._pools.items() if name not in found}
        confined = frozenset(
            name for name in found if self._pools.get(name) in free_pools
        )
        for name in confined ^ self._confined:
            self._events.emit(
                Event.SERVICE_CONFINED,
                service=name,
                confined=name in confined,
                targets=self.find_targets(self._pools.get(name, '')),
            )
        self._confined = confined

    def record_done(self, task: TaskKey) -> None:
        """Record that a task has ended well, and so has not crashed a target."""
        self._history.clear_task(task)

    def find_verdict(self, task: TaskKey) -> CrashVerdict:
        """Return how to treat a task."""
        return self._history.find_verdict(task)

    def get_guilt(self, task: TaskKey) -> float:
        """Return the probability that a task has caused the crashes that it was in."""
        return self._history.get_guilt(task)

    def find_guilty(self, tasks: Iterable[TaskKey]) -> TaskKey | None:
        """Return one of the tasks that is given up, if there is one."""
        if not self.active:
            return None
        guilty = (
            task for task in tasks if self.find_verdict(task) is CrashVerdict.GUILTY
        )
        return next(guilty, None)

    def holds(self, tasks: Iterable[TaskKey]) -> bool:
        """Return whether one of the tasks waits until its crashes are certain."""
        return self.active and any(
            self.find_verdict(task) is CrashVerdict.HELD for task in tasks
        )

    def knows(self, tasks: Iterable[TaskKey]) -> bool:
        """Return whether one of the tasks ran when a target crashed."""
        return self.active and any(self.get_guilt(task) for task in tasks)

    def is_confined(self, service: str) -> bool:
        """Return whether a service is confined to few targets."""
        return service in self._confined

    def has_confined_services(self, pool: str) -> bool:
        """Return whether a service of a pool is confined to few targets."""
        return any(self._pools.get(name) == pool for name in self._confined)

    def find_targets(self, pool: str) -> list[str]:
        """Return the agents of a pool that may run suspects and confined services."""
        since = self._clock() - RETURN_TIME_S
        names = {
            str(peer.address): peer.name
            for peer in self._connections.peers.values()
            if _is_member(peer, pool, since)
        }
        return [names[address] for address in choose_confinement(names)]

    def _report(self, peer: AgentPeer, message: TargetCrashed) -> None:
        suspects = [
            row
            for row in message.runs
            if self.find_verdict(row.task) is not CrashVerdict.CLEAR
        ]
        self._events.emit(
            Event.CRASH_ASSESSED,
            agent=peer.name,
            number=message.number,
            state=message.state.value,
            runs=len(message.runs),
            suspects=[
                {
                    'task': str(row.task),
                    'service': row.service,
                    'age_ms': row.age_ms,
                    'verdict': self.find_verdict(row.task).value,
                    'guilt': round(self.get_guilt(row.task), 3),
                }
                for row in suspects[:MAX_LOGGED_TASKS]
            ],
        )


def _is_member(peer: AgentPeer, pool: str, since: float) -> bool:
    if peer.load.accepting:
        return peer.pool == pool
    return peer.crashed_pool == pool and peer.crashed_at >= since
