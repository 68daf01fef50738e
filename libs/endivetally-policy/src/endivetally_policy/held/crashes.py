"""Which tasks crash the targets that start them.

For deployments in which a task may crash each target that starts it. Most of the runs
that end with a target are innocent: all but one of them. Which one is not, is told by
the time since its start, and by the tasks that several crashes have in common.
"""

import enum
import math
import zlib
from collections.abc import Hashable
from collections.abc import Iterable
from collections.abc import Set
from dataclasses import dataclass
from dataclasses import replace
from typing import Final

# Seconds added to the age of each run at a crash. A task is as likely to crash its
# target in the first hundredth of a second as between the first tenth and a second.
AGE_OFFSET_S: Final = 0.01
# A task that has caused its crashes with this probability is a suspect, after a single
# crash only if its run had begun at most this time before. Most crashes have other
# causes, and an older run has shown for longer that it is sound.
SUSPECT_PROBABILITY: Final = 0.1
SUSPECT_AGE_S: Final = 0.25
# Time between the starts of two suspects at one target, so that a crash tells which of
# them has caused it.
SUSPECT_INTERVAL_S: Final = 0.3
# Assumed share of the tasks that crash their targets.
PRIOR_SHARE: Final = 0.05
# A task crashes its targets after similar times, here within about a factor of two; as
# the logarithm. Those of other tasks lie anywhere between the offset and two seconds.
AGE_DEVIATION: Final = 0.7
AGE_RANGE: Final = 5.3
# A task may be given up after this many crashes of targets that had started it, if it
# has probably caused them. A start without an answer may not have been carried out.
MIN_CRASHES: Final = 2
# Probability from which a task is held to have caused the crashes.
GUILTY_PROBABILITY: Final = 0.9
# The users' limit is two further starts after three crashes. Starts that are stopped
# before the crash count as well, so three crashes are enough unless the ages contradict
# each other, that is, differ by more than a factor of four.
ALIKE_CRASHES: Final = 3
ALIKE_DEVIATION: Final = 2.0
# After this many crashes a task is given up whether or not it has caused them.
MAX_CRASHES: Final = 4
# Bounds the memory; a caller resends its job for less than a minute.
REMEMBERED_CRASHES: Final = 1024
RETENTION_S: Final = 300.0
# Share of the targets of a pool that may run suspects and confined services.
CONFINEMENT_SHARE: Final = 0.25
# Seconds for which a service is confined after a crash that is attributed to it.
CONFINEMENT_S: Final = 10.0
# Share of a crash from which it is attributed to a service.
SERVICE_SHARE: Final = 0.5
# Crashes of several targets within this time count once, as a lost rack or a power
# failure takes them at once.
SIMULTANEOUS_S: Final = 0.1
_HIGHEST_SHARE: Final = 0.99
_HIGHEST_LOG_ODDS: Final = 50.0


class CrashVerdict(enum.StrEnum):
    """How a task is treated after crashes of the targets that ran it.

    ``SUSPECT``: it may have caused them, and runs where it can do least harm.
    ``HELD``: it probably has, but not all of them are certain, so it does not run.
    ``GUILTY``: it is given up.
    """

    CLEAR = 'clear'
    SUSPECT = 'suspect'
    HELD = 'held'
    GUILTY = 'guilty'


@dataclass(frozen=True, slots=True)
class CrashedRun:
    """A run that was active when its target crashed.

    :param service: name of the service of its job.
    :param age_s: seconds from the start command to the crash.
    :param observed: whether the target is known to have started it.
    """

    task: Hashable
    service: str
    age_s: float
    observed: bool = True


@dataclass(frozen=True, slots=True)
class Crash:
    """A crash of a target.

    :param crashed_at: monotonic time in seconds.
    :param confirmed: whether another instance has taken the target's place.
    """

    crashed_at: float
    runs: tuple[CrashedRun, ...]
    confirmed: bool


@dataclass(frozen=True, slots=True)
class Presence:
    """A task in a crash.

    :param share: probability that it has caused this crash, seen alone.
    :param age_s: seconds from the start command to the crash.
    :param observed: whether the target is known to have started it.
    """

    share: float
    age_s: float
    observed: bool = True


