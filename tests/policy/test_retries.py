"""Decisions on retries, the retry budget, and hedging."""

import pytest
from endivetally_config.operator_config import ServiceKind
from endivetally_core.errors import ErrorKind
from endivetally_core.errors import ExecutionState
from endivetally_policy.estimates import RunTimeEstimates
from endivetally_policy.hedging import NEVER
from endivetally_policy.hedging import NoHedging
from endivetally_policy.hedging import QuantileHedging
from endivetally_policy.retries import EndedAttempt
from endivetally_policy.retries import RetryPolicy

IDEMPOTENT = ServiceKind.IDEMPOTENT
NON_IDEMPOTENT = ServiceKind.NON_IDEMPOTENT
JOB = ServiceKind.JOB


def ended(status, kind, refusals=0, starts=1, deadline=10.0):
    return EndedAttempt(status, 'service', kind, refusals, starts, deadline)


class TestDecisions:
    @pytest.mark.parametrize('kind', [IDEMPOTENT, NON_IDEMPOTENT, JOB])
    @pytest.mark.parametrize('refusals', [1, 5, 100])
    def test_refused_task_is_retried(self, kind, refusals):
        decision = RetryPolicy().decide_retry(ended('refused', kind, refusals, 0), 1)
        assert decision.error is None
        assert 0 <= decision.delay_s <= 1

    @pytest.mark.parametrize('status', ['failed', 'unknown'])
    def test_idempotent_task_is_retried(self, status):
        assert RetryPolicy().decide_retry(ended(status, IDEMPOTENT), 1).error is None

    @pytest.mark.parametrize(
        ('status', 'kind', 'starts', 'now', 'error', 'ran'),
        [
            ('failed', NON_IDEMPOTENT, 1, 1, ErrorKind.TASK_FAILED, ExecutionState.RAN),
            ('failed', JOB, 1, 1, ErrorKind.TASK_FAILED, ExecutionState.RAN),
            (
                'unknown',
                NON_IDEMPOTENT,
                1,
                1,
                ErrorKind.OUTCOME_UNKNOWN,
                ExecutionState.UNKNOWN,
            ),
            ('unknown', JOB, 1, 1, ErrorKind.OUTCOME_UNKNOWN, ExecutionState.UNKNOWN),
            ('running', JOB, 1, 1, ErrorKind.OUTCOME_UNKNOWN, ExecutionState.UNKNOWN),
            ('failed', IDEMPOTENT, 4, 1, ErrorKind.TASK_FAILED, ExecutionState.RAN),
            (
                'unknown',
                IDEMPOTENT,
                4,
                1,
                ErrorKind.OUTCOME_UNKNOWN,
                ExecutionState.UNKNOWN,
            ),
            (
                'cancelled',
                IDEMPOTENT,
                1,
                1,
                ErrorKind.CANCELLED,
                ExecutionState.UNKNOWN,
            ),
            ('cancelled', JOB, 1, 1, ErrorKind.CANCELLED, ExecutionState.UNKNOWN),
            (
                'refused',
                NON_IDEMPOTENT,
                0,
                10,
                ErrorKind.DEADLINE_EXCEEDED,
                ExecutionState.NOT_RUN,
            ),
            (
                'refused',
                IDEMPOTENT,
                1,
                10,
                ErrorKind.DEADLINE_EXCEEDED,
                ExecutionState.UNKNOWN,
            ),
            (
                'failed',
                IDEMPOTENT,
                1,
                10,
                ErrorKind.DEADLINE_EXCEEDED,
                ExecutionState.RAN,
            ),
            ('failed', JOB, 1, 10, ErrorKind.TASK_FAILED, ExecutionState.RAN),
        ],
    )
    def test_task_that_is_not_retried_is_answered_with_an_error(
        self, status, kind, starts, now, error, ran
    ):
        decision = RetryPolicy().decide_retry(ended(status, kind, 0, starts), now)
        assert (decision.error, decision.ran) == (error, ran)


class TestBudget:
    def test_retries_of_a_failing_service_are_limited_to_the_budget(self):
        policy = RetryPolicy(share=0.1, burst=10)
        retried = 0
        for _ in range(1000):
            policy.earn_retries('service')
            decision = policy.decide_retry(ended('failed', IDEMPOTENT), 1)
            retried += int(decision.error is None)
        assert 100 <= retried <= 110

    def test_refusals_use_no_budget(self):
        policy = RetryPolicy(share=0, burst=0)
        assert policy.decide_retry(ended('refused', IDEMPOTENT, 1, 0), 1).error is None
        assert policy.decide_retry(ended('failed', IDEMPOTENT), 1).error is not None

    def test_services_do_not_share_a_budget(self):
        policy = RetryPolicy(share=0, burst=1)
        assert policy.budget_for('one').spend()
        assert not policy.budget_for('one').spend()
        assert policy.budget_for('two').spend()


class TestHedging:
    def hedging(self, observations=200, burst=2):
        estimates = RunTimeEstimates()
        for number in range(observations):
            estimates.observe('service', 100 if number % 10 else 1000)
        return QuantileHedging(estimates, RetryPolicy(share=0, burst=burst))

    @pytest.mark.parametrize(
        ('kind', 'deadline', 'observations', 'hedged'),
        [
            (IDEMPOTENT, 10, 200, True),
            (NON_IDEMPOTENT, 10, 200, False),
            (JOB, 10, 200, False),
            (IDEMPOTENT, 1, 200, False),
            (IDEMPOTENT, 10, 50, False),
        ],
        ids=['idempotent', 'non-idempotent', 'job', 'no time left', 'not learned'],
    )
    def test_only_idempotent_requests_with_time_left_are_hedged(
        self,
        kind,
        deadline,
        observations,
        hedged,
    ):
        policy = self.hedging(observations)
        hedge_at = policy.hedge_at('service', kind, 0, deadline)
        assert (hedge_at != NEVER) is hedged

    def test_hedges_use_the_retry_budget(self):
        policy = self.hedging(burst=2)
        assert [policy.spend_budget('service') for _ in range(3)] == [True, True, False]

    def test_no_hedging_never_hedges(self):
        assert NoHedging().hedge_at('service', IDEMPOTENT, 0, 10) == NEVER
        assert not NoHedging().spend_budget('service')
