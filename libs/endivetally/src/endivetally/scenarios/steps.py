"""Base classes of the steps and the process selectors of a scenario."""

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

from endivetally_core.errors import EndivetallyError

if TYPE_CHECKING:
    from endivetally.scenarios.environment import Environment


class StepFailed(EndivetallyError):
    """A step cannot be carried out, or an expectation is not met."""


class Step(ABC):
    """One line of a scenario: an action, a wait or an expectation."""

    @abstractmethod
    async def run(self, environment: 'Environment') -> None:
        """Carry out the step.

        :raises StepFailed: when that is impossible or the expectation is not met.
        """


class Selector(ABC):
    """Selects processes of the fleet."""

    @abstractmethod
    async def select(self, environment: 'Environment') -> list[str]:
        """Return the names of the selected processes, at least one.

        :raises StepFailed: when no process matches.
        """
