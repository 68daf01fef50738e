"""Sums up the records of a load: ratios, shares, refusals, safety."""

from collections import Counter
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

from endivetally_config.operator_config import ServiceKind
from hdrh.histogram import HdrHistogram

from endivetally.load.mix import Arrival
from endivetally.load.responses import Verdict
from endivetally.load.responses import task_ids
from endivetally.load.sender import LoadRecord

RATIO_SCALE: Final = 1000
_MS_SCALE: Final = 100
_HIGHEST: Final = 100_000_000
_DIGITS: Final = 3


@dataclass(frozen=True, slots=True)
class Percentiles:
    """Percentiles of a distribution; all 0 when nothing was recorded."""

    p50: float
    p99: float
    p999: float
    maximum: float


@dataclass(frozen=True, slots=True)
class RequestReport:
    """How the requests of one service, or of all, ended for their callers.

    :param response_ratios: response time over ideal, of whole answers.
    :param refusals_ms: response times of refusals.
    :param codes: error codes and how often each was answered.
    """

    requests: int
    verdicts: Mapping[str, int]
    codes: Mapping[str, int]
    response_ratios: Percentiles
    refusals_ms: Percentiles

    def count(self, verdict: Verdict) -> int:
        """Return how many requests ended that way."""
        return self.verdicts.get(verdict.value, 0)

    def share(self, verdict: Verdict) -> float:
        """Return the share of requests that ended that way."""
        return self.count(verdict) / self.requests if self.requests else 0


@dataclass(frozen=True, slots=True)
class StartReport:
    """What the targets recorded, against what callers were told.

    :param tasks_done: distinct tasks that were started.
    :param doubled: tasks of jobs and non-idempotent requests started more
        than once.
    :param repeated: idempotent tasks started more than once.
    :param ran_after_refusal: tasks started although the answer was "not run".
    :param missing: tasks of whole answers that no target started.
    """

    tasks_done: int
    doubled: int
    repeated: int
    ran_after_refusal: int
    missing: int


def new_histogram() -> HdrHistogram:
    """Return an empty histogram with three significant digits."""
    return HdrHistogram(1, _HIGHEST, _DIGITS)


def ideal_ms(arrival: Arrival, slots: int, overhead_ms: float) -> float:
    """Return the response time on idle workers.

    :param slots: slots of all workers of the service.
    :param overhead_ms: the wire's minimum.

    >>> ideal_ms(Arrival(0, 's', ServiceKind.JOB, 'k', [100, 300, 200]), 2, 1)
    301
    >>> ideal_ms(Arrival(0, 's', ServiceKind.JOB, 'k', [300, 300, 300]), 2, 1)
    451.0
    """
    return max(max(arrival.run_ms), sum(arrival.run_ms) / slots) + overhead_ms


def report_requests(
    arrivals: Iterable[Arrival],
    records: Mapping[str, LoadRecord],
    slots_of: Mapping[str, int],
    overhead_ms: float,
) -> RequestReport:
    """Sum up the requests given.

    :param records: records by key.
    :param slots_of: slots of all workers, by service.
    """
    verdicts: Counter[str] = Counter()
    codes: Counter[str] = Counter()
    response_ratios = new_histogram()
    refusals = new_histogram()
    for arrival in arrivals:
        record = records[arrival.key]
        verdicts[record.verdict.value] += 1
        if record.code:
            codes[record.code] += 1
        if record.verdict is Verdict.COMPLETE:
            ideal = ideal_ms(arrival, slots_of[arrival.service], overhead_ms)
            response_ratios.record_value(
                round(record.response_ms / ideal * RATIO_SCALE)
            )
        if record.verdict is Verdict.REFUSED:
            refusals.record_value(round(record.response_ms * _MS_SCALE))
    return RequestReport(
        requests=verdicts.total(),
        verdicts=dict(verdicts),
        codes=dict(codes),
        response_ratios=percentiles(response_ratios, RATIO_SCALE),
        refusals_ms=percentiles(refusals, _MS_SCALE),
    )


def offered_load(arrivals: Iterable[Arrival], slots: int, seconds: float) -> float:
    """Return the run time that arrived over the time of the slots.

    It differs from the load asked for, the more the shorter the run.

    >>> offered_load([Arrival(0, 's', ServiceKind.JOB, 'k', [500, 500])], 2, 1)
    0.5
    """
    run_ms = sum(sum(arrival.run_ms) for arrival in arrivals)
    return run_ms / (slots * seconds * 1000)


def report_requests_by_service(
    arrivals: list[Arrival],
    records: Mapping[str, LoadRecord],
    slots_of: Mapping[str, int],
    overhead_ms: float,
) -> dict[str, RequestReport]:
    """Sum up the requests of each service."""
    return {
        service: report_requests(
            [arrival for arrival in arrivals if arrival.service == service],
            records,
            slots_of,
            overhead_ms,
        )
        for service in slots_of
    }


def report_starts(
    arrivals: Iterable[Arrival],
    records: Mapping[str, LoadRecord],
    starts: Mapping[str, int],
) -> StartReport:
    """Compare the starts that targets recorded with the answers."""
    doubled = 0
    repeated = 0
    ran_after_refusal = 0
    missing = 0
    tasks_done = 0
    for arrival in arrivals:
        counts = [starts.get(task_id, 0) for task_id in task_ids(arrival)]
        started = sum(1 for count in counts if count)
        again = sum(1 for count in counts if count > 1)
        tasks_done += started
        if arrival.kind is ServiceKind.IDEMPOTENT:
            repeated += again
        else:
            doubled += again
        verdict = records[arrival.key].verdict
        if verdict is Verdict.REFUSED:
            ran_after_refusal += started
        if verdict is Verdict.COMPLETE:
            missing += len(counts) - started
    return StartReport(
        tasks_done=tasks_done,
        doubled=doubled,
        repeated=repeated,
        ran_after_refusal=ran_after_refusal,
        missing=missing,
    )


def completed_run_times(
    arrivals: Iterable[Arrival],
    records: Mapping[str, LoadRecord],
    seconds: float,
) -> list[int]:
    """Return the run times of tasks whose whole answer came in that time."""
    run_ms: list[int] = []
    for arrival in arrivals:
        record = records[arrival.key]
        if record.verdict is Verdict.COMPLETE and record.done_s <= seconds:
            run_ms.extend(arrival.run_ms)
    return run_ms


def send_delay_percentiles(records: Iterable[LoadRecord]) -> Percentiles:
    """Return by how many milliseconds the generator sent late."""
    late = new_histogram()
    for record in records:
        late.record_value(max(round(record.late_ms * _MS_SCALE), 0))
    return percentiles(late, _MS_SCALE)


def percentiles(histogram: HdrHistogram, scale: int) -> Percentiles:
    """Read a histogram whose values were multiplied by a scale."""
    if not histogram.total_count:
        return Percentiles(0, 0, 0, 0)
    return Percentiles(
        p50=histogram.get_value_at_percentile(50) / scale,
        p99=histogram.get_value_at_percentile(99) / scale,
        p999=histogram.get_value_at_percentile(99.9) / scale,
        maximum=histogram.get_max_value() / scale,
    )
