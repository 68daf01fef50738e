"""What the held path needs from outside: a target and its reports."""

import enum
from abc import ABC
from abc import abstractmethod
from dataclasses import dataclass

from endivetally_policy.held import Resources
from endivetally_policy.held import RunEnd

from endivetally_held.jobs import TaskKey


class CommandResult(enum.StrEnum):
    """Every way in which an order to a target can end.

    After ``UNANSWERED`` the order may have been carried out, or may be later.
    """

    ACCEPTED = 'accepted'
    STALE_RUN = 'old_run'
    TOO_LATE = 'too_late'
    NO_CAPACITY = 'no_room'
    FENCED = 'fenced'
    MALFORMED = 'malformed'
    UNHEALTHY = 'unhealthy'
    WRONG_INSTANCE = 'other_target'
    UNANSWERED = 'unanswered'


@dataclass(frozen=True, slots=True)
class CommandResponse:
    """How an order ended.

    :param clock_ms: the target's steady clock, if it told it.
    """

    result: CommandResult
    clock_ms: int | None = None


@dataclass(frozen=True, slots=True)
class FencedLease:
    """By what right and how long an order or a look is good.

    :param fencing_token: a target does nothing for a lower one than it has seen.
    :param expires_at_ms: end of the lease on the target's clock of all that
        runs there; ``None`` leaves the lease as it is.
    """

    fencing_token: int
    expires_at_ms: int | None = None


@dataclass(frozen=True, slots=True)
class ActiveRun:
    """A task at work, as the target lists it.

    :param progress_percent: share of the work that is done.
    """

    task: TaskKey
    run_number: int
    progress_percent: int


@dataclass(frozen=True, slots=True)
class EndedRun:
    """A run that has ended, as the target lists it.

    :param sequence: rises with each end of one life of the target.
    """

    sequence: int
    task: TaskKey
    run_number: int
    end: RunEnd


@dataclass(frozen=True, slots=True)
class PollResult:
    """What runs at a target and what has ended there."""

    clock_ms: int
    running: tuple[ActiveRun, ...]
    ended: tuple[EndedRun, ...]


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


class PollFailed(Exception):
    """A look had no usable answer."""


class TargetSessionLost(Exception):
    """The target takes no orders from here.

    :param target_ended: another life of it answered; else it follows a newer token.
    """

    def __init__(self, *, target_ended: bool) -> None:
        super().__init__('ended' if target_ended else 'fenced')
        self.target_ended = target_ended


class TargetClient(ABC):
    """Takes orders for one life of a target."""

    @abstractmethod
    async def start_run(
        self, task: TaskKey, run: int, payload: str, lease: FencedLease
    ) -> CommandResponse:
        """Start a run of a task."""

    @abstractmethod
    async def stop_run(
        self, task: TaskKey, run: int, lease: FencedLease
    ) -> CommandResponse:
        """Stop a run; one that is not there yet will not start any more."""

    @abstractmethod
    async def poll(
        self, lease: FencedLease, seen: int, wait_s: float, timeout_s: float
    ) -> PollResult:
        """Renew the lease, and wait for an end.

        :param seen: number of the last end that is taken note of.
        :raises TargetSilent: when there is no answer in time.
        :raises TargetReplaced: when the orders go to nobody any more.
        """

    @abstractmethod
    async def close(self) -> None:
        """Release the connections."""


class TargetClientFactory(ABC):
    """Makes targets from their reports."""

    @abstractmethod
    def create_client(self, report: TargetReport) -> TargetClient:
        """Return a target for one life; nothing is sent yet."""
