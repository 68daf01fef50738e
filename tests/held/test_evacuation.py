"""Emptied data centres: no task starts there once the evacuation is in force."""

import asyncio
import itertools

import pytest
from differential.clock import run_virtually
from endivetally_core.events import Event
from endivetally_core.events import EventLog
from endivetally_core.joining import Address
from endivetally_held.evacuation import AgentEvacuation
from endivetally_held.jobs import JobResult
from endivetally_held.messages import Evacuations
from endivetally_table.table import Put
from endivetally_table.table import Transaction
from held.cluster import job
from held.evacuation_cluster import EVACUATION_S
from held.evacuation_cluster import EvacuationCluster

# Messages and a start command under way; no call takes longer in the cluster.
UNDER_WAY_S = 0.1
LONG_S = 3


def run_scenario(scenario, **options):
    async def run():
        cluster = EvacuationCluster(**options)
        await cluster.start()
        try:
            await scenario(cluster)
            assert cluster.run_history.violations == []
        finally:
            cluster.resume_all()

    run_virtually(run())


async def submit_many(cluster, entry, prefix='j', count=2, **options):
    return await asyncio.gather(
        *(
            cluster.submit(entry, job(f'{prefix}{number}', **options))
            for number in range(count)
        )
    )


def test_an_entry_starts_nothing_in_an_emptied_data_centre():
    async def scenario(cluster):
        await submit_many(cluster, 'entry-0')
        assert cluster.count_starts('north')
        await cluster.evacuate('north')
        await asyncio.sleep(UNDER_WAY_S)
        emptied_at = cluster.loop.time()
        responses = await submit_many(cluster, 'entry-0', 'k', timeout_s=9)
        assert {each.result for each in responses} == {JobResult.COMPLETED}
        assert not cluster.count_starts('north', emptied_at)
        # A data centre that is emptied keeps its entries ready.
        assert cluster.entries['entry-0'].unready_reason() == ''

    run_scenario(scenario)


def test_an_entry_sends_nothing_before_the_agent_has_answered():
    """Between the two, an agent still counts as one that accepts runs."""

    async def scenario(cluster):
        sent = record_lines(cluster.events, Event.TASK_SENT)
        cluster.network.partition('agent-0', 'entry-0')
        await cluster.evacuate('north')
        await asyncio.sleep(0.01)
        assert await submit_many(cluster, 'entry-0')
        assert {line['agent'].partition('.')[0] for line in sent} == {'agent-1'}

    run_scenario(scenario)


def test_a_withdrawn_evacuation_ends_at_once():
    async def scenario(cluster):
        await cluster.evacuate('north')
        await asyncio.sleep(1)
        await cluster.withdraw('north')
        await asyncio.sleep(UNDER_WAY_S)
        await submit_many(cluster, 'entry-0')
        assert cluster.count_starts('north')

    run_scenario(scenario)


def test_running_tasks_end_by_themselves():
    async def scenario(cluster):
        running = asyncio.ensure_future(
            cluster.submit('entry-0', job('a', 8, LONG_S * 2, LONG_S))
        )
        await asyncio.sleep(0.5)
        assert cluster.count_starts('north')
        await cluster.evacuate('north')
        assert (await running).result is JobResult.COMPLETED
        assert len(cluster.run_history.runs) == 8

    run_scenario(scenario, run_s=LONG_S)


@pytest.mark.parametrize('entries', [1, 2])
def test_an_agent_none_of_whose_entries_reaches_the_store_reads_it(entries):
    """An entry with an old copy of the rows goes on to send tasks."""

    async def scenario(cluster):
        cluster.cut_from_store.update(cluster.entry_names)
        await cluster.evacuate('north')
        await asyncio.sleep(EVACUATION_S)
        emptied_at = cluster.loop.time()
        responses = await submit_many(cluster, 'entry-0', timeout_s=9)
        assert {each.result for each in responses} == {JobResult.COMPLETED}
        assert not cluster.count_starts('north', emptied_at)
        reads = [at for at in cluster.tables['agent-0'].reads if at > emptied_at]
        lasted_s = cluster.loop.time() - emptied_at
        assert len(reads) <= lasted_s + 1
        cluster.cut_from_store.clear()
        await cluster.withdraw('north')
        await asyncio.sleep(3)
        read_before = len(cluster.tables['agent-0'].reads)
        await asyncio.sleep(5)
        assert len(cluster.tables['agent-0'].reads) == read_before
        await submit_many(cluster, 'entry-0', 'k')
        assert cluster.count_starts('north', emptied_at)

    run_scenario(scenario, entries=entries)


