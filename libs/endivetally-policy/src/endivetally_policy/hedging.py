"""Hedged requests: a second attempt at idempotent requests that run long."""

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING
from typing import Final

from endivetally_config.operator_config import ServiceKind

if TYPE_CHECKING:
    from endivetally_policy.estimates import RunTimeEstimates
    from endivetally_policy.retries import RetryPolicy

NEVER: Final = float('inf')
# Number of observed tasks from which the p95 is precise enough to hedge.
_MIN_OBSERVATIONS: Final = 100


class HedgePolicy(ABC):
    """Decides when a running request is sent to a second target."""

    @abstractmethod
    def hedge_at(
        self,
        service: str,
        kind: ServiceKind,
        started_at: float,
        deadline: float,
    ) -> float:
        """Return the monotonic time from which a hedge may be sent, or `NEVER`."""

    @abstractmethod
    def spend_budget(self, service: str) -> bool:
        """Take one hedge from the budget; return whether there was one."""


class NoHedging(HedgePolicy):
    """Sends no hedges."""

    def hedge_at(
        self,
        service: str,
        kind: ServiceKind,
        started_at: float,
        deadline: float,
    ) -> float:
        """Return `NEVER`."""
        return NEVER

    def spend_budget(self, service: str) -> bool:
        """Return ``False``: there is no budget."""
        return False


class QuantileHedging(HedgePolicy):
    """Hedges idempotent requests that run longer than the observed p95.

    Hedges are taken from the retry budget of the service, so that retries and
    hedges together stay within its share of the traffic.
    """

    def __init__(self, estimates: 'RunTimeEstimates', retries: 'RetryPolicy') -> None:
        self._estimates = estimates
        self._retries = retries

    def hedge_at(
        self,
        service: str,
        kind: ServiceKind,
        started_at: float,
        deadline: float,
    ) -> float:
        """Return when the request will have run for the p95 run time.

        Returns `NEVER` for requests that are not idempotent, while too few tasks
        were observed, and when a hedge would likely miss the deadline.
        """
        estimate = self._estimates.estimate_for(service)
        if kind is not ServiceKind.IDEMPOTENT or estimate.count < _MIN_OBSERVATIONS:
            return NEVER
        hedge_at = started_at + estimate.p95_s
        return hedge_at if hedge_at + estimate.p50_s < deadline else NEVER

    def spend_budget(self, service: str) -> bool:
        """Take one retry from the service's budget; return whether there was one."""
        return self._retries.budget_for(service).spend()
