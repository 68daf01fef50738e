"""Learns the rate of an agent's target from its runs."""

from collections.abc import Callable

from endivetally_core.events import Event
from endivetally_core.events import EventLog
from endivetally_policy.held import RateChangeDetector
from endivetally_policy.held import TargetRate

from endivetally_held.runs import Run
from endivetally_held.target_client import TargetReport


class RateLearner:
    """Learns the rate of one target instance, anew when its kind changes.

    :param kind: kind of the target in its first report.
    """

    def __init__(self, kind: str, events: EventLog, clock: Callable[[], float]) -> None:
        self._kind = kind
        self._events = events
        self._clock = clock
        self._target_rate = TargetRate()
        self._changes = RateChangeDetector()

    def describe(self, report: TargetReport) -> tuple[float, int, str, bool]:
        """Return the rate, its number of runs, the kind, and whether it is cold.

        :param report: newest report of the target.
        """
        self._check_kind(report.kind)
        rate = self._target_rate
        return rate.rate, rate.runs, report.kind, report.cold

    def learn(self, report: TargetReport, run: Run, run_s: float) -> None:
        """Learn from a run that succeeded, unless the target is cold.

        :param report: newest report of the target.
        """
        self._check_kind(report.kind)
        if report.cold:
            return
        self._target_rate.observe(run_s, run.expected_run_s)
        rate = self._target_rate.rate
        former = self._changes.check(report.target_id, rate, self._clock())
        if report.kind and former is not None:
            self._events.emit(
                Event.RATE_CHANGED,
                target=report.target_id,
                kind=report.kind,
                rate=round(rate, 3),
                former_rate=round(former, 3),
                runs=self._target_rate.runs,
            )

    def _check_kind(self, kind: str) -> None:
        # The rate of the former kind does not hold for another one. A kind is empty
        # when it could not be read.
        if kind and kind != self._kind:
            self._kind = kind
            self._target_rate = TargetRate()
