"""Interface of an agent to its local target, and the target's reports."""

import enum
from abc import ABC
from abc import abstractmethod
from dataclasses import dataclass

from endivetally_policy.held import Resources
from endivetally_policy.held import RunEnd

from endivetally_held.jobs import TaskKey


class CommandResult(enum.StrEnum):
    """How a command to a target ended.

    After ``UNANSWERED`` the target may have carried the command out, or may still do
    so later.
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
    """Response to a command.

    :param clock_ms: the target's monotonic clock, if the response contains it.
    """

    result: CommandResult
    clock_ms: int | None = None


@dataclass(frozen=True, slots=True)
class FencedLease:
    """Fencing token of a command or a poll, and the lease that it renews.

    :param fencing_token: a target rejects tokens lower than the highest it has seen.
    :param expires_at_ms: time on the target's clock at which it ends all its runs
        unless the lease is renewed; ``None`` leaves the lease unchanged.
    """

    fencing_token: int
    expires_at_ms: int | None = None


@dataclass(frozen=True, slots=True)
class ActiveRun:
    """A run that the target lists as running.

    :param progress_percent: share of the work that is done.
    """

    task: TaskKey
    run_number: int
    progress_percent: int


@dataclass(frozen=True, slots=True)
class EndedRun:
    """A run that the target lists as ended.

    :param sequence: increases with each ended run of one instance of the target.
    """

    sequence: int
    task: TaskKey
    run_number: int
    end: RunEnd


@dataclass(frozen=True, slots=True)
class Instance:
    """One start of a target.

    :param target_id: identifier, which a restarted target may keep.
    :param born_ms: Unix time of the start in milliseconds; ``None`` where targets do
        not send it and a restarted target has another identifier.
    """

    target_id: str
    born_ms: int | None = None


@dataclass(frozen=True, slots=True)
class PollResult:
    """Active and ended runs of a target at one point in time.

    :param clock_ms: the target's monotonic clock, in milliseconds.
    :param born_ms: start of the instance that answered, if the answer contains it.
    :param complete: whether all active runs are listed; a row that was not understood
        may be about any run.
    :param ends_complete: whether all ended runs are listed.
    """

    clock_ms: int
    running: tuple[ActiveRun, ...]
    ended: tuple[EndedRun, ...]
    complete: bool = True
    ends_complete: bool = True
    born_ms: int | None = None


@dataclass(frozen=True, slots=True)
class TargetReport:
    """Heartbeat of a target to its agent.

    :param target_id: identifies the target.
    :param pool: name shared by the targets that do the same work.
    :param address: where the target accepts commands.
    :param clock_ms: the target's monotonic clock, in milliseconds.
    :param sequence: number of the report, by which delayed reports are recognised.
    :param born_ms: start of the instance, if the report contains it.
    :param labels: kind of the target and its rack; empty if unknown.
    :param cold_remaining_ms: how much longer the target is slow after its start.
    :param ignored_fields: optional fields of the report that were malformed.
    """

    target_id: str
    pool: str
    address: str
    capacity: Resources
    draining: bool
    clock_ms: int
    sequence: int
    born_ms: int | None = None
    labels: tuple[str, ...] = ()
    cold_remaining_ms: int = 0
    ignored_fields: tuple[str, ...] = ()

    @property
    def instance(self) -> Instance:
        """The instance that sent the report."""
        return Instance(self.target_id, self.born_ms)

    @property
    def kind(self) -> str:
        """Kind of the target; empty if unknown."""
        return self.labels[0] if self.labels else ''

    @property
    def cold(self) -> bool:
        """Whether the target is slow because it has just started."""
        return self.cold_remaining_ms > 0


class PollFailed(Exception):
    """A poll got no usable response.

    :param refused: whether no process accepted the connection.
    """

    def __init__(self, reason: str, *, refused: bool = False) -> None:
        super().__init__(reason)
        self.refused = refused


class TargetSessionLost(Exception):
    """The target no longer accepts commands of this session.

    :param target_ended: whether another instance of the target responded; otherwise
        the target has seen a higher fencing token.
    :param born_ms: start of the instance that answered, if the answer contains it.
    """

    def __init__(self, *, target_ended: bool, born_ms: int | None = None) -> None:
        super().__init__('ended' if target_ended else 'fenced')
        self.target_ended = target_ended
        self.born_ms = born_ms


class TargetClient(ABC):
    """Sends commands to one instance of a target."""

    @abstractmethod
    async def start_run(
        self, task: TaskKey, run_number: int, payload: str, lease: FencedLease
    ) -> CommandResponse:
        """Start a run of a task.

        :param run_number: number of the run.
        """

    @abstractmethod
    async def stop_run(
        self, task: TaskKey, run_number: int, lease: FencedLease
    ) -> CommandResponse:
        """Stop a run; a run that has not arrived yet can't start any more.

        :param run_number: number of the run.
        """

    @abstractmethod
    async def poll(
        self, lease: FencedLease, last_seen: int, wait_s: float, timeout_s: float
    ) -> PollResult:
        """Long poll: renew the lease and wait until a run ends.

        :param last_seen: sequence of the newest ended run that was already processed.
        :param wait_s: longest time in seconds that the target waits for an end.
        :param timeout_s: seconds after which a missing response counts as failed.
        :raises PollFailed: when there is no usable response in time.
        :raises TargetSessionLost: when the target rejects this session for good.
        """

    @abstractmethod
    async def close(self) -> None:
        """Close the connections."""


class TargetClientFactory(ABC):
    """Creates the client of a target from the target's report."""

    @abstractmethod
    def create_client(self, report: TargetReport) -> TargetClient:
        """Return a client for one instance of a target, without connecting yet."""
