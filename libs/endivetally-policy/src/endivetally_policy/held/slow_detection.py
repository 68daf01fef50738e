"""Whether a target is slow, judged while its runs still run."""

import math
import statistics
from collections.abc import Collection
from collections.abc import Iterable
from typing import Final

# Run times of a slow target relative to a sound one, the mildest slowness that
# is worth moving runs for: what is lost by a move is about one run time.
SLOW_STRETCH: Final = 4.0
# Standard deviation of the logarithm of a job's run time relative to the
# expected one on a sound target. Declared times and means are each off by 0.4.
STRETCH_SPREAD: Final = 0.5
# Logarithm of the odds from which a target counts as slow. Two jobs nearly at
# the slow stretch reach it. One alone never does: it may be longer than declared.
SLOW_EVIDENCE: Final = 5.0


def slow_evidence(stretches: Iterable[Collection[float]]) -> float:
    """Return the logarithm of the odds that a target is slow rather than sound.

    Tasks of one job share its error of declaration and count once, and no job
    counts for more than one at just the slow stretch or as declared.

    :param stretches: for each job, its tasks' run times relative to expected ones.

    >>> slow_evidence([[4.0], [4.0]]) > SLOW_EVIDENCE
    True
    >>> slow_evidence([[40.0, 38.0, 42.0]]) > SLOW_EVIDENCE
    False
    """
    shift = math.log(SLOW_STRETCH)
    medians = (statistics.median(of_job) for of_job in stretches)
    return sum(
        shift * (min(max(math.log(median), 0), shift) - shift / 2) / STRETCH_SPREAD**2
        for median in medians
    )