def attribute_crash(runs: Iterable[CrashedRun]) -> dict[Hashable, Presence]:
    """Return what each task in a crash has to do with it.

    >>> young, old = CrashedRun('a', 's', 0), CrashedRun('b', 's', 0.08)
    >>> round(attribute_crash([young, old])['a'].share, 2)
    0.9
    """
    by_task = {run.task: replace(run, age_s=max(run.age_s, 0)) for run in runs}
    weights = {task: 1 / (run.age_s + AGE_OFFSET_S) for task, run in by_task.items()}
    total = sum(weights.values())
    return {
        task: Presence(weights[task] / total, run.age_s, run.observed)
        for task, run in by_task.items()
    }


def estimate_guilt(presences: Iterable[Presence]) -> float:
    """Return the probability that a task has caused all crashes that it was in.

    Otherwise each of them had a cause of its own, which is the less likely the fewer
    tasks crash their targets, and the more alike the ages of the task were.

    >>> estimate_guilt([Presence(0.3, 0)])
    0.3
    >>> round(estimate_guilt([Presence(0.3, 0.01), Presence(0.6, 0.01)]), 2)
    0.97
    >>> round(estimate_guilt([Presence(0.3, 0.01), Presence(0.6, 0.9)]), 2)
    0.0
    """
    known = list(presences)
    shares = [min(presence.share, _HIGHEST_SHARE) for presence in known]
    if len(shares) == 1:
        return shares[0]
    agreement = AGE_RANGE / (AGE_DEVIATION * math.sqrt(math.tau))
    log_odds = sum(math.log(share / (1 - share)) for share in shares)
    log_odds += (len(shares) - 1) * math.log(agreement / PRIOR_SHARE)
    log_odds -= _compute_deviation(known) ** 2 / 2
    bounded = max(min(log_odds, _HIGHEST_LOG_ODDS), -_HIGHEST_LOG_ODDS)
    return 1 / (1 + math.exp(-bounded))


def _compute_deviation(presences: Iterable[Presence]) -> float:
    """Return by how much the ages differ, in usual deviations."""
    ages = [math.log(presence.age_s + AGE_OFFSET_S) for presence in presences]
    return (max(ages) - min(ages)) / AGE_DEVIATION


def is_guilty(presences: Iterable[Presence]) -> bool:
    """Return whether a task is given up after crashes, all of which are certain.

    >>> is_guilty([Presence(0.9, 0)]), is_guilty([Presence(0.6, 0), Presence(0.6, 0)])
    (False, True)
    """
    known = list(presences)
    if len(known) >= MAX_CRASHES:
        return True
    if sum(presence.observed for presence in known) < MIN_CRASHES:
        return False
    if len(known) >= ALIKE_CRASHES and _compute_deviation(known) <= ALIKE_DEVIATION:
        return True
    return estimate_guilt(known) >= GUILTY_PROBABILITY


def choose_confinement(names: Iterable[str]) -> list[str]:
    """Return the targets that may run suspects and confined services.

    All entries choose the same ones without a message, and the same ones again while
    some of them are down, so that no others are lost in their place.

    :param names: the targets of a pool, also those that are down after a crash.
    """
    ordered = sorted(names, key=lambda name: (zlib.crc32(name.encode()), name))
    return ordered[: math.ceil(len(ordered) * CONFINEMENT_SHARE)]