def test_an_agent_whose_entry_reaches_the_store_does_not_read_it():
    async def scenario(cluster):
        await asyncio.sleep(2)
        read_before = len(cluster.tables['agent-0'].reads)
        cluster.cut_from_store.add('entry-0')
        await asyncio.sleep(8)
        assert len(cluster.tables['agent-0'].reads) == read_before

    run_scenario(scenario)


def test_a_failed_read_changes_nothing():
    async def scenario(cluster):
        await cluster.evacuate('north')
        await asyncio.sleep(1)
        cluster.cut_from_store.update(cluster.entry_names, cluster.agent_names)
        await asyncio.sleep(8)
        emptied_at = cluster.loop.time()
        await submit_many(cluster, 'entry-0')
        assert not cluster.count_starts('north', emptied_at)
        assert cluster.count_starts('south', emptied_at)

    run_scenario(scenario)


def test_runs_that_wait_at_an_agent_are_refused_and_run_elsewhere():
    async def scenario(cluster):
        responses = asyncio.ensure_future(
            submit_many(cluster, 'entry-0', count=10, timeout_s=30, estimate_s=1)
        )
        await asyncio.sleep(0.2)
        assert cluster.agents['agent-0'].waiting_count
        await cluster.evacuate('north')
        await asyncio.sleep(UNDER_WAY_S)
        emptied_at = cluster.loop.time()
        assert not cluster.agents['agent-0'].waiting_count
        assert {each.result for each in await responses} <= {
            JobResult.COMPLETED,
            JobResult.REFUSED,
        }
        assert not cluster.count_starts('north', emptied_at)

    run_scenario(scenario, run_s=1)


def test_an_entry_that_has_just_started_starts_nothing_there():
    async def scenario(cluster):
        await cluster.evacuate('north')
        await asyncio.sleep(1)
        emptied_at = cluster.loop.time()
        cluster.nodes['entry-0'].kill()
        cluster.start_entry('entry-0')
        await asyncio.sleep(0.02)
        await submit_many(cluster, 'entry-0', timeout_s=9)
        assert not cluster.count_starts('north', emptied_at)
        assert cluster.count_starts('south', emptied_at)

    run_scenario(scenario)


@pytest.mark.parametrize(
    'cut', [(), ('agent-0',), ('entry-0',), ('entry-0', 'entry-1')]
)
def test_an_agent_that_joins_between_accepts_nothing(cut):
    """It may learn of the evacuation from its entries or from the store only."""

    async def scenario(cluster):
        cluster.cut_from_store.update(cut)
        await cluster.evacuate('north')
        await asyncio.sleep(EVACUATION_S)
        emptied_at = cluster.loop.time()
        cluster.nodes['agent-0'].kill()
        cluster.start_agent('agent-0')
        await asyncio.sleep(3)
        await submit_many(cluster, 'entry-0', timeout_s=9)
        assert not cluster.count_starts('north', emptied_at)
        assert cluster.agents['agent-0'].evacuation.in_force

    run_scenario(scenario)


@pytest.mark.parametrize('evacuated', [True, False])
def test_rows_are_right_after_the_change_history_was_lost(evacuated):
    """An entry and an agent must not keep what a snapshot no longer has."""

    async def scenario(cluster):
        if not evacuated:
            await cluster.evacuate('north')
        await asyncio.sleep(1)
        cluster.cut_from_store.add('entry-0')
        await asyncio.sleep(3)
        await (cluster.evacuate if evacuated else cluster.withdraw)('north')
        cluster.operator_table.discard_history()
        cluster.cut_from_store.clear()
        await asyncio.sleep(2)
        changed_at = cluster.loop.time()
        await submit_many(cluster, 'entry-0', timeout_s=9)
        assert bool(cluster.count_starts('north', changed_at)) is not evacuated

    run_scenario(scenario, entries=1)


