"""Summarises a load: response ratios, refusals, and tasks run twice or never."""

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

# Histograms hold integers: ratios in thousandths, times in hundredths of a millisecond.
RATIO_SCALE: Final = 1000
_MS_SCALE: Final = 100
_HISTOGRAM_MAX: Final = 100_000_000
_SIGNIFICANT_DIGITS: Final = 3


@dataclass(frozen=True, slots=True)
class Percentiles:
    """Percentiles of a distribution; all 0 when nothing was recorded."""

    p50: float
    p99: float
    p999: float
    maximum: float


@dataclass(frozen=True, slots=True)
class RequestReport:
    """How the requests of one service, or of all services, ended for their callers.

    :param verdicts: number of requests by verdict.
    :param codes: number of requests by error code.
    :param response_ratios: response time divided by the ideal response time, of
        complete responses.
    :param refusals_ms: response times of refusals, in milliseconds.
    """

    requests: int
    verdicts: Mapping[str, int]
    codes: Mapping[str, int]
    response_ratios: Percentiles
    refusals_ms: Percentiles

    def count(self, verdict: Verdict) -> int:
        """Return the number of requests with this verdict."""
        return self.verdicts.get(verdict.value, 0)

    def share(self, verdict: Verdict) -> float:
        """Return the share of requests with this verdict."""
        return self.count(verdict) / self.requests if self.requests else 0


@dataclass(frozen=True, slots=True)
class StartReport:
    """Task starts that targets recorded, compared with the responses to callers.

    :param tasks_done: distinct tasks that were started.
    :param doubled: tasks of jobs and non-idempotent requests that were started more
        than once.
    :param repeated: idempotent tasks that were started more than once.
    :param ran_after_refusal: tasks that were started although the response said that
        they did not run.
    :param missing: tasks of complete responses that no target started.
    """

    tasks_done: int
    doubled: int
    repeated: int
    ran_after_refusal: int
    missing: int


def new_histogram() -> HdrHistogram:
    """Return an empty histogram with a precision of three significant digits."""
    return HdrHistogram(1, _HISTOGRAM_MAX, _SIGNIFICANT_DIGITS)


def ideal_ms(arrival: Arrival, slots: int, overhead_ms: float) -> float:
    """Return the response time that idle workers would reach, in milliseconds.

    :param slots: slots of all workers of the service.
    :param overhead_ms: minimum overhead of a request.

    >>> ideal_ms(Arrival(0, 's', ServiceKind.JOB, 'k', [100, 300, 200]), 2, 1)
    301
    >>> ideal_ms(Arrival(0, 's', ServiceKind.JOB, 'k', [300, 300, 300]), 2, 1)
    451.0
    """
    return max(max(arrival.run_ms), sum(arrival.run_ms) / slots) + overhead_ms


def report_requests(
    arrivals: Iterable[Arrival],
    records: Mapping[str, LoadRecord],
    slots_by_service: Mapping[str, int],
    overhead_ms: float,
) -> RequestReport:
    """Summarise the given requests.

    :param records: records by idempotency key.
    :param slots_by_service: slots of all workers, by service.
    :param overhead_ms: minimum overhead of a request.
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
            ideal = ideal_ms(arrival, slots_by_service[arrival.service], overhead_ms)
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
    """Return the run time of all requests divided by the time of all slots.

    It differs from the requested load, and the more so the shorter the run is.

    >>> offered_load([Arrival(0, 's', ServiceKind.JOB, 'k', [500, 500])], 2, 1)
    0.5
    """
    run_ms = sum(sum(arrival.run_ms) for arrival in arrivals)
    return run_ms / (slots * seconds * 1000)


def report_requests_by_service(
    arrivals: list[Arrival],
    records: Mapping[str, LoadRecord],
    slots_by_service: Mapping[str, int],
    overhead_ms: float,
) -> dict[str, RequestReport]:
    """Summarise the requests of each service; see `report_requests`."""
    return {
        service: report_requests(
            [arrival for arrival in arrivals if arrival.service == service],
            records,
            slots_by_service,
            overhead_ms,
        )
        for service in slots_by_service
    }


def report_starts(
    arrivals: Iterable[Arrival],
    records: Mapping[str, LoadRecord],
    starts: Mapping[str, int],
) -> StartReport:
    """Compare the task starts that targets recorded with the responses.

    :param records: records by idempotency key.
    :param starts: how many times each task was started, by task id.
    """
    doubled = 0
    repeated = 0
    ran_after_refusal = 0
    missing = 0
    tasks_done = 0
    for arrival in arrivals:
        counts = [starts.get(task_id, 0) for task_id in task_ids(arrival)]
        started = sum(1 for count in counts if count)
        started_again = sum(1 for count in counts if count > 1)
        tasks_done += started
        if arrival.kind is ServiceKind.IDEMPOTENT:
            repeated += started_again
        else:
            doubled += started_again
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
    """Return the run times of tasks whose complete response arrived in time.

    :param records: records by idempotency key.
    :param seconds: time limit, counted from the start of the load.
    :returns: run times in milliseconds.
    """
    run_ms: list[int] = []
    for arrival in arrivals:
        record = records[arrival.key]
        if record.verdict is Verdict.COMPLETE and record.done_s <= seconds:
            run_ms.extend(arrival.run_ms)
    return run_ms


def send_delay_percentiles(records: Iterable[LoadRecord]) -> Percentiles:
    """Return how late the generator sent the requests, in milliseconds."""
    delays = new_histogram()
    for record in records:
        delays.record_value(max(round(record.late_ms * _MS_SCALE), 0))
    return percentiles(delays, _MS_SCALE)


def percentiles(histogram: HdrHistogram, scale: int) -> Percentiles:
    """Return the percentiles of a histogram.

    :param scale: factor by which the recorded values were multiplied.
    """
    if not histogram.total_count:
        return Percentiles(0, 0, 0, 0)
    return Percentiles(
        p50=histogram.get_value_at_percentile(50) / scale,
        p99=histogram.get_value_at_percentile(99) / scale,
        p999=histogram.get_value_at_percentile(99.9) / scale,
        maximum=histogram.get_max_value() / scale,
    )
