"""Outlier detection per service: ejects failing agents and deprioritises slow ones."""

import enum
import statistics
from collections import deque
from dataclasses import dataclass
from typing import Final

# The median run time of an agent is computed from this many of its newest runs, and
# not before it has run the minimum number of tasks.
_MAX_RUN_TIMES: Final = 16
_MIN_RUN_TIMES: Final = 8


class EjectionState(enum.IntEnum):
    """Ejection state of an agent; agents with lower values are tried first.

    A ``SUSPECT`` agent should be ejected, but too many others are already.
    """

    HEALTHY = 0
    SLOW = 1
    SUSPECT = 2
    EJECTED = 3


@dataclass(frozen=True, slots=True)
class EjectionSettings:
    """Thresholds of ejection and of the detection of slow agents.

    :param consecutive_failures: consecutive failures that eject an agent whatever
        its failure ratio over the window.
    :param failure_ratio: share of failed tasks in the window that ejects an agent.
    :param min_tasks: tasks that must have ended in the window before the ratio counts.
    :param peer_ratio_factor: the ratio must exceed that of the other agents by this
        factor.
    :param window_s: length of a period; the window covers the last one to two periods.
    :param first_probe_s: time until the first probe; doubles with each failed one.
    :param max_probe_s: longest time until the next probe.
    :param max_ejected_share: largest share of a service's agents ejected at once.
    :param ejection_expiry_s: an ejection ends without probes after this time.
    :param needed_probes: consecutive successful probes that end an ejection.
    :param slow_factor: an agent is slow when its median run time exceeds that of
        the service by this factor.
    :param slow_expiry_s: a slow or suspect agent counts as healthy again, and is
        measured anew, after this time.
    """

    consecutive_failures: int = 5
    failure_ratio: float = 0.5
    min_tasks: int = 10
    peer_ratio_factor: float = 2.0
    window_s: float = 10.0
    first_probe_s: float = 5.0
    max_probe_s: float = 60.0
    max_ejected_share: float = 0.3
    ejection_expiry_s: float = 300.0
    needed_probes: int = 3
    slow_factor: float = 3.0
    slow_expiry_s: float = 30.0


class _OutcomeWindow:
    """Counts of ended and failed tasks over the last one to two periods."""

    def __init__(self, period_s: float) -> None:
        self._period_s = period_s
        self._period = 0
        self._current = (0, 0)
        self._previous = (0, 0)

    def record(self, failed: bool, now: float) -> None:
        self._advance(now)
        ended, failures = self._current
        self._current = (ended + 1, failures + int(failed))

    def count_outcomes(self, now: float) -> tuple[int, int]:
        self._advance(now)
        return (
            self._current[0] + self._previous[0],
            self._current[1] + self._previous[1],
        )

    def _advance(self, now: float) -> None:
        period = int(now / self._period_s)
        if period == self._period:
            return
        is_next = period == self._period + 1
        self._previous = self._current if is_next else (0, 0)
        self._current = (0, 0)
        self._period = period


class _AgentHealth:
    """Recorded outcomes and ejection state of one agent."""

    def __init__(self, settings: EjectionSettings) -> None:
        self.window = _OutcomeWindow(settings.window_s)
        self.consecutive_failures = 0
        self.run_times: deque[float] = deque(maxlen=_MAX_RUN_TIMES)
        self.state = EjectionState.HEALTHY
        self.state_since: float = 0
        self.probe_delay_s: float = 0
        self.probes_left = 0
        self.probing = False

    def median_s(self) -> float:
        if len(self.run_times) < _MIN_RUN_TIMES:
            return 0
        return statistics.median(self.run_times)