def test_an_evacuation_that_is_requested_again_is_not_missed():
    """The entry reads the withdrawal and the second request in one answer."""

    async def scenario(cluster):
        await cluster.evacuate('north')
        await asyncio.sleep(1)
        cluster.cut_from_store.update(cluster.entry_names, cluster.agent_names)
        await asyncio.sleep(3)
        await cluster.withdraw('north')
        await cluster.evacuate('north')
        await asyncio.sleep(EVACUATION_S)
        cluster.cut_from_store.difference_update(cluster.entry_names)
        await asyncio.sleep(2)
        emptied_at = cluster.loop.time()
        responses = await submit_many(cluster, 'entry-0', timeout_s=9)
        assert {each.result for each in responses} == {JobResult.COMPLETED}
        assert not cluster.count_starts('north', emptied_at)

    run_scenario(scenario, entries=1)


def test_an_agent_follows_the_newest_version_when_its_source_is_lost():
    """One entry reads an evacuation and dies; the other sees it only withdrawn."""

    async def scenario(cluster):
        cluster.cut_from_store.add('entry-0')
        await asyncio.sleep(3)
        await cluster.evacuate('north')
        await asyncio.sleep(1)
        assert cluster.agents['agent-0'].evacuation.in_force
        cluster.nodes['entry-1'].kill()
        await cluster.withdraw('north')
        cluster.cut_from_store.clear()
        await asyncio.sleep(3)
        assert not cluster.agents['agent-0'].evacuation.in_force

    run_scenario(scenario)


@pytest.mark.parametrize('order', [*itertools.permutations(range(3))])
@pytest.mark.parametrize('newest', [[], ['north']])
def test_an_agent_keeps_the_set_with_the_highest_version(order, newest):
    """Entries may tell it what they have read long ago."""
    events = EventLog('test', 'test', write=lambda lines: None)
    changes = []
    evacuation = AgentEvacuation('north', events, lambda: changes.append(None))
    messages = [
        Evacuations(5, ['north', 'south'], True),
        Evacuations(7, ['south'], False),
        Evacuations(9, newest, False),
    ]
    for number in order:
        evacuation.handle_message(number, messages[number])
    assert evacuation.in_force is bool(newest)
    assert bool(len(changes) % 2) is bool(newest)
    # Only the first of them reaches the store.
    assert not evacuation.store_needed.is_set()
    evacuation.remove_entry(0)
    assert evacuation.store_needed.is_set()


@pytest.mark.parametrize('emptied', [True, False])
@pytest.mark.parametrize('first_is_right', [True, False])
@pytest.mark.parametrize('cut', [True, False])
def test_a_wrong_set_of_the_same_version_is_not_kept(cut, first_is_right, emptied):
    """An agent kept the first set of a version, right or wrong."""

    async def scenario(cluster):
        evacuation = cluster.agents['agent-0'].evacuation
        await (cluster.evacuate if emptied else cluster.withdraw)('north')
        await asyncio.sleep(1)
        version = evacuation.current.version + 1
        await cluster.operator_table.commit(Transaction((), (Put('other', b'x'),)))
        cluster.cut_from_store.update(cluster.agent_names if cut else ())
        right = ['north'] if emptied else []
        wrong = [] if emptied else ['north']
        for data_centres in [right, wrong] if first_is_right else [wrong, right]:
            message = Evacuations(version, data_centres, True)
            evacuation.handle_message(str(data_centres), message)
        # Without an answer of the store, nothing is started.
        assert evacuation.in_force
        await asyncio.sleep(2)
        assert evacuation.in_force is (emptied or cut)
        assert evacuation.store_needed.is_set() is cut
        evacuation.handle_message('late', Evacuations(version, wrong, True))
        assert evacuation.in_force is (emptied or cut)
        assert cluster.events.event_counts[Event.EVACUATION_DISPUTED] == 1
        reads = len(cluster.tables['agent-0'].reads)
        await asyncio.sleep(2)
        assert bool(len(cluster.tables['agent-0'].reads) - reads) is cut

    run_scenario(scenario, entries=0)


