"""Sends the tasks of held jobs to agents, the most urgent jobs first."""

import asyncio
import math
from collections.abc import Callable
from collections.abc import Mapping

from endivetally_core.events import Event
from endivetally_core.events import EventLog
from endivetally_policy.held import choose_agent
from endivetally_policy.held import queue_key

from endivetally_held.agent_connections import AgentConnections
from endivetally_held.agent_connections import AgentPeer
from endivetally_held.messages import RunRequest
from endivetally_held.open_job import HeldTask
from endivetally_held.open_job import Holding
from endivetally_held.open_job import TaskState


class _Pass:
    """The agents of a pool during one pass over the waiting jobs.

    :param peers: those that take work.
    """

    def __init__(self, peers: list[AgentPeer]) -> None:
        self.peers = {peer.name: peer for peer in peers}
        self.rooms = [peer.room for peer in peers]
        # A task of so many processors, or more, has found no room.
        self.full_cpu = math.inf


class Placer:
    """Uses the room that agents tell.

    :param holdings: held jobs by their identifiers.
    """

    def __init__(
        self,
        holdings: Mapping[str, Holding],
        links: AgentConnections,
        data_centre: str,
        events: EventLog,
        clock: Callable[[], float],
    ) -> None:
        self._holdings = holdings
        self._links = links
        self._data_centre = data_centre
        self._events = events
        self._clock = clock
        self._due = False

    def place_soon(self) -> None:
        """Send what fits at the end of this turn of the event loop."""
        if not self._due:
            self._due = True
            asyncio.get_running_loop().call_soon(self._place)

    def stop(self, holding: Holding) -> None:
        """Order the end of all runs of a job."""
        stopped: dict[str, list[HeldTask]] = {}
        for task in holding.tasks.values():
            if task.state is TaskState.SENT:
                stopped.setdefault(task.agent, []).append(task)
        for name, tasks in stopped.items():
            peer = self._links.peers.get(name)
            if peer is not None:
                peer.stop([each.key for each in tasks])

    def _place(self) -> None:
        """Send what fits, the most urgent first."""
        self._due = False
        now = self._clock()
        passes: dict[str, _Pass] = {}
        waiting = [each for each in self._holdings.values() if each.waiting]
        waiting.sort(key=lambda holding: queue_key(holding.in_queue, now))
        for holding in waiting:
            ready = holding.ready_tasks(now)
            if ready and now < holding.deadline_at:
                pool = holding.service.target_pool
                if pool not in passes:
                    passes[pool] = _Pass(self._links.peers_of(pool))
                self._place_job(holding, ready, passes[pool])

    def _place_job(
        self, holding: Holding, ready: list[HeldTask], through: '_Pass'
    ) -> None:
        batches: dict[tuple[str, int], list[HeldTask]] = {}
        for task in ready:
            need = task.step.need
            if need.cpu >= through.full_cpu:
                break
            room = choose_agent(through.rooms, need, self._data_centre, task.avoid)
            if room is None:
                through.full_cpu = need.cpu
                break
            through.peers[room.name].reserve(need)
            batches.setdefault((room.name, task.key.step), []).append(task)
        for batch, tasks in batches.items():
            self._send(holding, through.peers[batch[0]], tasks)

    def _send(self, holding: Holding, peer: AgentPeer, tasks: list[HeldTask]) -> None:
        now = self._clock()
        for task in tasks:
            holding.note_sent(task, peer.name)
        first = tasks[0]
        peer.send(
            [RunRequest(each.key, each.run) for each in tasks],
            holding.job.payload,
            first.step.need,
            holding.expected_s(first),
            holding.start_by - now,
            holding.deadline_at - now,
        )
        self._events.emit(
            Event.TASK_SENT,
            job=holding.job.identifier,
            step=first.key.step,
            tasks=[[each.key.number, each.run] for each in tasks],
            agent=peer.name,
            free_cpu=peer.room.free.cpu,
            backlog_cpu=peer.room.backlog_cpu,
            heard_ms_ago=int((now - peer.channel.heard_at) * 1000),
        )
