"""Sends the tasks of held jobs to agents, the most urgent jobs first."""

import asyncio
import math
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
from functools import cached_property

from endivetally_core.events import Event
from endivetally_core.events import EventLog
from endivetally_policy.held import Competition
from endivetally_policy.held import CrashVerdict
from endivetally_policy.held import choose_agent
from endivetally_policy.held import find_suitable_rate
from endivetally_policy.held import queue_key

from endivetally_held.agent_connections import AgentConnections
from endivetally_held.agent_connections import AgentPeer
from endivetally_held.containment import CrashContainment
from endivetally_held.ending_runs import EndingRuns
from endivetally_held.messages import RunRequest
from endivetally_held.open_job import HeldTask
from endivetally_held.open_job import OpenJob
from endivetally_held.open_job import TaskState


class _PoolCandidates:
    """Agents of a pool that may receive tasks in one scheduling pass.

    :param peers: agents of the pool that accept work.
    :param containment: chooses the agents for suspects and confined services.
    :param now: monotonic time in seconds.
    """

    def __init__(
        self,
        pool: str,
        peers: list[AgentPeer],
        containment: CrashContainment,
        now: float,
    ) -> None:
        self.peers = {peer.name: peer for peer in peers}
        self.loads = [peer.load for peer in peers]
        self._pool = pool
        self._containment = containment
        self._now = now
        # Smallest need, in thousandths of a core, that no agent could take in this
        # pass. Tasks that need as much or more are not tried.
        self.unplaceable_cpu = math.inf

    @cached_property
    def confined(self) -> list[str]:
        """Agents for suspects and confined services, those that accept no work too."""
        return self._containment.find_targets(self._pool)

    @cached_property
    def avoided(self) -> frozenset[str]:
        """Agents that other tasks use only if there is no other one."""
        if not self._containment.active:
            return frozenset()
        if self._containment.has_confined_services(self._pool):
            return frozenset(self.confined)
        return self._running_suspects

    def find_quarantine(self) -> AgentPeer | None:
        """Return the agent for the next suspect, or none while suspects must wait."""
        quarantine = (
            self.peers[name]
            for name in self.confined
            if name in self.peers and not self.peers[name].has_recent_suspect(self._now)
        )
        return next(quarantine, None)

    def place_tasks(
        self, open_job: OpenJob, tasks: list[HeldTask], data_centre: str, now: float
    ) -> Iterator[tuple[AgentPeer, HeldTask]]:
        """Reserve resources for tasks until one can't be placed; yield the placed ones.

        Tasks that must wait for a certain agent don't hold up the others.
        """
        confined = self._containment.is_confined(open_job.service.name)
        for task in tasks:
            if task.step.need.cpu >= self.unplaceable_cpu:
                return
            expected_run_s = open_job.expected_run_s(task)
            left_s = open_job.end_by(task) - now
            suitable_rate = find_suitable_rate(expected_run_s, left_s)
            peer = self._choose(task, data_centre, suitable_rate, confined=confined)
            if peer is not None:
                peer.reserve(task.step.need)
                yield peer, task
            elif not task.required_agent:
                if not confined:
                    self.unplaceable_cpu = task.step.need.cpu
                return

    @property
    def _running_suspects(self) -> frozenset[str]:
        return frozenset(
            peer.name
            for peer in self.peers.values()
            if peer.has_recent_suspect(self._now)
        )

    def _choose(
        self, task: HeldTask, data_centre: str, suitable_rate: float, *, confined: bool
    ) -> AgentPeer | None:
        loads = self.loads
        if task.required_agent:
            loads = [load for load in loads if load.name == task.required_agent]
        elif confined:
            loads = [load for load in loads if load.name in self.confined]
        avoided = self._running_suspects if confined else self.avoided
        chosen = choose_agent(
            loads,
            task.step.need,
            data_centre,
            task.avoided_agents | avoided if avoided else task.avoided_agents,
            suitable_rate,
        )
        return None if chosen is None else self.peers[chosen.name]


