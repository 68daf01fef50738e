"""Limits the time for which a report of a target tells its capacity."""

from typing import Final

from endivetally_core.events import Event
from endivetally_core.events import EventLog

from endivetally_held.lease import LeaseTracker
from endivetally_held.target_client import TargetReport

# Default limit. Where the capacity of a target has shrunk, starts count against the
# smaller one 4.5 s later, and a start may be carried out 0.8 s after it was sent.
MAX_REPORT_AGE_S: Final = 3.5


class ReportAgeLimit:
    """Tells whether the newest report of a target is recent, and logs changes of it.

    :param max_age_s: seconds for which a report tells the capacity.
    """

    def __init__(self, max_age_s: float, events: EventLog) -> None:
        self._max_age_s = max_age_s
        self._events = events
        self._overdue = False

    def is_recent(self, report: TargetReport, lease: LeaseTracker) -> bool:
        """Return whether a report is recent by the target's own clock.

        An agent that was paused may read a report that was sent before the pause.
        """
        age_s = lease.estimate_age_s(report.clock_ms)
        overdue = age_s > self._max_age_s
        if overdue is not self._overdue:
            self._overdue = overdue
            self._events.emit(
                Event.REPORT_OVERDUE,
                target=report.target_id,
                overdue=overdue,
                age_ms=int(age_s * 1000),
            )
        return not overdue
