"""Decides whether a task whose attempt ended without a result is retried."""

import enum
from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Final

from endivetally_config.operator_config import ServiceKind
from endivetally_core.errors import ErrorKind
from endivetally_core.errors import ExecutionState

# Maximum number of attempts that may start per task.
_MAX_STARTS: Final = 4
# The first refusals of a task are retried without delay. Later ones are delayed by
# twice the base delay, which doubles with each refusal up to the maximum.
_UNDELAYED_REFUSALS: Final = 3
_BASE_DELAY_S: Final = 0.01
_MAX_DELAY_S: Final = 1.0


class RetryMode(enum.Enum):
    """Whether a task may be retried, and whether a retry uses the budget."""

    ALWAYS = 'always'
    IN_BUDGET = 'in budget'
    NEVER = 'never'


@dataclass(frozen=True, slots=True)
class RetryRule:
    """How to proceed after an attempt that ended with a certain status.

    :param error_kind: kind of the error response when the task is not retried.
    """

    mode: RetryMode
    error_kind: ErrorKind


_REFUSED: Final = RetryRule(RetryMode.ALWAYS, ErrorKind.DEADLINE_EXCEEDED)
_CANCELLED: Final = RetryRule(RetryMode.NEVER, ErrorKind.CANCELLED)

IDEMPOTENT_RULES: Final[Mapping[str, RetryRule]] = MappingProxyType(
    {
        'refused': _REFUSED,
        'cancelled': _CANCELLED,
        'failed': RetryRule(RetryMode.IN_BUDGET, ErrorKind.TASK_FAILED),
        'unknown': RetryRule(RetryMode.IN_BUDGET, ErrorKind.OUTCOME_UNKNOWN),
    }
)
EXCLUSIVE_RULES: Final[Mapping[str, RetryRule]] = MappingProxyType(
    {
        'refused': _REFUSED,
        'cancelled': _CANCELLED,
        'failed': RetryRule(RetryMode.NEVER, ErrorKind.TASK_FAILED),
        'unknown': RetryRule(RetryMode.NEVER, ErrorKind.OUTCOME_UNKNOWN),
    }
)


class RetryBudget:
    """Limits the retries of a service to a share of its first attempts.

    :param share: retries earned by each first attempt.
    :param burst: maximum number of retries that can be saved.
    """

    def __init__(self, share: float = 0.1, burst: float = 10) -> None:
        self._share = share
        self._burst = burst
        self._tokens = burst

    def earn(self, count: int = 1) -> None:
        """Add the retries that ``count`` first attempts earn."""
        self._tokens = min(self._burst, self._tokens + count * self._share)

    def spend(self) -> bool:
        """Take one retry; return whether the budget had one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


@dataclass(frozen=True, slots=True)
class EndedAttempt:
    """An attempt at a task that was sent to an agent and ended without a result.

    :param status: status of its `Outcome`.
    :param refusal_count: refused attempts at the task, including this one.
    :param start_count: attempts at the task that started or may have started,
        including this one.
    :param deadline: monotonic seconds.
    """

    status: str
    service: str
    kind: ServiceKind
    refusal_count: int
    start_count: int
    deadline: float


@dataclass(frozen=True, slots=True)
class RetryDecision:
    """Whether a task is retried or ends with an error.

    :param error: kind of the error; ``None`` if the task is retried.
    :param ran: whether the task ran, as the caller is told with the error.
    :param delay_s: seconds until the task is queued again.
    """

    error: ErrorKind | None
    ran: ExecutionState | None = None
    delay_s: float = 0


class RetryPolicy:
    """Decides on retries, with one retry budget for each service."""

    def __init__(self, share: float = 0.1, burst: float = 10) -> None:
        self._share = share
        self._burst = burst
        self._budgets: dict[str, RetryBudget] = {}

    def earn_retries(self, service: str, count: int = 1) -> None:
        """Add the retries that ``count`` first attempts of a service earn."""
        self.budget_for(service).earn(count)

    def budget_for(self, service: str) -> RetryBudget:
        """Return the retry budget of a service, which hedges use as well."""
        if service not in self._budgets:
            self._budgets[service] = RetryBudget(self._share, self._burst)
        return self._budgets[service]

    def decide_retry(self, ended: EndedAttempt, now: float) -> RetryDecision:
        """Decide whether to retry a task or to respond with an error."""
        idempotent = ended.kind is ServiceKind.IDEMPOTENT
        rules = IDEMPOTENT_RULES if idempotent else EXCLUSIVE_RULES
        rule = rules.get(ended.status, rules['unknown'])
        if rule.mode is RetryMode.NEVER:
            return RetryDecision(rule.error_kind, _run_state(ended))
        if now >= ended.deadline:
            return RetryDecision(ErrorKind.DEADLINE_EXCEEDED, _run_state(ended))
        if rule.mode is RetryMode.ALWAYS:
            return RetryDecision(None, delay_s=_delay_s(ended.refusal_count))
        if ended.start_count < _MAX_STARTS and self.budget_for(ended.service).spend():
            return RetryDecision(None)
        return RetryDecision(rule.error_kind, _run_state(ended))


def _run_state(ended: EndedAttempt) -> ExecutionState:
    if ended.start_count == 0:
        return ExecutionState.NOT_RUN
    if ended.status == 'failed':
        return ExecutionState.RAN
    return ExecutionState.UNKNOWN


def _delay_s(refusals: int) -> float:
    excess = refusals - _UNDELAYED_REFUSALS
    if excess <= 0:
        return 0
    delay_s: float = _BASE_DELAY_S * 2 ** min(excess, 10)
    return min(_MAX_DELAY_S, delay_s)
