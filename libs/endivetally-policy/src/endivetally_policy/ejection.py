"""Finds workers that fail what they start, and slow ones, per service."""

import enum
import statistics
from collections import deque
from dataclasses import dataclass
from typing import Final

_SLOW_SAMPLES: Final = 16
_SLOW_MIN_SAMPLES: Final = 8


class HealthState(enum.IntEnum):
    """How far an agent is trusted; lower values are tried first."""

    HEALTHY = 0
    SLOW = 1
    SUSPECT = 2
    EJECTED = 3


@dataclass(frozen=True, slots=True)
class EjectionSettings:
    """Limits of ejection.

    :param failures_in_a_row: ejects, whatever the ratio over the window.
    :param ratio: failed share of ended tasks over the window that ejects.
    :param min_count: ended tasks in the window before the ratio counts.
    :param margin: the ratio must exceed that of the other agents by this factor.
    :param max_share: largest share of a service's agents ejected at once.
    :param forget_s: an ejection without a probe ends after this time.
    :param probes: successful probes that end an ejection.
    :param slow_factor: median run time over the service's that marks an agent slow.
    :param slow_s: a slow agent is measured afresh after this time.
    """

    failures_in_a_row: int = 5
    ratio: float = 0.5
    min_count: int = 10
    margin: float = 2.0
    window_s: float = 10.0
    first_s: float = 5.0
    longest_s: float = 60.0
    max_share: float = 0.3
    forget_s: float = 300.0
    probes: int = 3
    slow_factor: float = 3.0
    slow_s: float = 30.0


class _OutcomeWindow:
    """Counts of ended and failed tasks over the last one to two periods."""

    def __init__(self, period_s: float) -> None:
        self._period_s = period_s
        self._period = 0
        self._current = (0, 0)
        self._previous = (0, 0)

    def record(self, failed: bool, now: float) -> None:
        self._turn(now)
        ended, failures = self._current
        self._current = (ended + 1, failures + int(failed))

    def counts(self, now: float) -> tuple[int, int]:
        self._turn(now)
        return (
            self._current[0] + self._previous[0],
            self._current[1] + self._previous[1],
        )

    def _turn(self, now: float) -> None:
        period = int(now / self._period_s)
        if period == self._period:
            return
        follows = period == self._period + 1
        self._previous = self._current if follows else (0, 0)
        self._current = (0, 0)
        self._period = period


class _AgentHealth:
    """What is known of one agent."""

    def __init__(self, settings: EjectionSettings) -> None:
        self.window = _OutcomeWindow(settings.window_s)
        self.failures_in_a_row = 0
        self.run_times: deque[float] = deque(maxlen=_SLOW_SAMPLES)
        self.state = HealthState.HEALTHY
        self.since: float = 0
        self.ejected_s: float = 0
        self.probes_left = 0
        self.probing = False

    def median_s(self) -> float:
        if len(self.run_times) < _SLOW_MIN_SAMPLES:
            return 0
        return statistics.median(self.run_times)


