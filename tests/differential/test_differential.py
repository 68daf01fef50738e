"""Runs scripts of requests and faults and compares them with the reference model.

The examples are seeded with the source of each test function, its name included:
an edit of such a function changes them.
"""

import asyncio
import json

from differential.checker import Checker
from differential.checker import Submission
from differential.clock import run_virtually
from differential.cluster import SimulatedCluster
from differential.cluster import config_with_deadline
from differential.reference import RequestSpec
from endivetally_core.identifiers import shard_of
from endivetally_table.shards import SHARD_COUNT
from hypothesis import HealthCheck
from hypothesis import Phase
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

ENTRIES = ('entry-1', 'entry-2', 'entry-3')
AGENTS = ('agent-1', 'agent-2')
TEAMS = ('clerks', 'students')
# Wait after the first configuration is submitted, before the first step.
START_S = 4
# Wait after all faults end, before every request must have a response.
SETTLE_S = 40


def _build_spec(team, service, key, tasks):
    payloads = tuple(
        json.dumps(
            {'team': team, 'service': service, 'key': key, 'number': number}
            | {'ms': ms, 'fails': fails}
        ).encode()
        for number, (ms, fails) in enumerate(tasks)
    )
    return RequestSpec(team, service, key, payloads)


def _limit_tasks(service, tasks):
    """Return all tasks for a job, and only the first for other services."""
    return tasks if service == 'sweeps' else tasks[:1]


TASK = st.tuples(st.sampled_from([5, 60, 900]), st.just(value=False))
FAILING_TASK = st.tuples(st.sampled_from([5, 60]), st.booleans())
TASKS = st.lists(st.one_of(TASK, TASK, FAILING_TASK), min_size=1, max_size=5)
LIGHT_TASKS = st.lists(FAILING_TASK, min_size=1, max_size=5)
SERVICE_KEYS = (
    *(('sweeps', key) for key in 'abc'),
    *(('fetches', key) for key in 'ab'),
    ('lookups', 'x'),
)
# The tasks of each service and key: a key is always submitted with the same tasks.
BOOK = st.fixed_dictionaries(dict.fromkeys(SERVICE_KEYS, TASKS))
# Too few tasks to cause overload, which the reference model does not simulate.
LIGHT_BOOK = st.fixed_dictionaries(dict.fromkeys(SERVICE_KEYS, LIGHT_TASKS))
SERVICE_KEY = st.sampled_from(SERVICE_KEYS)
ENTRY = st.integers(0, 2)
AGENT = st.integers(0, 1)
SUBMIT = st.tuples(st.just('submit'), ENTRY, SERVICE_KEY, st.sampled_from(TEAMS))
CANCEL = st.tuples(st.just('cancel'), ENTRY, SERVICE_KEY, st.sampled_from(TEAMS))
WAIT = st.tuples(st.just('wait'), st.sampled_from([0, 1, 3, 6, 30, 200, 1500, 6000]))
FAULT = st.one_of(
    st.tuples(st.sampled_from(['kill', 'freeze', 'thaw', 'leave', 'start']), ENTRY),
    st.tuples(
        st.sampled_from(['kill_agent', 'freeze_agent', 'thaw_agent', 'leave_agent']),
        AGENT,
    ),
    st.tuples(st.just('start_agent'), AGENT),
    st.tuples(st.sampled_from(['hold', 'cut', 'delay', 'double']), st.integers(0, 8)),
    st.tuples(st.just('release')),
    st.tuples(
        st.just('table'),
        st.sampled_from(['down', 'slow', 'lose', 'late', 'land', 'up']),
    ),
    st.tuples(st.just('config'), ENTRY, st.sampled_from([500, 3000, 10_000])),
)
# Faults for `_episodes`, of the owner of a key or of parts that it depends on.
EPISODE_FAULT = st.one_of(
    st.tuples(
        st.just('fail_owner'), SERVICE_KEY, st.sampled_from(['kill', 'freeze', 'leave'])
    ),
    st.tuples(st.just('all_connections'), st.sampled_from(['cut', 'double', 'hold'])),
    st.tuples(st.just('table'), st.sampled_from(['down', 'lose', 'late'])),
    st.tuples(st.just('kill_agent'), AGENT),
)
PAUSE = st.tuples(st.just('wait'), st.sampled_from([1, 6, 12, 30, 70, 200, 1000, 5000]))


@st.composite
def _episodes(draw):
    """Submit one key again and again while its owner or the connections fail."""
    service_key = draw(st.sampled_from(SERVICE_KEYS[:-1]))
    steps = []
    for _round in range(draw(st.integers(2, 4))):
        steps.append(('submit', draw(ENTRY), service_key, 'clerks'))
        steps.append(
            ('submit', draw(ENTRY), draw(SERVICE_KEY), draw(st.sampled_from(TEAMS)))
        )
        steps.append(draw(PAUSE))
        step = draw(EPISODE_FAULT)
        steps.append(
            ('fail_owner', service_key, step[2]) if step[1] in SERVICE_KEYS else step
        )
        steps.append(draw(PAUSE))
        if draw(st.booleans()):
            steps.append(('release',))
            steps.append(('table', 'up'))
    return [*steps, ('submit', draw(ENTRY), service_key, 'clerks')]


STEP = st.one_of(SUBMIT, SUBMIT, SUBMIT, WAIT, WAIT, FAULT, FAULT, CANCEL)
SCRIPT = st.lists(STEP, min_size=3, max_size=25)
# Scripts without faults.
CALM = st.lists(st.one_of(SUBMIT, SUBMIT, WAIT), min_size=1, max_size=12)


