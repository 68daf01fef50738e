"""Error budgets and burn rates, computed from the response counts of the entries."""

import enum
from collections import Counter
from collections.abc import Iterable
from collections.abc import Sequence
from typing import Final

import msgspec
from endivetally_core.burn import BUCKET_S
from endivetally_core.burn import RING_BUCKETS
from endivetally_core.burn import BurnBucket
from endivetally_core.burn import BurnSnapshot
from endivetally_core.burn import ServiceBurn

PERIOD_S: Final = BUCKET_S * RING_BUCKETS
WINDOWS_S: Final = (300, 1800, 3600, PERIOD_S)
TIMELINE_STEP_S: Final = 300

# An alert needs its burn rate in both of its windows. A rate of 14.4 spends 2% of a
# 30-day error budget in one hour; a rate of 6 spends 5% in six hours.
PAGE_RATE: Final = 14.4
PAGE_WINDOWS_S: Final = (300, 3600)
TICKET_RATE: Final = 6
TICKET_WINDOWS_S: Final = (1800, PERIOD_S)


class Alert(enum.StrEnum):
    """Urgency with which an operator has to look at a service."""

    NONE = 'none'
    TICKET = 'ticket'
    PAGE = 'page'


class WindowBurn(msgspec.Struct, frozen=True):
    """Responses and burn rate of a service in the last ``window_s`` seconds.

    :param burn_rate: 1 spends the error budget exactly as fast as the objective allows.
    """

    window_s: int
    good: int
    bad: int
    burn_rate: float


class ErrorKindShare(msgspec.Struct, frozen=True):
    """Share of the spent error budget that one kind of error accounts for."""

    kind: str
    count: int
    share: float


class TimelinePoint(msgspec.Struct, frozen=True):
    """Responses within `TIMELINE_STEP_S` seconds.

    :param start_s: when these begin, in seconds since the epoch.
    :param bad: number of bad responses by kind of error.
    """

    start_s: int
    good: int
    bad: dict[str, int]


class ServiceReport(msgspec.Struct, frozen=True):
    """Error budget and burn rates of one service, summed over all entries.

    :param availability: fraction of requests that must be good, by the objective.
    :param response_ms: longest response time of a good response, in milliseconds.
    :param budget_left: share of the error budget of the period that is left;
        negative when more was spent.
    :param spent_by: kinds of errors, largest share first.
    """

    service: str
    availability: float
    response_ms: int
    alert: Alert
    budget_left: float
    windows: list[WindowBurn]
    spent_by: list[ErrorKindShare]
    timeline: list[TimelinePoint]


class BurnReport(msgspec.Struct, frozen=True):
    """Error budgets and burn rates of all services.

    :param now_s: time of the newest snapshot, in seconds since the epoch.
    :param period_s: period of the error budgets, in seconds.
    :param entries: names of the entries whose counts are included.
    :param unreachable: entries whose counts are missing from the report.
    """

    now_s: float
    period_s: int
    entries: list[str]
    unreachable: list[str]
    services: list[ServiceReport]


def build_report(
    snapshots: Sequence[BurnSnapshot],
    unreachable: Iterable[str] = (),
) -> BurnReport:
    """Merge the snapshots of several entries into one report.

    :param unreachable: entries that returned no snapshot.
    """
    now_s = max((snapshot.now_s for snapshot in snapshots), default=0)
    counts = _group_by_service(snapshots)
    return BurnReport(
        now_s=now_s,
        period_s=PERIOD_S,
        entries=sorted(snapshot.entry for snapshot in snapshots),
        unreachable=sorted(unreachable),
        services=[_report_service(counts[name], now_s) for name in sorted(counts)],
    )


def burn_rate(good: int, bad: int, availability: float) -> float:
    """Return the share of bad responses divided by the share that the objective allows.

    >>> burn_rate(good=98, bad=2, availability=0.99)
    2.0
    >>> burn_rate(good=0, bad=0, availability=0.99)
    0
    """
    if not bad:
        return 0
    return round(bad / (good + bad) / (1 - availability), 6)


def _group_by_service(
    snapshots: Sequence[BurnSnapshot],
) -> dict[str, list[ServiceBurn]]:
    """Return the counts by service, ordered by configuration version."""
    counts: dict[str, list[ServiceBurn]] = {}
    for snapshot in sorted(snapshots, key=lambda each: each.version):
        for service in snapshot.services:
            counts.setdefault(service.service, []).append(service)
    return counts


def _report_service(counts: Sequence[ServiceBurn], now_s: float) -> ServiceReport:
    newest = counts[-1]
    buckets = [
        bucket
        for service in counts
        for bucket in service.buckets
        if bucket.start_s > now_s - PERIOD_S
    ]
    windows = [
        _measure_window(buckets, now_s, window_s, newest.availability)
        for window_s in WINDOWS_S
    ]
    return ServiceReport(
        service=newest.service,
        availability=newest.availability,
        response_ms=newest.response_ms,
        alert=_choose_alert(windows),
        budget_left=round(1 - windows[-1].burn_rate, 6),
        windows=windows,
        spent_by=_sum_error_kinds(buckets),
        timeline=_build_timeline(buckets),
    )


def _measure_window(
    buckets: Iterable[BurnBucket],
    now_s: float,
    window_s: int,
    availability: float,
) -> WindowBurn:
    in_window = [bucket for bucket in buckets if bucket.start_s > now_s - window_s]
    good = sum(bucket.good for bucket in in_window)
    bad = sum(sum(bucket.bad.values()) for bucket in in_window)
    return WindowBurn(window_s, good, bad, burn_rate(good, bad, availability))


def _choose_alert(windows: Iterable[WindowBurn]) -> Alert:
    rates = {window.window_s: window.burn_rate for window in windows}
    if min(rates[window_s] for window_s in PAGE_WINDOWS_S) >= PAGE_RATE:
        return Alert.PAGE
    if min(rates[window_s] for window_s in TICKET_WINDOWS_S) >= TICKET_RATE:
        return Alert.TICKET
    return Alert.NONE


def _sum_error_kinds(buckets: Iterable[BurnBucket]) -> list[ErrorKindShare]:
    counts: Counter[str] = Counter()
    for bucket in buckets:
        counts.update(bucket.bad)
    total = counts.total()
    return [
        ErrorKindShare(kind, count, round(count / total, 6))
        for kind, count in counts.most_common()
        if count
    ]


def _build_timeline(buckets: Iterable[BurnBucket]) -> list[TimelinePoint]:
    good: Counter[int] = Counter()
    bad: dict[int, Counter[str]] = {}
    for bucket in buckets:
        start_s = bucket.start_s // TIMELINE_STEP_S * TIMELINE_STEP_S
        good[start_s] += bucket.good
        bad.setdefault(start_s, Counter()).update(bucket.bad)
    return [
        TimelinePoint(start_s, good[start_s], dict(bad[start_s]))
        for start_s in sorted(bad)
    ]
