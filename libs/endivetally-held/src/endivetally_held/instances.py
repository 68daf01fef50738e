"""What an agent remembers of the instances of its target, beyond one session."""

import math
from collections.abc import Callable
from typing import Final
from typing import TypeVar

from endivetally_core.clock import monotonic_now
from endivetally_core.events import Event
from endivetally_core.events import EventLog

from endivetally_held.target_client import Instance
from endivetally_held.target_client import PollFailed
from endivetally_held.target_client import TargetReport
from endivetally_held.target_client import TargetSessionLost

# Number of ended instances, and of identifiers, that are remembered, so that their
# delayed reports are ignored.
REMEMBERED_TARGETS: Final = 64

# An instance that has announced its end is gone after this time. Reports that arrive
# later show that a delayed announcement of a former instance was taken for its own.
LEAVE_TIME_S: Final = 5.0

Key = TypeVar('Key')
Value = TypeVar('Value')


class InstanceHistory:
    """Remembers which instances have answered or ended, and the tokens sent to them.

    ``sends_born`` tells whether a report with the start of its instance was received;
    from then on reports and poll responses without it are unusable.

    :param clock: returns monotonic time in seconds.
    """

    def __init__(self, clock: Callable[[], float] = monotonic_now) -> None:
        self.sends_born = False
        self._clock = clock
        # Ended instances, and the times from which their reports count again.
        self._ended: dict[Instance, float] = {}
        # By identifier: the highest start that has answered a poll, the highest token,
        # and the instance of the newest session.
        self._answered: dict[str, int] = {}
        self._tokens: dict[str, int] = {}
        self._used: dict[str, Instance] = {}

    def accept_report(self, report: TargetReport, events: EventLog) -> bool:
        """Return whether a report is usable and may be of the present instance."""
        if report.born_ms is not None:
            self.sends_born = True
        elif self.sends_born:
            events.emit(
                Event.REPORT_IGNORED,
                target=report.target_id,
                reason='without born, which other reports have',
            )
            return False
        return not self.is_former(report.instance)

    def is_former(self, instance: Instance) -> bool:
        """Return whether an instance has ended, or a later one has answered a poll."""
        has_ended = self._clock() < self._ended.get(instance, 0)
        return has_ended or _get_born(instance) < self._answered.get(
            instance.target_id, 0
        )

    def record_end(self, instance: Instance) -> None:
        """Record that an instance has ended."""
        if self._clock() >= self._ended.get(instance, 0):
            _remember(self._ended, instance, math.inf)

    def record_leave(self, instance: Instance) -> None:
        """Record that an instance has announced its end.

        The announcement has no start, so it may be a delayed one of a former instance.
        """
        if instance.born_ms is not None:
            _remember(self._ended, instance, self._clock() + LEAVE_TIME_S)

    def record_use(self, instance: Instance, events: EventLog) -> None:
        """Record a new session, and log a restart under the same identifier."""
        former = self._used.get(instance.target_id, instance)
        _remember(self._used, instance.target_id, instance)
        if former != instance:
            events.emit(
                Event.TARGET_RESTARTED,
                target=instance.target_id,
                born=instance.born_ms,
                former_born=former.born_ms,
            )

    def record_token(self, instance: Instance, token: int) -> None:
        """Record the highest token of a session that ends."""
        _remember(self._tokens, instance.target_id, token)

    def get_least_token(self, instance: Instance) -> int:
        """Return the least token that no former session may have sent.

        It is 0 where targets don't send their start, as their identifiers differ.
        """
        if instance.born_ms is None:
            return 0
        return self._tokens.get(instance.target_id, -1) + 1

    def check_answer(self, instance: Instance, born_ms: int | None) -> None:
        """Check that a poll was answered by the instance that it was meant for.

        :param born_ms: start in the answer.
        :raises PollFailed: when the answer is unusable, or of an earlier start, which
            may be a delayed one.
        :raises TargetSessionLost: when the answer proves that the instance has ended.
        """
        if not self.sends_born:
            return
        if born_ms is None:
            raise PollFailed('response without born')
        if born_ms < max(
            _get_born(instance), self._answered.get(instance.target_id, 0)
        ):
            raise PollFailed(f'response of a former instance, born {born_ms}')
        _remember(self._answered, instance.target_id, born_ms)
        if born_ms != instance.born_ms:
            raise TargetSessionLost(target_ended=True, born_ms=born_ms)


def _get_born(instance: Instance) -> int:
    return instance.born_ms or 0


def _remember(memory: dict[Key, Value], key: Key, value: Value) -> None:
    """Set a value, and forget the one that was set longest ago."""
    memory.pop(key, None)
    memory[key] = value
    if len(memory) > REMEMBERED_TARGETS:
        del memory[next(iter(memory))]
