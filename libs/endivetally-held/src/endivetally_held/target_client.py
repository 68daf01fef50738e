"""What the held path needs from outside: a target and its reports."""

import enum
from abc import ABC
from abc import abstractmethod
from dataclasses import dataclass

from endivetally_policy.held import Resources
from endivetally_policy.held import RunEnd

from endivetally_held.jobs import TaskKey


class OrderEnd(enum.StrEnum):
    """Every way in which an order to a target can end.

    After ``UNANSWERED`` the order may have been carried out, or may be later.
    """

    ACCEPTED = 'accepted'
    OLD_RUN = 'old_run'
    TOO_LATE = 'too_late'
    NO_ROOM = 'no_room'
    FENCED = 'fenced'
    MALFORMED = 'malformed'
    UNHEALTHY = 'unhealthy'
    OTHER_TARGET = 'other_target'
    UNANSWERED = 'unanswered'


@dataclass(frozen=True, slots=True)
class OrderAnswer:
    """How an order ended.

    :param clock_ms: the target's steady clock, if it told it.
    """

    end: OrderEnd
    clock_ms: int | None = None


@dataclass(frozen=True, slots=True)
class Mandate:
    """By what right and how long an order or a look is good.

    :param token: a target does nothing for a lower one than it has seen.
    :param lease_until_ms: end of the lease on the target's clock of all that
        runs there; ``None`` leaves the lease as it is.
    """

    token: int
    lease_until_ms: int | None = None


@dataclass(frozen=True, slots=True)
class RunningTask:
    """A task at work, as the target lists it.

    :param percent: share of the work that is done.
    """

    task: TaskKey
    run: int
    percent: int


@dataclass(frozen=True, slots=True)
class EndedTask:
    """A run that has ended, as the target lists it.

    :param number: rises with each end of one life of the target.
    """

    number: int
    task: TaskKey
    run: int
    end: RunEnd


@dataclass(frozen=True, slots=True)
class Sighting:
    """What runs at a target and what has ended there."""

    clock_ms: int
    running: tuple[RunningTask, ...]
    ended: tuple[EndedTask, ...]


@dataclass(frozen=True, slots=True)
class TargetReport:
    """What a target says of itself.

    :param target_id: name of one life of the target.
    :param pool: name of the targets that do the same work.
    :param address: where it takes orders.
    :param clock_ms: its steady clock, in milliseconds.
    :param sequence: number of the report, by which a late one is known.
    """

    target_id: str
    pool: str
    address: str
    capacity: Resources
    draining: bool
    clock_ms: int
    sequence: int


class TargetSilent(Exception):
    """A look had no usable answer."""


class TargetReplaced(Exception):
    """The target takes no orders from here.

    :param ended: another life of it answered; else it follows a newer token.
    """

    def __init__(self, *, ended: bool) -> None:
        super().__init__('ended' if ended else 'fenced')
        self.ended = ended


class Target(ABC):
    """Takes orders for one life of a target."""

    @abstractmethod
    async def start(
        self, task: TaskKey, run: int, payload: str, mandate: Mandate
    ) -> OrderAnswer:
        """Start a run of a task."""

    @abstractmethod
    async def stop(self, task: TaskKey, run: int, mandate: Mandate) -> OrderAnswer:
        """Stop a run; one that is not there yet will not start any more."""

    @abstractmethod
    async def look(
        self, mandate: Mandate, seen: int, wait_s: float, timeout_s: float
    ) -> Sighting:
        """Renew the lease, and wait for an end.

        :param seen: number of the last end that is taken note of.
        :raises TargetSilent: when there is no answer in time.
        :raises TargetReplaced: when the orders go to nobody any more.
        """

    @abstractmethod
    async def close(self) -> None:
        """Release the connections."""


class TargetDialer(ABC):
    """Makes targets from their reports."""

    @abstractmethod
    def dial(self, report: TargetReport) -> Target:
        """Return a target for one life; nothing is sent yet."""