class TaskDispatcher:
    """Assigns waiting tasks to agents with free capacity.

    :param open_jobs: open jobs by their identifiers; the owner changes the mapping.
    :param ending_runs: runs of closed jobs, beside which their tasks must not run.
    :param competition: learns the started work of each service.
    :param containment: knows the tasks that may crash their targets.
    """

    def __init__(
        self,
        open_jobs: Mapping[str, OpenJob],
        ending_runs: EndingRuns,
        connections: AgentConnections,
        data_centre: str,
        events: EventLog,
        clock: Callable[[], float],
        competition: Competition,
        containment: CrashContainment,
    ) -> None:
        self._open_jobs = open_jobs
        self._ending_runs = ending_runs
        self._connections = connections
        self._data_centre = data_centre
        self._events = events
        self._clock = clock
        self._competition = competition
        self._containment = containment
        self._is_scheduled = False

    def schedule_dispatch(self) -> None:
        """Dispatch in the next event loop iteration; repeated calls count once."""
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._dispatch)

    def stop_job(self, open_job: OpenJob) -> None:
        """Request the end of all runs of a job."""
        tasks_by_agent: dict[str, list[HeldTask]] = {}
        for task in open_job.tasks.values():
            if task.state is TaskState.SENT:
                tasks_by_agent.setdefault(task.agent, []).append(task)
        for name, tasks in tasks_by_agent.items():
            peer = self._connections.peers.get(name)
            if peer is not None:
                peer.stop_runs([each.key for each in tasks])

    def _dispatch(self) -> None:
        """Send the tasks that fit, those of the most urgent jobs first."""
        self._is_scheduled = False
        now = self._clock()
        candidates_by_pool: dict[str, _PoolCandidates] = {}
        suspects: list[tuple[OpenJob, HeldTask]] = []
        waiting = [each for each in self._open_jobs.values() if each.waiting_count]
        waiting.sort(key=lambda open_job: queue_key(open_job.waiting_job, now))
        for open_job in waiting:
            ready = self._find_ready_tasks(open_job, now)
            if ready and now < open_job.deadline_at:
                pool = open_job.service.target_pool
                if pool not in candidates_by_pool:
                    peers = self._connections.find_accepting_peers(pool)
                    candidates_by_pool[pool] = _PoolCandidates(
                        pool, peers, self._containment, now
                    )
                clear = self._remove_suspects(open_job, ready, suspects)
                self._dispatch_job(open_job, clear, candidates_by_pool[pool])
        self._dispatch_suspects(suspects, candidates_by_pool)

    def _find_ready_tasks(self, open_job: OpenJob, now: float) -> list[HeldTask]:
        ready = open_job.find_ready_tasks(now)
        if not self._ending_runs:
            return ready
        return [task for task in ready if task.key not in self._ending_runs]

    def _remove_suspects(
        self,
        open_job: OpenJob,
        ready: list[HeldTask],
        suspects: list[tuple[OpenJob, HeldTask]],
    ) -> list[HeldTask]:
        """Return the tasks that no crash is attributed to; add suspects to a list.

        Those that have probably crashed their targets remain waiting.
        """
        if not self._containment.active:
            return ready
        clear = []
        for task in ready:
            verdict = self._containment.find_verdict(task.key)
            if verdict is CrashVerdict.CLEAR:
                clear.append(task)
            elif verdict is CrashVerdict.SUSPECT:
                suspects.append((open_job, task))
        return clear

    def _dispatch_suspects(
        self,
        suspects: list[tuple[OpenJob, HeldTask]],
        candidates_by_pool: Mapping[str, _PoolCandidates],
    ) -> None:
        """Send suspects one by one, those that are probably innocent first."""
        suspects.sort(key=lambda suspect: self._containment.get_guilt(suspect[1].key))
        for open_job, task in suspects:
            if self._ask_closed(open_job, task):
                continue
            candidates = candidates_by_pool[open_job.service.target_pool]
            peer = candidates.peers.get(task.required_agent)
            if not task.required_agent:
                peer = candidates.find_quarantine()
            if peer is not None and peer.load.capacity.covers(task.step.need):
                peer.reserve(task.step.need)
                peer.record_suspect(task.key, self._clock())
                self._send_tasks(
                    open_job, peer, [task], started=open_job.has_started, suspect=True
                )

    def _dispatch_job(
        self, open_job: OpenJob, ready: list[HeldTask], candidates: '_PoolCandidates'
    ) -> None:
        ready = [task for task in ready if not self._ask_closed(open_job, task)]
        started = open_job.rank is not None and open_job.has_started
        batches: dict[tuple[str, int], list[HeldTask]] = {}
        placements = candidates.place_tasks(
            open_job, ready, self._data_centre, self._clock()
        )
        for peer, placed in placements:
            batches.setdefault((peer.name, placed.key.step), []).append(placed)
        for batch, tasks in batches.items():
            agent = candidates.peers[batch[0]]
            self._send_tasks(open_job, agent, tasks, started=started)

    def _ask_closed(self, open_job: OpenJob, task: HeldTask) -> bool:
        """Ask the agent that a task must wait for, if it accepts no runs.

        The request is a start that this agent refuses. The reason tells whether an
        earlier run is still there; once it is not, the task may run elsewhere. Return
        whether the agent was asked.
        """
        peer = self._connections.find_closed_peer(task.required_agent)
        if peer is None:
            return False
        peer.reserve(task.step.need)
        self._send_tasks(open_job, peer, [task], started=False)
        return True

    def _send_tasks(
        self,
        open_job: OpenJob,
        peer: AgentPeer,
        tasks: list[HeldTask],
        *,
        started: bool,
        suspect: bool = False,
    ) -> None:
        now = self._clock()
        first = tasks[0]
        self._competition.record_started(
            open_job.service.name, len(tasks) * open_job.core_s(first), now
        )
        for task in tasks:
            open_job.record_sent(task, peer.name, peer.load.rate)
        peer.start_runs(
            [RunRequest(each.key, each.run_number) for each in tasks],
            open_job.job.payload,
            first.step.need,
            open_job.expected_run_s(first),
            open_job.latest_start_at - now,
            open_job.deadline_at - now,
            open_job.rank or 0,
            started=started,
            service=open_job.service.name,
            suspect=suspect,
        )
        self._events.emit(
            Event.TASK_SENT,
            job=open_job.job.identifier,
            step=first.key.step,
            tasks=[[each.key.number, each.run_number] for each in tasks],
            agent=peer.name,
            free_cpu=peer.load.free.cpu,
            backlog_cpu=peer.load.backlog_cpu,
            heard_ms_ago=int((now - peer.channel.last_received_at) * 1000),
            suspect=suspect,
        )
