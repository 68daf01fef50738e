"""Interleavings of requests and failures against the naive dispatcher."""

import asyncio
import json

from differential.checker import Judge
from differential.checker import Submission
from differential.clock import run_virtually
from differential.cluster import World
from differential.cluster import text
from differential.reference import Work
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
START_S = 4
SETTLE_S = 40


def _work(team, service, key, tasks):
    payloads = tuple(
        json.dumps(
            {'team': team, 'service': service, 'key': key, 'number': number}
            | {'ms': ms, 'fails': fails}
        ).encode()
        for number, (ms, fails) in enumerate(tasks)
    )
    return Work(team, service, key, payloads)


def _shape(service, tasks):
    return tasks if service == 'sweeps' else tasks[:1]


TASK = st.tuples(st.sampled_from([5, 60, 900]), st.just(value=False))
FAILING_TASK = st.tuples(st.sampled_from([5, 60]), st.booleans())
TASKS = st.lists(st.one_of(TASK, TASK, FAILING_TASK), min_size=1, max_size=5)
LIGHT_TASKS = st.lists(FAILING_TASK, min_size=1, max_size=5)
ITEMS = (
    *(('sweeps', key) for key in 'abc'),
    *(('fetches', key) for key in 'ab'),
    ('lookups', 'x'),
)
BOOK = st.fixed_dictionaries(dict.fromkeys(ITEMS, TASKS))
# Too little work for an overload, which the naive dispatcher does not know.
LIGHT_BOOK = st.fixed_dictionaries(dict.fromkeys(ITEMS, LIGHT_TASKS))
ITEM = st.sampled_from(ITEMS)
ENTRY = st.integers(0, 2)
AGENT = st.integers(0, 1)
SUBMIT = st.tuples(st.just('submit'), ENTRY, ITEM, st.sampled_from(TEAMS))
CANCEL = st.tuples(st.just('cancel'), ENTRY, ITEM, st.sampled_from(TEAMS))
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
    st.tuples(st.just('text'), ENTRY, st.sampled_from([500, 3000, 10_000])),
)
# A key that is submitted again around a failure of its owner or of links.
MISFORTUNE = st.one_of(
    st.tuples(
        st.just('strike_owner'), ITEM, st.sampled_from(['kill', 'freeze', 'leave'])
    ),
    st.tuples(st.just('all_wires'), st.sampled_from(['cut', 'double', 'hold'])),
    st.tuples(st.just('table'), st.sampled_from(['down', 'lose', 'late'])),
    st.tuples(st.just('kill_agent'), AGENT),
)
PAUSE = st.tuples(st.just('wait'), st.sampled_from([1, 6, 12, 30, 70, 200, 1000, 5000]))


@st.composite
def _episodes(draw):
    item = draw(st.sampled_from(ITEMS[:-1]))
    steps = []
    for _round in range(draw(st.integers(2, 4))):
        steps.append(('submit', draw(ENTRY), item, 'clerks'))
        steps.append(('submit', draw(ENTRY), draw(ITEM), draw(st.sampled_from(TEAMS))))
        steps.append(draw(PAUSE))
        step = draw(MISFORTUNE)
        steps.append(('strike_owner', item, step[2]) if step[1] in ITEMS else step)
        steps.append(draw(PAUSE))
        if draw(st.booleans()):
            steps.append(('release',))
            steps.append(('table', 'up'))
    return [*steps, ('submit', draw(ENTRY), item, 'clerks')]


STEP = st.one_of(SUBMIT, SUBMIT, SUBMIT, WAIT, WAIT, FAULT, FAULT, CANCEL)
SCRIPT = st.lists(STEP, min_size=3, max_size=25)
CALM = st.lists(st.one_of(SUBMIT, SUBMIT, WAIT), min_size=1, max_size=12)


class Run:
    """Plays one script."""

    def __init__(self, book):
        self.judge = Judge()
        self._book = book

    async def play(self, script):
        self.world = World(self.judge)
        for name in AGENTS:
            self.world.start_agent(name)
        for name in ENTRIES:
            self.world.start_entry(name)
        await asyncio.sleep(1)
        await self._text(0, 10_000)
        await asyncio.sleep(START_S)
        for step, *details in script:
            await getattr(self, f'_{step}')(*details)
        self.world.heal()
        self.world.table.deliver_late_commits()
        await asyncio.sleep(SETTLE_S)
        dead = {node.incarnation for node in self.world.nodes if node.dead}
        self.judge.check_end(dead)
        self.world.end()

    async def _submit(self, entry, item, team, *, cancel=False):
        service, key = item
        tasks = _shape(service, self._book[item])
        node = self._entry(entry)
        work = _work(team, service, key, tasks)
        node.submit(Submission(work, cancel, node.incarnation))

    async def _cancel(self, entry, item, team):
        if item[0] != 'lookups':
            await self._submit(entry, item, team, cancel=True)

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
            self.world.start_entry(ENTRIES[entry])

    async def _strike_owner(self, item, fault):
        shard = shard_of('clerks', item[1], SHARD_COUNT)
        owners = {
            node.daemon.shard_directory.owner_of(shard)
            for node in self.world.nodes
            if node.name in ENTRIES and node.daemon and not node.suspension.stopped
        }
        for name, node in self.world.entries.items():
            if node.incarnation in owners:
                await getattr(self, f'_{fault}')(ENTRIES.index(name))

    async def _all_wires(self, fault):
        for wire in self.world.open_wires:
            if fault == 'double':
                wire.duplicates += 2
            else:
                getattr(wire, fault)()

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
        self.world.start_agent(AGENTS[agent])

    async def _hold(self, number):
        self._wire(number).hold()

    async def _cut(self, number):
        self._wire(number).cut()

    async def _delay(self, number):
        self._wire(number).latency_s = 0.3

    async def _double(self, number):
        self._wire(number).duplicates += 2

    async def _release(self):
        for wire in self.world.wires:
            wire.release()

    async def _table(self, fault):
        faults = self.world.table.faults
        if fault == 'lose':
            faults.lose_answers += 1
        elif fault == 'late':
            faults.late_commits += 1
        elif fault == 'land':
            self.world.table.deliver_late_commits()
        else:
            faults.down = fault == 'down'
            faults.slow_ms = 600 if fault == 'slow' else 0

    async def _text(self, entry, deadline_ms):
        node = self._entry(entry)
        if node.daemon is not None:
            node.spawn(_submit_text(node.daemon, text(deadline_ms)))

    def _entry(self, entry):
        return self.world.entries[ENTRIES[entry]]

    def _agent(self, agent):
        return self.world.agents[AGENTS[agent]]

    def _wire(self, number):
        wires = self.world.open_wires
        return wires[number % len(wires)] if wires else self.world.wires[-1]


async def _submit_text(daemon, encoded):
    try:
        await daemon.submit_config(encoded, daemon.active_config.version, 'operator')
    except Exception:
        return


def play(book, script):
    run = Run(book)
    run_virtually(run.play(script))
    return run.judge


def repeatable(examples):
    """Return settings that give the same examples in each run."""
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