@pytest.mark.parametrize('change', ['withdraw', 'evacuate'])
def test_an_entry_passes_on_changes_whose_steps_it_has_not_seen(change):
    """Its own set stays the same, but an agent got another one from a lost entry."""

    async def scenario(cluster):
        emptied_first = change == 'evacuate'
        if emptied_first:
            await cluster.evacuate('north')
            await asyncio.sleep(1)
        cluster.slow_at_store.add('entry-0')
        cluster.cut_from_store.update(cluster.agent_names)
        await asyncio.sleep(3)
        await (cluster.withdraw if emptied_first else cluster.evacuate)('north')
        await asyncio.sleep(UNDER_WAY_S)
        assert cluster.agents['agent-0'].evacuation.in_force is not emptied_first
        await (cluster.evacuate if emptied_first else cluster.withdraw)('north')
        cluster.nodes['entry-1'].kill()
        await asyncio.sleep(3)
        assert cluster.agents['agent-0'].evacuation.in_force is emptied_first

    run_scenario(scenario)


def test_an_agent_reports_that_it_accepts_nothing():
    """An entry may not know what its agent has read from the store."""

    async def scenario(cluster):
        await cluster.evacuate('north')
        await asyncio.sleep(2)
        peers = cluster.entries['entry-0'].connections.peers.values()
        accepting = {peer.load.data_centre: peer.load.accepting for peer in peers}
        assert accepting == {'north': False, 'south': True}

    run_scenario(scenario, enabled=('agent',))


@pytest.mark.parametrize(
    ('written', 'remarks'),
    [
        (('north', b'{}'), []),
        (('north', b'nonsense'), ['malformed_value']),
        (('north', b'[' * 200_000), ['malformed_value']),
        (('nowhere', b'{}'), ['unknown_data_centre']),
        (('nowhere', b''), ['malformed_value', 'unknown_data_centre']),
    ],
)
def test_only_the_key_of_a_row_counts_and_oddities_are_logged_once(written, remarks):
    async def scenario(cluster):
        data_centre, content = written
        lines = record_lines(cluster.events, Event.EVACUATION_APPLIED)
        await cluster.evacuate(data_centre, content=content)
        await cluster.operator_table.commit(Transaction((), (Put('other', b'x'),)))
        await asyncio.sleep(1)
        entry_lines = [line for line in lines if 'remarks' in line]
        assert [line['remarks'] for line in entry_lines] == [remarks]
        for agent in cluster.agents.values():
            in_force = agent.evacuation.in_force
            assert in_force is (agent.evacuation.data_centre == data_centre)

    run_scenario(scenario, entries=1)


@pytest.mark.parametrize(
    ('wait_s', 'remarks'), [(1, ['withdrawn_early']), (EVACUATION_S + 1, [])]
)
def test_repeated_rows_and_early_withdrawals_are_logged(wait_s, remarks):
    async def scenario(cluster):
        lines = record_lines(cluster.events, Event.EVACUATION_APPLIED)
        await cluster.evacuate('north')
        await asyncio.sleep(0.1)
        await cluster.evacuate('north')
        await asyncio.sleep(wait_s)
        await cluster.withdraw('north')
        await asyncio.sleep(1)
        found = [line['remarks'] for line in lines if 'remarks' in line]
        assert found == [[], ['repeated'], remarks]
        assert not cluster.agents['agent-0'].evacuation.in_force

    run_scenario(scenario, entries=1)


@pytest.mark.parametrize('name', ['', 'n' * 129])
def test_names_that_no_data_centre_can_have_break_no_link(name):
    async def scenario(cluster):
        await cluster.evacuate(name, 'north')
        await asyncio.sleep(1)
        assert len(cluster.entries['entry-0'].connections.peers) == 2
        assert cluster.agents['agent-0'].evacuation.in_force
        assert cluster.events.event_counts[Event.ROW_IGNORED] == 2

    run_scenario(scenario)


