"""Run times to expect, from declared ones that are off and from what was seen."""

from endivetally_policy.estimates import RunTimeEstimate

# Declared times differ from the true ones by some tens of percent from job to
# job, true ones by as much from the mean of their kind: both count half.
DECLARED_SHARE = 0.5


class RunTimePredictor:
    """Learns by kind how run times relate to declared ones."""

    def __init__(self) -> None:
        self._ratios: dict[str, RunTimeEstimate] = {}
        self._means: dict[str, RunTimeEstimate] = {}

    def predict(self, kind: str, declared_s: float) -> float:
        """Return the run time to expect of a task.

        >>> RunTimePredictor().predict('lookup', 0.25)
        0.25
        """
        mean = self._means.get(kind)
        if mean is None or declared_s <= 0:
            return declared_s if declared_s > 0 else 0.5
        corrected_s = declared_s * self._ratios[kind].mean_s
        return DECLARED_SHARE * corrected_s + (1 - DECLARED_SHARE) * mean.mean_s

    def observe(self, kind: str, declared_s: float, run_s: float) -> None:
        """Take in the run time of a task that was done."""
        if kind not in self._means:
            self._means[kind] = RunTimeEstimate(declared_s)
            self._ratios[kind] = RunTimeEstimate(1.0)
        self._means[kind].observe(run_s)
        if declared_s > 0:
            self._ratios[kind].observe(run_s / declared_s)