class ScriptRun:
    """Runs one script on a new cluster.

    :param book: tasks of each service and key.
    """

    def __init__(self, book):
        self.checker = Checker()
        self._book = book

    async def play(self, script):
        self.cluster = SimulatedCluster(self.checker)
        for name in AGENTS:
            self.cluster.start_agent(name)
        for name in ENTRIES:
            self.cluster.start_entry(name)
        await asyncio.sleep(1)
        await self._config(0, 10_000)
        await asyncio.sleep(START_S)
        for step, *details in script:
            await getattr(self, f'_{step}')(*details)
        self.cluster.heal()
        self.cluster.table.deliver_late_commits()
        await asyncio.sleep(SETTLE_S)
        dead = {node.incarnation for node in self.cluster.nodes if node.dead}
        self.checker.check_all_completed(dead)
        self.cluster.shut_down()

    async def _submit(self, entry, service_key, team, *, cancel=False):
        service, key = service_key
        tasks = _limit_tasks(service, self._book[service_key])
        node = self._entry(entry)
        spec = _build_spec(team, service, key, tasks)
        node.submit(Submission(spec, cancel, node.incarnation))

    async def _cancel(self, entry, service_key, team):
        if service_key[0] != 'lookups':
            await self._submit(entry, service_key, team, cancel=True)

    async def _wait(self, wait_ms):
        await asyncio.sleep(wait_ms / 1000)

    async def _kill(self, entry):
        self._entry(entry).kill()

    async def _freeze(self, entry):
        self._entry(entry).freeze()

    async def _thaw(self, entry):
        self._entry(entry).thaw()

    async def _leave(self, entry):
        node = self._entry(entry)
        if node.daemon is not None:
            node.lifecycle.stop()

    async def _start(self, entry):
        if self._entry(entry).dead:
            self.cluster.start_entry(ENTRIES[entry])

    async def _fail_owner(self, service_key, fault):
        shard = shard_of('clerks', service_key[1], SHARD_COUNT)
        owners = {
            node.daemon.shard_directory.owner_of(shard)
            for node in self.cluster.nodes
            if node.name in ENTRIES and node.daemon and not node.suspension.stopped
        }
        for name, node in self.cluster.entries.items():
            if node.incarnation in owners:
                await getattr(self, f'_{fault}')(ENTRIES.index(name))

    async def _all_connections(self, fault):
        for connection in self.cluster.open_connections:
            if fault == 'double':
                connection.duplicates += 2
            else:
                getattr(connection, fault)()

    async def _kill_agent(self, agent):
        self._agent(agent).kill()

    async def _freeze_agent(self, agent):
        self._agent(agent).freeze()

    async def _thaw_agent(self, agent):
        self._agent(agent).thaw()

    async def _leave_agent(self, agent):
        self._agent(agent).leaving = True
        self._agent(agent).announce()

    async def _start_agent(self, agent):
        self._agent(agent).kill()
        self.cluster.start_agent(AGENTS[agent])

    async def _hold(self, number):
        self._connection(number).hold()

    async def _cut(self, number):
        self._connection(number).cut()

    async def _delay(self, number):
        self._connection(number).latency_s = 0.3

    async def _double(self, number):
        self._connection(number).duplicates += 2

    async def _release(self):
        for connection in self.cluster.connections:
            connection.release()

    async def _table(self, fault):
        faults = self.cluster.table.faults
        if fault == 'lose':
            faults.lose_answers += 1
        elif fault == 'late':
            faults.late_commits += 1
        elif fault == 'land':
            self.cluster.table.deliver_late_commits()
        else:
            faults.down = fault == 'down'
            faults.slow_ms = 600 if fault == 'slow' else 0

    async def _config(self, entry, deadline_ms):
        node = self._entry(entry)
        if node.daemon is not None:
            node.spawn(_submit_config(node.daemon, config_with_deadline(deadline_ms)))

    def _entry(self, entry):
        return self.cluster.entries[ENTRIES[entry]]

    def _agent(self, agent):
        return self.cluster.agents[AGENTS[agent]]

    def _connection(self, number):
        connections = self.cluster.open_connections
        return (
            connections[number % len(connections)]
            if connections
            else self.cluster.connections[-1]
        )


async def _submit_config(daemon, encoded):
    try:
        await daemon.submit_config(encoded, daemon.active_config.version, 'operator')
    except Exception:
        return


def play(book, script):
    """Run a script and return the checker with its findings."""
    run = ScriptRun(book)
    run_virtually(run.play(script))
    return run.checker


def repeatable(examples):
    """Return settings that generate the same examples in each run."""
    return settings(
        derandomize=True,
        deadline=None,
        max_examples=examples,
        phases=(Phase.explicit, Phase.generate),
        suppress_health_check=list(HealthCheck),
    )


@repeatable(150)
@given(book=BOOK, script=SCRIPT)
def test_only_allowed_differences(book, script):
    assert play(book, script).faults == []


@repeatable(300)
@given(book=BOOK, script=_episodes())
def test_only_allowed_differences_around_a_key(book, script):
    assert play(book, script).faults == []


@repeatable(60)
@given(book=LIGHT_BOOK, script=CALM)
def test_no_difference_without_failures(book, script):
    judge = play(book, script)
    judge.check_equal()
    assert judge.faults == []
