"""Detects slow targets from the progress of runs that have not ended yet."""

import math
import statistics
from collections.abc import Collection
from collections.abc import Iterable
from typing import Final

# Ratio of actual to expected run times from which it pays to move runs to another
# target. A move costs about one run time.
SLOW_RATIO: Final = 4.0
# Standard deviation of the logarithm of that ratio over the jobs of a healthy
# target. Declared times and observed means are each off by 0.4.
LOG_RATIO_DEVIATION: Final = 0.5
# Log odds from which a target counts as slow. Two jobs with nearly the slow ratio
# reach it. A single job never does: it may just run longer than declared.
SLOW_LOG_ODDS: Final = 5.0


def slow_log_odds(ratios: Iterable[Collection[float]]) -> float:
    """Return the log odds that a target is slow rather than healthy.

    The tasks of one job share the error of its declared time, so a job counts
    once, with the median of its ratios. The medians are clamped between 1 and
    `SLOW_RATIO`, so that no single job decides.

    :param ratios: for each job, its tasks' run times relative to expected ones.

    >>> slow_log_odds([[4.0], [4.0]]) > SLOW_LOG_ODDS
    True
    >>> slow_log_odds([[40.0, 38.0, 42.0]]) > SLOW_LOG_ODDS
    False
    """
    shift = math.log(SLOW_RATIO)
    medians = (statistics.median(job_ratios) for job_ratios in ratios)
    return sum(
        shift
        * (min(max(math.log(median), 0), shift) - shift / 2)
        / LOG_RATIO_DEVIATION**2
        for median in medians
    )