class ServiceHealth:
    """Health of the agents of one service.

    An agent is ejected when it fails what it starts while the others do not.
    After its time it is probed with one idempotent task at a time; exclusive
    tasks are never used as probes.
    """

    def __init__(self, settings: EjectionSettings | None = None) -> None:
        self._settings = settings or EjectionSettings()
        self._agents: dict[str, _AgentHealth] = {}
        self._service = _OutcomeWindow(self._settings.window_s)
        self._ejected: dict[str, _AgentHealth] = {}

    @property
    def ejected(self) -> frozenset[str]:
        """Incarnations of the ejected agents."""
        return frozenset(self._ejected)

    def add_agent(self, agent: str) -> None:
        """Add an agent in good standing."""
        self._agents[agent] = _AgentHealth(self._settings)

    def remove_agent(self, agent: str) -> None:
        """Forget an agent."""
        self._agents.pop(agent, None)
        self._ejected.pop(agent, None)

    def state_of(self, agent: str) -> HealthState:
        """Return how far an agent is trusted."""
        health = self._agents.get(agent)
        return HealthState.HEALTHY if health is None else health.state

    def record_failure(self, agent: str, now: float) -> None:
        """Take in a task that the agent started and that failed."""
        health = self._agents.get(agent)
        if health is None:
            return
        self._service.record(failed=True, now=now)
        health.window.record(failed=True, now=now)
        health.failures_in_a_row += 1
        if agent in self._ejected:
            self._probe_failed(health, now)
        elif self._fails_too_much(health, now):
            self._eject(agent, health, now)

    def record_success(
        self,
        agent: str,
        run_s: float,
        service_median_s: float,
        now: float,
    ) -> None:
        """Take in a task that the agent ended whole."""
        health = self._agents.get(agent)
        if health is None:
            return
        self._service.record(failed=False, now=now)
        health.window.record(failed=False, now=now)
        health.failures_in_a_row = 0
        health.run_times.append(run_s)
        if agent in self._ejected:
            self._probe_passed(agent, health, now)
        else:
            self._judge_speed(health, service_median_s, now)

    def probe_candidate(self, now: float) -> str | None:
        """Return an ejected agent that may take one idempotent task now."""
        for agent, health in self._ejected.items():
            if not health.probing and now >= health.since + health.ejected_s:
                return agent
        return None

    def probe_started(self, agent: str) -> None:
        """Hold further probes of an agent until this one ends."""
        self._ejected[agent].probing = True

    def probe_ended(self, agent: str) -> None:
        """Allow the next probe: the last one ended without a verdict."""
        health = self._ejected.get(agent)
        if health is not None:
            health.probing = False

    def reinstate_due(self, now: float) -> list[str]:
        """Reinstate and return agents whose standing rests on old evidence."""
        due = [
            agent
            for agent, health in self._agents.items()
            if health.state is not HealthState.HEALTHY
            and now >= health.since + self._keep_s(health)
        ]
        for agent in due:
            self._reinstate(agent, self._agents[agent], now)
        return due

    def _keep_s(self, health: _AgentHealth) -> float:
        if health.state is HealthState.EJECTED:
            return self._settings.forget_s
        return self._settings.slow_s

    def _fails_too_much(self, health: _AgentHealth, now: float) -> bool:
        ended, failures = health.window.counts(now)
        all_ended, all_failures = self._service.counts(now)
        others_ended = max(1, all_ended - ended)
        others_ratio = max(0, all_failures - failures) / others_ended
        ratio = failures / max(1, ended)
        if health.failures_in_a_row >= self._settings.failures_in_a_row:
            return others_ratio * self._settings.margin < 1
        return (
            ended >= self._settings.min_count
            and ratio >= self._settings.ratio
            and ratio > others_ratio * self._settings.margin
        )

    def _eject(self, agent: str, health: _AgentHealth, now: float) -> None:
        health.since = now
        limit = int(len(self._agents) * self._settings.max_share)
        if len(self._ejected) >= limit:
            health.state = HealthState.SUSPECT
            return
        health.state = HealthState.EJECTED
        health.ejected_s = self._settings.first_s
        health.probes_left = self._settings.probes
        health.probing = False
        self._ejected[agent] = health

    def _probe_failed(self, health: _AgentHealth, now: float) -> None:
        if not health.probing:
            return
        health.probing = False
        health.since = now
        health.ejected_s = min(health.ejected_s * 2, self._settings.longest_s)
        health.probes_left = self._settings.probes

    def _probe_passed(self, agent: str, health: _AgentHealth, now: float) -> None:
        if not health.probing:
            return
        health.probing = False
        health.probes_left -= 1
        if health.probes_left == 0:
            self._reinstate(agent, health, now)

    def _reinstate(self, agent: str, health: _AgentHealth, now: float) -> None:
        self._ejected.pop(agent, None)
        health.state = HealthState.HEALTHY
        health.since = now
        health.failures_in_a_row = 0
        health.window = _OutcomeWindow(self._settings.window_s)
        health.run_times.clear()

    def _judge_speed(
        self,
        health: _AgentHealth,
        service_median_s: float,
        now: float,
    ) -> None:
        slow = health.median_s() > service_median_s * self._settings.slow_factor
        if slow and health.state is HealthState.HEALTHY:
            health.state = HealthState.SLOW
            health.since = now
        elif health.state is HealthState.SLOW and not slow:
            health.state = HealthState.HEALTHY
