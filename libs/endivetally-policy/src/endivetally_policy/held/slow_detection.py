"""Whether a target is slow, judged while its runs still run."""

import math
import statistics
from collections.abc import Collection
from collections.abc import Iterable
from typing import Final

# Run times of a slow target relative to a sound one, the mildest slowness that
# is worth moving runs for: what is lost by a move is about one run time.
SLOW_RATIO: Final = 4.0
# Standard deviation of the logarithm of a job's run time relative to the
# expected one on a sound target. Declared times and means are each off by 0.4.
LOG_RATIO_DEVIATION: Final = 0.5
# Logarithm of the odds from which a target counts as slow. Two jobs nearly at
# the slow stretch reach it. One alone never does: it may be longer than declared.
SLOW_LOG_ODDS: Final = 5.0


def slow_log_odds(ratios: Iterable[Collection[float]]) -> float:
    """Return the logarithm of the odds that a target is slow rather than sound.

    Tasks of one job share its error of declaration and count once, and no job
    counts for more than one at just the slow stretch or as declared.

    :param ratios: for each job, its tasks' run times relative to expected ones.

    >>> slow_log_odds([[4.0], [4.0]]) > SLOW_LOG_ODDS
    True
    >>> slow_log_odds([[40.0, 38.0, 42.0]]) > SLOW_LOG_ODDS
    False
    """
    shift = math.log(SLOW_RATIO)
    medians = (statistics.median(of_job) for of_job in ratios)
    return sum(
        shift
        * (min(max(math.log(median), 0), shift) - shift / 2)
        / LOG_RATIO_DEVIATION**2
        for median in medians
    )
