"""Which tasks are given up, held or kept apart after crashes of their targets."""

import random

import pytest
from endivetally_policy.held import Crash
from endivetally_policy.held import CrashedRun
from endivetally_policy.held import CrashHistory
from endivetally_policy.held import CrashVerdict
from endivetally_policy.held import choose_confinement
from endivetally_policy.held.crashes import CONFINEMENT_S
from endivetally_policy.held.crashes import MAX_CRASHES
from endivetally_policy.held.crashes import REMEMBERED_CRASHES
from endivetally_policy.held.crashes import RETENTION_S
from endivetally_policy.held.crashes import attribute_crash

BYSTANDER_AGES_S = (0.09, 0.2, 0.3, 0.5, 0.8, 1.2)


def create_crash(ages_s, *, confirmed=True, crashed_at=0.0, services=None):
    """Return a crash of runs with given ages, by task."""
    runs = tuple(
        CrashedRun(task, (services or {}).get(task, 'service'), age_s)
        for task, age_s in ages_s.items()
    )
    return Crash(crashed_at, runs, confirmed)


def beside_others(crash_number, **ages_s):
    others = {
        f'other-{crash_number}-{number}': age_s
        for number, age_s in enumerate(BYSTANDER_AGES_S)
    }
    return {**others, **ages_s}


def assess(crashes, task='a'):
    history = CrashHistory()
    for number, crash in enumerate(crashes):
        history.record(number, crash)
    return history.find_verdict(task)


@pytest.mark.parametrize(
    ('ages_s', 'confirmed', 'verdict'),
    [
        # A task that ran when one target crashed is never given up.
        ([0.003], [True], CrashVerdict.SUSPECT),
        ([1.5], [True], CrashVerdict.CLEAR),
        ([0.26], [True], CrashVerdict.CLEAR),
        # A start right before both crashes tells that the task has caused them.
        ([0.003, 0.01], [True, True], CrashVerdict.GUILTY),
        ([0.003, 0.01], [True, False], CrashVerdict.HELD),
        ([0.003, 0.01], [False, False], CrashVerdict.HELD),
        # Two crashes while it had run for long may have had other causes.
        ([0.7, 0.9], [True, True], CrashVerdict.SUSPECT),
        ([0.7, 0.003], [True, True], CrashVerdict.CLEAR),
        # An innocent task was beside guilty ones three times.
        ([3.6, 0.011, 1.2], [True, True, True], CrashVerdict.CLEAR),
        ([0.7, 0.9], [True, False], CrashVerdict.SUSPECT),
        # A task that crashes its targets after a second is given up after three.
        ([0.7, 0.9, 1.4], [True, True, True], CrashVerdict.GUILTY),
        ([0.7, 0.9, 1.4], [True, False, True], CrashVerdict.HELD),
        ([1.0, 1.01, 1.0], [True, True, True], CrashVerdict.GUILTY),
        # No task is started again and again, whatever the cause of the crashes.
        ([3.6, 0.011, 1.2, 0.5], [True, True, True, True], CrashVerdict.GUILTY),
        ([3.6, 0.011, 1.2, 0.5], [True, False, True, True], CrashVerdict.HELD),
    ],
)
def test_verdict_depends_on_ages_and_certainty(ages_s, confirmed, verdict):
    crashes = [
        create_crash(beside_others(number, a=age_s), confirmed=certain)
        for number, (age_s, certain) in enumerate(zip(ages_s, confirmed, strict=True))
    ]
    assert assess(crashes) is verdict


@pytest.mark.parametrize(
    ('observed', 'verdict'),
    [
        ([True, True], CrashVerdict.GUILTY),
        ([True, False], CrashVerdict.SUSPECT),
        ([False, False, True], CrashVerdict.SUSPECT),
        ([False, True, True], CrashVerdict.GUILTY),
        ([False] * MAX_CRASHES, CrashVerdict.GUILTY),
    ],
)
def test_start_that_may_not_have_been_carried_out_is_no_proof(observed, verdict):
    crashes = [
        Crash(0.0, (CrashedRun('a', 'service', 0.01, was_observed),), confirmed=True)
        for was_observed in observed
    ]
    assert assess(crashes) is verdict


def test_dismissed_crash_is_not_counted():
    history = CrashHistory()
    history.record(1, create_crash({'a': 0}))
    history.record(2, create_crash({'a': 0}, confirmed=False))
    assert history.find_verdict('a') is CrashVerdict.HELD
    history.dismiss(2)
    assert history.find_verdict('a') is CrashVerdict.SUSPECT
    history.dismiss(1)
    assert history.find_verdict('a') is CrashVerdict.CLEAR
    assert not len(history)


def test_crash_that_is_reported_again_counts_once():
    history = CrashHistory()
    for _ in range(3):
        history.record(1, create_crash({'a': 0}))
    assert history.find_verdict('a') is CrashVerdict.SUSPECT