@pytest.mark.parametrize('at_once', [True, False])
def test_with_all_data_centres_emptied_jobs_are_refused_at_once(at_once):
    async def scenario(cluster):
        for data_centres in (
            [('north', 'south')] if at_once else [('north',), ('south',)]
        ):
            await cluster.evacuate(*data_centres)
        await asyncio.sleep(UNDER_WAY_S)
        started_at = cluster.loop.time()
        response = await cluster.submit('entry-0', job('a'))
        assert (response.result, response.reason) == (JobResult.REFUSED, 'no_target')
        assert response.retry_after_s == 1
        assert cluster.loop.time() - started_at < UNDER_WAY_S
        assert not cluster.run_history.runs
        # A caller that returns when it may finds that the refusal was true.
        await cluster.withdraw('south')
        await asyncio.sleep(response.retry_after_s)
        again = await cluster.submit('entry-0', job('a'))
        assert again.result is JobResult.COMPLETED
        assert not cluster.count_starts('north')

    run_scenario(scenario)


def test_agents_that_connect_to_an_emptied_data_centre_give_no_hope():
    """Agents that are joining count as capacity that is about to come."""

    async def scenario(cluster):
        await cluster.evacuate('north', 'south')
        await asyncio.sleep(1)
        cluster.nodes['entry-0'].kill()
        cluster.start_entry('entry-0')
        await asyncio.sleep(UNDER_WAY_S)
        started_at = cluster.loop.time()
        response = await cluster.submit('entry-0', job('a', estimate_s=2, timeout_s=9))
        assert (response.result, response.reason) == (JobResult.REFUSED, 'no_target')
        assert cluster.loop.time() - started_at < UNDER_WAY_S

    run_scenario(scenario)


def test_queued_jobs_are_refused_at_once_when_nothing_is_left():
    async def scenario(cluster):
        options = {'timeout_s': 30, 'estimate_s': 3}
        jobs = [
            asyncio.ensure_future(
                cluster.submit('entry-0', job(f'j{number}', **options))
            )
            for number in range(6)
        ]
        await asyncio.sleep(0.3)
        started = {run.task.job for run in cluster.run_history.runs}
        assert len(started) < len(jobs)
        await cluster.evacuate('north', 'south')
        await asyncio.sleep(0.2)
        refused = [each.result() for each in jobs if each.done()]
        assert len(refused) == len(jobs) - len(started)
        assert {each.result for each in refused} == {JobResult.REFUSED}
        assert {each.reason for each in refused} == {'no_target'}
        assert {each.retry_after_s for each in refused} == {1}

    run_scenario(scenario, run_s=LONG_S)


def test_a_task_that_waits_for_an_emptied_agent_does_not_starve():
    """Only that agent can tell when the earlier run of the task has ended."""

    async def scenario(cluster):
        cluster.targets['agent-0'].faults.stop_delay_s = 0.9
        first = cluster.submit('entry-0', job('a', 1, 8, 4))
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(first, 0.3)
        second = asyncio.ensure_future(cluster.submit('entry-1', job('a', 1, 8, 4)))
        await asyncio.sleep(0.1)
        await cluster.create_target('agent-1')
        cluster.start_agent('agent-1')
        agents = {Address(name, 1) for name in ('agent-0', 'agent-1')}
        cluster.entries['entry-1'].connections.set_agents(agents)
        await asyncio.sleep(UNDER_WAY_S)
        await cluster.evacuate('north')
        await asyncio.sleep(UNDER_WAY_S)
        emptied_at = cluster.loop.time()
        assert (await second).result is JobResult.COMPLETED
        # The stop takes 0.9 s, the run in the other data centre 1 s.
        assert cluster.loop.time() - emptied_at < 4
        assert not cluster.count_starts('north', emptied_at)
        assert cluster.count_starts('south', emptied_at) == 1

    run_scenario(scenario, run_s=1, agents=1)


def test_without_the_setting_rows_and_messages_have_no_part():
    async def scenario(cluster):
        await cluster.evacuate('north')
        await asyncio.sleep(1)
        await submit_many(cluster, 'entry-0')
        assert cluster.count_starts('north')
        assert cluster.entries['entry-0'].connections.evacuations.message is None
        assert not cluster.events.event_counts[Event.EVACUATION_APPLIED]

    run_scenario(scenario, enabled=())


def record_lines(events, event):
    """Return a list that receives the fields of the events of one kind."""
    lines = []
    emit = events.emit

    def record(emitted, **fields):
        if emitted is event:
            lines.append(fields)
        emit(emitted, **fields)

    events.emit = record
    return lines
