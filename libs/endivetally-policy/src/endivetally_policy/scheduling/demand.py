"""When an entry asks agents for start credits."""

from dataclasses import dataclass

_NEVER = float('-inf')


@dataclass(frozen=True, slots=True)
class DemandSettings:
    """Limits of credit demands.

    :param patience_s: least wait of the head task before a demand.
    :param patience_share: cap of the patience, as a share of the mean run time.
    :param budget_share: demands allowed per bound task.
    :param burst: demands that may be saved up.
    :param resend_s: least time between demands while the budget lasts.
    :param spent_resend_s: the same when the budget is spent.
    :param stalled_resend_s: the same when no own task is running either, so
        that no completion can bring a credit.
    :param fan_out: agents asked at once.
    """

    patience_s: float = 0.003
    patience_share: float = 0.05
    budget_share: float = 0.001
    burst: float = 1.0
    resend_s: float = 0.05
    spent_resend_s: float = 60.0
    stalled_resend_s: float = 0.25
    fan_out: int = 2


class DemandTimer:
    """Budget and timer of one service's demands."""

    def __init__(self, settings: DemandSettings) -> None:
        self._settings = settings
        self._budget = settings.burst
        self._last_at = _NEVER

    def bound(self, count: int) -> None:
        """Earn budget by bound tasks."""
        earned = self._budget + count * self._settings.budget_share
        self._budget = min(self._settings.burst, earned)

    def sent(self, count: int, now: float) -> None:
        """Take in that demands were sent."""
        self._budget = max(0, self._budget - count)
        self._last_at = now

    def due_at(self, waits_since: float, mean_run_s: float, outstanding: int) -> float:
        """Return when the next demand is due.

        :param waits_since: when the head task was queued.
        :param outstanding: own tasks that run; the next of them is expected to
            end, and to free a slot, after the mean run time over their number.
        """
        resend_at = self._last_at + self._resend_s(outstanding)
        return max(waits_since + self._patience_s(mean_run_s, outstanding), resend_at)

    def _patience_s(self, mean_run_s: float, outstanding: int) -> float:
        if outstanding == 0:
            return self._settings.patience_s
        next_end_s = mean_run_s / outstanding
        cap_s = mean_run_s * self._settings.patience_share
        return max(self._settings.patience_s, min(next_end_s, cap_s))

    def _resend_s(self, outstanding: int) -> float:
        if self._budget >= 1:
            return self._settings.resend_s
        if outstanding == 0:
            return self._settings.stalled_resend_s
        return self._settings.spent_resend_s