def test_late_suspicion_does_not_make_a_certain_crash_uncertain():
    history = CrashHistory()
    for crash_id in (1, 2):
        history.record(crash_id, create_crash({'a': 0}))
        history.record(crash_id, create_crash({'a': 0}, confirmed=False))
    assert history.find_verdict('a') is CrashVerdict.GUILTY


def test_crash_is_attributed_to_those_that_are_left_when_others_end_well():
    history = CrashHistory()
    history.record(1, create_crash({'a': 0.2, 'b': 0.001, 'c': 0.001}))
    assert history.find_verdict('a') is CrashVerdict.CLEAR
    history.clear_task('b')
    history.clear_task('c')
    assert history.get_guilt('a') > 0.9
    assert history.find_verdict('a') is CrashVerdict.SUSPECT
    assert history.find_verdict('b') is CrashVerdict.CLEAR


@pytest.mark.parametrize('later_s', [0, RETENTION_S - 1])
def test_memory_is_bounded(later_s):
    history = CrashHistory()
    for number in range(2 * REMEMBERED_CRASHES):
        history.record(number, create_crash({number: 0.1, 'a': 0.1}))
    history.remove_expired(later_s)
    assert len(history) == REMEMBERED_CRASHES
    history.remove_expired(RETENTION_S + 1)
    assert not len(history)
    assert history.find_verdict('a') is CrashVerdict.CLEAR


def crash_twice(history, *, first_at=0.0, second_at=1.1):
    """Record two crashes that one task of a service has caused."""
    services = {'a': 'crashing'}
    for number, crashed_at in enumerate((first_at, second_at)):
        history.record(
            f'crash at {crashed_at}',
            create_crash(
                beside_others(f'{crashed_at}-{number}', a=0.005),
                confirmed=False,
                crashed_at=crashed_at,
                services=services,
            ),
        )


def test_service_is_confined_from_the_second_crash_of_a_task_until_it_is_quiet():
    history = CrashHistory()
    crash_twice(history)
    assert history.find_confined(1.2) == {'crashing'}
    history.record(
        'another task',
        create_crash({'b': 0.005}, crashed_at=8, services={'b': 'crashing'}),
    )
    assert history.find_confined(8 + CONFINEMENT_S - 0.1) == {'crashing'}
    assert history.find_confined(8 + CONFINEMENT_S) == set()


@pytest.mark.parametrize('seed', range(5))
def test_ordinary_crashes_confine_no_service_and_give_nothing_up(seed):
    # Guards against a fleet that loses targets for its own reasons, a fifth of them at
    # a time, as often as tasks could crash them.
    rng = random.Random(seed)
    history = CrashHistory()
    for number in range(30):
        ages_s = {f'{number}-{run}': rng.uniform(0, 0.9) for run in range(12)}
        services = {task: rng.choice(('x', 'y', 'z')) for task in ages_s}
        crash = create_crash(ages_s, crashed_at=number // 3, services=services)
        history.record(number, crash)
        assert not history.find_confined(number // 3)
        assert CrashVerdict.GUILTY not in map(history.find_verdict, ages_s)


@pytest.mark.parametrize('delay_s', [0.001, 0.03, 0.3])
@pytest.mark.parametrize('seed', range(5))
def test_guilty_task_is_told_from_those_beside_it(seed, delay_s):
    # The next run of the guilty task is kept apart from other suspects, beside runs
    # that began before it.
    rng = random.Random(seed)
    history = CrashHistory()
    given_up = set()
    for job in range(40):
        for attempt in range(MAX_CRASHES):
            ages_s = {f'{job}-{attempt}-{run}': rng.uniform(0, 0.9) for run in range(9)}
            if attempt:
                ages_s = {task: age_s + delay_s for task, age_s in ages_s.items()}
            ages_s[f'bad-{job}'] = delay_s
            history.record((job, attempt), create_crash(ages_s))
            given_up |= {
                task
                for task in ages_s
                if history.find_verdict(task) is CrashVerdict.GUILTY
            }
            if f'bad-{job}' in given_up:
                break
    assert given_up == {f'bad-{job}' for job in range(40)}


@pytest.mark.parametrize(
    ('count', 'expected'), [(0, 0), (1, 1), (2, 1), (8, 2), (11, 3), (73, 19)]
)
def test_confinement_takes_a_bounded_share_of_the_targets(count, expected):
    names = [f'10.0.0.{number}:7000' for number in range(count)]
    chosen = choose_confinement(names)
    assert len(chosen) == expected
    assert chosen == choose_confinement(reversed(names))


def test_shares_of_a_crash_add_up_to_one():
    runs = create_crash({'a': -1, 'b': 0, 'c': 0.5, 'd': 1e9}).runs
    presences = attribute_crash(runs)
    shares = {task: presence.share for task, presence in presences.items()}
    assert sum(shares.values()) == pytest.approx(1)
    assert shares['a'] == shares['b'] > shares['c'] > shares['d']
