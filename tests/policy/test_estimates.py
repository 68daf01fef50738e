"""Run times learned from observed tasks."""

import pytest
from endivetally_policy.estimates import RunTimeEstimate
from endivetally_policy.estimates import RunTimeEstimates


class TestRunTimes:
    @pytest.mark.parametrize('declared_ms', [1, 100, 60_000])
    def test_wrong_prior_is_corrected(self, declared_ms):
        estimates = RunTimeEstimates()
        estimates.set_prior('lookup', declared_ms)
        for number in range(200):
            estimates.observe('lookup', 100 + number % 10)
        learned = estimates.estimate_for('lookup')
        assert learned.mean_s == pytest.approx(0.1045, rel=0.1)
        assert 0.1 <= learned.p50_s <= learned.p95_s <= 0.11

    def test_prior_holds_until_enough_tasks_were_observed(self):
        estimate = RunTimeEstimate(0.2)
        assert estimate.mean_s == estimate.p50_s == 0.2
        assert estimate.p95_s == pytest.approx(0.6)
        estimate.observe(5)
        assert estimate.p50_s == 0.2

    def test_later_prior_does_not_replace_observations(self):
        estimates = RunTimeEstimates()
        for _ in range(50):
            estimates.observe('lookup', 100)
        estimates.set_prior('lookup', 9000)
        assert estimates.estimate_for('lookup').mean_s == pytest.approx(0.1, rel=0.2)

    def test_estimate_follows_a_change_of_the_run_time(self):
        estimate = RunTimeEstimate(0.1)
        for run_s in [0.1] * 500 + [1.0] * 600:
            estimate.observe(run_s)
        assert estimate.mean_s == pytest.approx(1, rel=0.05)
        assert estimate.p50_s == 1
