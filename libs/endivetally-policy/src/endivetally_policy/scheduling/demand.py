"""Decides when an entry asks agents for start credits."""

from dataclasses import dataclass

_NEVER = float('-inf')


@dataclass(frozen=True, slots=True)
class DemandSettings:
    """Timing and budget of credit demands.

    :param min_wait_s: minimum wait of the first queued task before a demand.
    :param max_wait_share: maximum wait before a demand, as a share of the mean
        run time.
    :param budget_share: demands earned per bound task.
    :param burst: maximum number of demands that can be saved.
    :param resend_s: minimum time between demands while the budget lasts.
    :param exhausted_resend_s: the same when the budget is exhausted.
    :param idle_resend_s: the same when the budget is exhausted and this entry has
        no running task whose end could return a credit.
    :param fan_out: number of agents that are asked at once.
    """

    min_wait_s: float = 0.003
    max_wait_share: float = 0.05
    budget_share: float = 0.001
    burst: float = 1.0
    resend_s: float = 0.05
    exhausted_resend_s: float = 60.0
    idle_resend_s: float = 0.25
    fan_out: int = 2


class DemandTimer:
    """Budget and timer of the demands of one pool."""

    def __init__(self, settings: DemandSettings) -> None:
        self._settings = settings
        self._budget = settings.burst
        self._last_sent_at = _NEVER

    def earn(self, count: int) -> None:
        """Add the budget that ``count`` bound tasks earn."""
        earned = self._budget + count * self._settings.budget_share
        self._budget = min(self._settings.burst, earned)

    def record_sent(self, count: int, now: float) -> None:
        """Record that ``count`` demands were sent."""
        self._budget = max(0, self._budget - count)
        self._last_sent_at = now

    def due_at(self, queued_at: float, mean_run_s: float, outstanding: int) -> float:
        """Return when the next demand is due.

        :param queued_at: monotonic seconds at which the first queued task was queued.
        :param outstanding: running tasks of this entry; the next of them is
            expected to end, and to free a slot, after the mean run time divided
            by their number.
        """
        resend_at = self._last_sent_at + self._resend_s(outstanding)
        return max(queued_at + self._wait_s(mean_run_s, outstanding), resend_at)

    def _wait_s(self, mean_run_s: float, outstanding: int) -> float:
        if outstanding == 0:
            return self._settings.min_wait_s
        next_end_s = mean_run_s / outstanding
        max_wait_s = mean_run_s * self._settings.max_wait_share
        return max(self._settings.min_wait_s, min(next_end_s, max_wait_s))

    def _resend_s(self, outstanding: int) -> float:
        if self._budget >= 1:
            return self._settings.resend_s
        if outstanding == 0:
            return self._settings.idle_resend_s
        return self._settings.exhausted_resend_s