class CrashHistory:
    """Remembers crashes, and judges the tasks and services that were in them."""

    def __init__(self) -> None:
        self._crashes: dict[Hashable, Crash] = {}
        # By task and crash.
        self._presences: dict[Hashable, dict[Hashable, Presence]] = {}
        self._confined_until: dict[str, float] = {}

    def __len__(self) -> int:
        """Return the number of remembered crashes."""
        return len(self._crashes)

    def __contains__(self, crash_id: Hashable) -> bool:
        """Return whether a crash is remembered."""
        return crash_id in self._crashes

    def record(self, crash_id: Hashable, crash: Crash) -> None:
        """Record a crash, or that it is certain now."""
        former = self._crashes.get(crash_id)
        if former is None:
            self._add(crash_id, crash)
        elif crash.confirmed:
            self._crashes[crash_id] = replace(former, confirmed=True)

    def dismiss(self, crash_id: Hashable) -> None:
        """Forget a crash, as the target has not crashed."""
        crash = self._crashes.pop(crash_id, None)
        if crash is None:
            return
        for run in crash.runs:
            presences = self._presences.get(run.task, {})
            presences.pop(crash_id, None)
            if not presences:
                self._presences.pop(run.task, None)

    def clear_task(self, task: Hashable) -> None:
        """Attribute the crashes of a task to the others, as it has ended well."""
        for crash_id in self._presences.pop(task, {}):
            crash = self._crashes[crash_id]
            runs = tuple(run for run in crash.runs if run.task != task)
            self._crashes[crash_id] = replace(crash, runs=runs)
            self._attribute(crash_id, runs)

    def remove_expired(self, now: float) -> None:
        """Forget old crashes, and the oldest ones beyond the limit."""
        excess = len(self._crashes) - REMEMBERED_CRASHES
        expired = [
            crash_id
            for number, (crash_id, crash) in enumerate(self._crashes.items())
            if number < excess or crash.crashed_at < now - RETENTION_S
        ]
        for crash_id in expired:
            self.dismiss(crash_id)
        released = [name for name, until in self._confined_until.items() if until < now]
        for name in released:
            del self._confined_until[name]

    def get_guilt(self, task: Hashable) -> float:
        """Return the probability that a task has caused the crashes that it was in."""
        presences = self._presences.get(task)
        return estimate_guilt(presences.values()) if presences else 0

    def find_verdict(self, task: Hashable) -> CrashVerdict:
        """Return how to treat a task."""
        presences = self._presences.get(task)
        if not presences:
            return CrashVerdict.CLEAR
        if is_guilty(
            presence
            for crash_id, presence in presences.items()
            if self._crashes[crash_id].confirmed
        ):
            return CrashVerdict.GUILTY
        if is_guilty(presences.values()):
            return CrashVerdict.HELD
        known = list(presences.values())
        may_be_guilty = estimate_guilt(known) >= SUSPECT_PROBABILITY
        if may_be_guilty and (len(known) > 1 or known[0].age_s <= SUSPECT_AGE_S):
            return CrashVerdict.SUSPECT
        return CrashVerdict.CLEAR

    def confine_if_excessive(
        self, crash_id: Hashable, target_limit: int, now: float
    ) -> None:
        """Confine the service of a crash that has taken down too many targets.

        :param target_limit: number of targets that a service may take down at a time.
        """
        service = self._find_service(crash_id)
        if service and self._count_crashes(service, now) >= target_limit:
            self._confine(service, self._crashes[crash_id].crashed_at)

    def find_confined(self, now: float) -> Set[str]:
        """Return the services that are confined because of their tasks."""
        return {name for name, until in self._confined_until.items() if now < until}

    def _add(self, crash_id: Hashable, crash: Crash) -> None:
        self._crashes[crash_id] = crash
        self._attribute(crash_id, crash.runs)
        confined = self.find_confined(crash.crashed_at)
        offending = {run.service for run in crash.runs if self._is_offender(run.task)}
        service = self._find_service(crash_id)
        if service in confined:
            offending.add(service)
        for name in offending:
            self._confine(name, crash.crashed_at)

    def _confine(self, service: str, crashed_at: float) -> None:
        until = max(self._confined_until.get(service, 0), crashed_at + CONFINEMENT_S)
        self._confined_until[service] = until

    def _find_service(self, crash_id: Hashable) -> str:
        """Return the service that a crash is attributed to; empty if there is none."""
        shares: dict[str, float] = {}
        for run in self._crashes[crash_id].runs:
            share = self._presences[run.task][crash_id].share
            shares[run.service] = shares.get(run.service, 0) + share
        blamed = (name for name, share in shares.items() if share >= SERVICE_SHARE)
        return next(blamed, '')

    def _count_crashes(self, service: str, now: float) -> int:
        """Count the recent crashes of a service, simultaneous ones once."""
        times = sorted(
            crash.crashed_at
            for crash_id, crash in self._crashes.items()
            if crash.crashed_at > now - CONFINEMENT_S
            and self._find_service(crash_id) == service
        )
        return sum(
            at - before > SIMULTANEOUS_S
            for before, at in zip([-math.inf, *times], times, strict=False)
        )

    def _attribute(self, crash_id: Hashable, runs: tuple[CrashedRun, ...]) -> None:
        for task, presence in attribute_crash(runs).items():
            self._presences.setdefault(task, {})[crash_id] = presence

    def _is_offender(self, task: Hashable) -> bool:
        presences = self._presences[task].values()
        return len(presences) >= MIN_CRASHES and (
            estimate_guilt(presences) >= GUILTY_PROBABILITY
        )
