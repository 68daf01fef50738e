"""Decides at arrival whether a held job can still be answered in time."""

import enum
import math
from dataclasses import dataclass
from typing import Final

# Share of a job's own slack that may be spent waiting. The rest covers estimates
# that are too low and tasks that must run again.
WAIT_SHARE: Final = 0.8
# Seconds over which refused callers are spread when they return.
RETURN_SPREAD_S: Final = 2.0


class Verdict(enum.StrEnum):
    """Outcome of admission."""

    ADMITTED = 'admitted'
    NO_TARGET = 'no_target'
    TOO_LARGE = 'too_large'
    OVERLOADED = 'overloaded'


@dataclass(frozen=True, slots=True)
class Load:
    """What an entry knows of the load when a job arrives.

    :param ahead: core-seconds that wait here and go before the job.
    :param work: core-seconds of the job itself.
    :param capacity: cores of all targets that take work.
    :param free: cores of these that are free.
    :param entries: entries that share them.
    """

    ahead: float
    work: float
    capacity: float
    free: float
    entries: int


@dataclass(frozen=True, slots=True)
class Admission:
    """A verdict and the wait behind it, in seconds."""

    verdict: Verdict
    wait_s: float
    retry_after_s: int = 0


class HeldAdmission:
    """Refuses at once what would wait longer than it can.

    The work that waits here leaves at this entry's share of the capacity.
    """

    def expected_wait_s(self, load: Load) -> float:
        """Return the seconds until the last task of a job starts.

        >>> HeldAdmission().expected_wait_s(Load(8, 2, 100, 4, 2))
        0.12
        """
        share = load.capacity / max(load.entries, 1)
        queued = max(load.ahead + load.work - load.free / max(load.entries, 1), 0)
        return queued / max(share, 0.001)

    def decide(self, load: Load, slack_s: float, *, jitter: float) -> Admission:
        """Admit a job or refuse it with the time after which to return.

        :param slack_s: seconds that the job may wait and still be in time.
        :param jitter: from 0 to 1, spreads the return of callers.
        """
        if load.capacity <= 0:
            return Admission(Verdict.NO_TARGET, 0, 1)
        wait_s = self.expected_wait_s(load)
        if wait_s <= slack_s * WAIT_SHARE:
            return Admission(Verdict.ADMITTED, wait_s)
        return_s = wait_s - slack_s + jitter * RETURN_SPREAD_S
        return Admission(Verdict.OVERLOADED, wait_s, max(math.ceil(return_s), 1))
