"""Second bindings of idempotent requests that run unusually long."""

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING
from typing import Final

from endivetally_config.text import ServiceKind

if TYPE_CHECKING:
    from endivetally_policy.estimates import RunTimeEstimates
    from endivetally_policy.retries import RetryPolicy

NEVER: Final = float('inf')
_MIN_OBSERVATIONS: Final = 100


class HedgePolicy(ABC):
    """Decides when a running request is bound a second time."""

    @abstractmethod
    def hedge_at(
        self,
        service: str,
        kind: ServiceKind,
        started_at: float,
        deadline: float,
    ) -> float:
        """Return when a hedge may be sent, `NEVER` for never."""

    @abstractmethod
    def spend_budget(self, service: str) -> bool:
        """Return whether the budget has a hedge, and spend it."""


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
        """Return that there is none."""
        return False


class QuantileHedging(HedgePolicy):
    """Hedges idempotent requests that run longer than the observed p95.

    Hedges are paid from the retry budget of the service, so that retries and
    hedges together keep below its share of traffic.
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
        """Return when the request has run for the p95; never for exclusive work."""
        estimate = self._estimates.estimate_for(service)
        if kind is not ServiceKind.IDEMPOTENT or estimate.count < _MIN_OBSERVATIONS:
            return NEVER
        hedge_at = started_at + estimate.p95_s
        return hedge_at if hedge_at + estimate.p50_s < deadline else NEVER

    def spend_budget(self, service: str) -> bool:
        """Spend one retry of the service's budget."""
        return self._retries.budget(service).spend()
