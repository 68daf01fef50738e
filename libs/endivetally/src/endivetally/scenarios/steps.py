"""What a line of a scenario does: the base classes of steps and selectors."""

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

from endivetally_core.errors import EndivetallyError

if TYPE_CHECKING:
    from endivetally.scenarios.environment import Environment


class StepFailed(EndivetallyError):
    """A step could not be carried out or an expectation does not hold."""


class Step(ABC):
    """One line of a scenario."""

    @abstractmethod
    async def run(self, environment: 'Environment') -> None:
        """Carry the step out.

        :raises StepFailed: when that is not possible, or does not hold.
        """


class Selector(ABC):
    """Names processes of the fleet."""

    @abstractmethod
    async def select(self, environment: 'Environment') -> list[str]:
        """Return names of processes, at least one.

        :raises StepFailed: when there is none.
        """