class ServiceHealth:
    """Health of the agents of one service.

    An agent is ejected when its tasks fail while those of the other agents do
    not. After a delay it is probed with one idempotent task at a time; exclusive
    tasks are never used as probes.
    """

    def __init__(self, settings: EjectionSettings | None = None) -> None:
        self._settings = settings or EjectionSettings()
        self._agents: dict[str, _AgentHealth] = {}
        self._all_outcomes = _OutcomeWindow(self._settings.window_s)
        self._ejected: dict[str, _AgentHealth] = {}

    @property
    def ejected(self) -> frozenset[str]:
        """Incarnations of the ejected agents."""
        return frozenset(self._ejected)

    def add_agent(self, agent: str) -> None:
        """Add an agent, which counts as healthy at first."""
        self._agents[agent] = _AgentHealth(self._settings)

    def remove_agent(self, agent: str) -> None:
        """Remove an agent and its recorded outcomes."""
        self._agents.pop(agent, None)
        self._ejected.pop(agent, None)

    def state_of(self, agent: str) -> EjectionState:
        """Return the ejection state of an agent; unknown agents are healthy."""
        health = self._agents.get(agent)
        return EjectionState.HEALTHY if health is None else health.state

    def record_failure(self, agent: str, now: float) -> None:
        """Record a task that the agent started and that failed."""
        health = self._agents.get(agent)
        if health is None:
            return
        self._all_outcomes.record(failed=True, now=now)
        health.window.record(failed=True, now=now)
        health.consecutive_failures += 1
        if agent in self._ejected:
            self._probe_failed(health, now)
        elif self._should_eject(health, now):
            self._eject(agent, health, now)

    def record_success(
        self,
        agent: str,
        run_s: float,
        service_median_s: float,
        now: float,
    ) -> None:
        """Record a task that succeeded.

        :param service_median_s: median run time of the service over all agents.
        """
        health = self._agents.get(agent)
        if health is None:
            return
        self._all_outcomes.record(failed=False, now=now)
        health.window.record(failed=False, now=now)
        health.consecutive_failures = 0
        health.run_times.append(run_s)
        if agent in self._ejected:
            self._probe_passed(agent, health, now)
        else:
            self._update_speed(health, service_median_s, now)

    def find_probe_candidate(self, now: float) -> str | None:
        """Return an ejected agent that may be probed with an idempotent task now."""
        for agent, health in self._ejected.items():
            if not health.probing and now >= health.state_since + health.probe_delay_s:
                return agent
        return None

    def start_probe(self, agent: str) -> None:
        """Allow no further probe of an agent until this one has ended."""
        self._ejected[agent].probing = True

    def end_probe(self, agent: str) -> None:
        """Allow the next probe after one that neither succeeded nor failed."""
        health = self._ejected.get(agent)
        if health is not None:
            health.probing = False

    def reinstate_expired(self, now: float) -> list[str]:
        """Reinstate and return the agents whose state has expired."""
        due = [
            agent
            for agent, health in self._agents.items()
            if health.state is not EjectionState.HEALTHY
            and now >= health.state_since + self._expiry_s(health)
        ]
        for agent in due:
            self._reinstate(agent, self._agents[agent], now)
        return due

    def _expiry_s(self, health: _AgentHealth) -> float:
        if health.state is EjectionState.EJECTED:
            return self._settings.ejection_expiry_s
        return self._settings.slow_expiry_s

    def _should_eject(self, health: _AgentHealth, now: float) -> bool:
        ended, failures = health.window.count_outcomes(now)
        all_ended, all_failures = self._all_outcomes.count_outcomes(now)
        others_ended = max(1, all_ended - ended)
        others_ratio = max(0, all_failures - failures) / others_ended
        ratio = failures / max(1, ended)
        if health.consecutive_failures >= self._settings.consecutive_failures:
            return others_ratio * self._settings.peer_ratio_factor < 1
        return (
            ended >= self._settings.min_tasks
            and ratio >= self._settings.failure_ratio
            and ratio > others_ratio * self._settings.peer_ratio_factor
        )

    def _eject(self, agent: str, health: _AgentHealth, now: float) -> None:
        health.state_since = now
        limit = int(len(self._agents) * self._settings.max_ejected_share)
        if len(self._ejected) >= limit:
            health.state = EjectionState.SUSPECT
            return
        health.state = EjectionState.EJECTED
        health.probe_delay_s = self._settings.first_probe_s
        health.probes_left = self._settings.needed_probes
        health.probing = False
        self._ejected[agent] = health

    def _probe_failed(self, health: _AgentHealth, now: float) -> None:
        if not health.probing:
            return
        health.probing = False
        health.state_since = now
        health.probe_delay_s = min(health.probe_delay_s * 2, self._settings.max_probe_s)
        health.probes_left = self._settings.needed_probes

    def _probe_passed(self, agent: str, health: _AgentHealth, now: float) -> None:
        if not health.probing:
            return
        health.probing = False
        health.probes_left -= 1
        if health.probes_left == 0:
            self._reinstate(agent, health, now)

    def _reinstate(self, agent: str, health: _AgentHealth, now: float) -> None:
        self._ejected.pop(agent, None)
        health.state = EjectionState.HEALTHY
        health.state_since = now
        health.consecutive_failures = 0
        health.window = _OutcomeWindow(self._settings.window_s)
        health.run_times.clear()

    def _update_speed(
        self,
        health: _AgentHealth,
        service_median_s: float,
        now: float,
    ) -> None:
        slow = health.median_s() > service_median_s * self._settings.slow_factor
        if slow and health.state is EjectionState.HEALTHY:
            health.state = EjectionState.SLOW
            health.state_since = now
        elif health.state is EjectionState.SLOW and not slow:
            health.state = EjectionState.HEALTHY
