"""Predicts run times from declared and observed run times."""

from endivetally_policy.estimates import RunTimeEstimate

# Weight of the declared run time; the observed mean has the rest. From job to job,
# declared times differ from actual ones by some tens of percent. Actual times differ
# as much from the mean of their kind, so both have the same weight.
DECLARED_WEIGHT = 0.5
# Greatest ratio of actual to declared times, and its inverse the smallest. Others say
# nothing about the next task of the kind.
MAX_RATIO = 100.0


class RunTimePredictor:
    """Predicts run times per kind of task.

    The prediction is the mean of the declared time, corrected by the observed
    ratio of actual to declared times, and the observed mean run time.
    """

    def __init__(self) -> None:
        self._ratios: dict[str, RunTimeEstimate] = {}
        self._means: dict[str, RunTimeEstimate] = {}

    def predict(self, kind: str, declared_s: float) -> float:
        """Return the expected run time of a task, in seconds.

        :param declared_s: 0 or less when none was declared.

        >>> RunTimePredictor().predict('lookup', 0.25)
        0.25
        """
        mean = self._means.get(kind)
        if mean is None or declared_s <= 0:
            return declared_s if declared_s > 0 else 0.5
        corrected_s = declared_s * self._ratios[kind].mean_s
        return DECLARED_WEIGHT * corrected_s + (1 - DECLARED_WEIGHT) * mean.mean_s

    def observe(
        self, kind: str, declared_s: float, run_s: float, rate: float = 1.0
    ) -> None:
        """Record the run time of a task that succeeded.

        :param rate: rate of the target. Predictions hold for a target of rate 1.
        """
        run_s /= rate
        if kind not in self._means:
            self._means[kind] = RunTimeEstimate(run_s)
            self._ratios[kind] = RunTimeEstimate(1.0)
        self._means[kind].observe(run_s)
        if declared_s > 0:
            # A quotient by a tiny number may be infinite.
            ratio = run_s / max(declared_s, run_s / MAX_RATIO)
            self._ratios[kind].observe(max(ratio, 1 / MAX_RATIO))
