"""The real programs beside rows and reports of other writers, on loopback."""

import asyncio
import itertools
import json
import random
from contextlib import asynccontextmanager

import pytest
from adapter.test_target_client import REPORT
from endivetally.soak.deployment import SoakDeployment
from endivetally_held.discovery import CHECK_INTERVAL_S
from endivetally_platform.http_client import HttpClient
from endivetally_platform.standins import CallResult
from endivetally_platform.standins import JobSpec
from endivetally_platform.standins.settings import PEER_PORT
from endivetally_platform.standins.settings import REPORT_PORT
from endivetally_policy.held import Resources
from endivetally_table.table import Put
from endivetally_table.table import Transaction
from foreign_rows.contents import CONTENTS
from foreign_rows.contents import DEPTH
from foreign_rows.contents import KEYS
from foreign_rows.contents import nest

OWN_TABLE = 'endivetally'
# Jobs that each entry is sent.
JOBS = 10
# A caller that is refused returns this often, after this time each.
TRIES = 20
RETRY_S = 0.5
# Beyond the 1.5 s between two reports of a target.
SETTLED_S = 3
MAX_LINE_BYTES = 10_000

job_numbers = itertools.count(1)


@asynccontextmanager
async def run_deployment(directory, entries=2, agents=2):
    """Yield a deployment in which each entry has served a job."""
    async with SoakDeployment(random.Random(1), directory) as deployment:
        for role in ['entry'] * entries + ['agent'] * agents:
            await deployment.add_machine(role)
        await asyncio.sleep(SETTLED_S)
        await check_service(deployment)
        yield deployment


async def check_service(deployment):
    """Check that each entry serves ordinary jobs and that no process has ended."""
    results = await asyncio.gather(
        *(
            submit(deployment, entry)
            for entry in deployment.entries
            for _ in range(JOBS)
        )
    )
    assert results == [CallResult.COMPLETED] * len(results)
    assert deployment.collect_violations() == []


async def submit(deployment, entry):
    """Send a job as a caller, who sends it again when it is refused."""
    for _ in range(TRIES):
        job = JobSpec(
            f'{next(job_numbers):016x}',
            'lookup',
            2,
            Resources(100, 64),
            0.02,
            0.02,
            5,
            tasks_fail=False,
        )
        deployment.register_job(job)
        outcome = await entry.entry_client.submit(job, 6)
        if outcome.result is not CallResult.REFUSED:
            break
        await asyncio.sleep(RETRY_S)
    return outcome.result


async def write_rows(deployment, contents):
    puts = tuple(Put(key, content) for key, content in contents.items())
    await deployment.store.get_table(OWN_TABLE).commit(Transaction((), puts))


async def check_growth(deployment):
    """Check that a new agent is used, also by an entry that starts after it."""
    agent = await deployment.add_machine('agent')
    await deployment.add_machine('entry')
    await asyncio.sleep(SETTLED_S)
    await check_service(deployment)
    used = {run.target for run in deployment.run_history.runs}
    assert agent.worker.instance.report.target_id in used


def check_log_lines(directory):
    """Check that no log line is so long that a few fill a disk."""
    for log in directory.glob('*.log'):
        longest = max(map(len, log.read_bytes().splitlines()), default=0)
        assert longest < MAX_LINE_BYTES, log.name


async def test_odd_rows_cost_no_service(tmp_path):
    """Rows under ``entries/`` took the places of entries, whatever was in them."""
    async with run_deployment(tmp_path, entries=3) as deployment:
        rows = {
            f'{prefix}{number}': content
            for prefix in ('agents/odd-', 'entries/odd-', 'odd/')
            for number, content in enumerate(CONTENTS.values())
        }
        await write_rows(deployment, rows)
        await write_rows(deployment, dict.fromkeys(KEYS, b'['))
        await asyncio.sleep(1)
        await check_service(deployment)
        await check_growth(deployment)
    check_log_lines(tmp_path)


@pytest.mark.parametrize('rows', [1, 200])
async def test_rows_that_name_no_entry_leave_no_entry_without_agents(rows, tmp_path):
    """One of two entries served nobody for 25 s, and a new entry did not either."""
    async with run_deployment(tmp_path, agents=1) as deployment:
        odd = {f'entries/odd-{number}': b'[' for number in range(rows)}
        await write_rows(deployment, odd)
        await asyncio.sleep(1)
        await check_service(deployment)
        await check_growth(deployment)


ODD_REPORTS = [
    b'',
    b'\xff',
    b'[]',
    b'[' * DEPTH,
    b'{"service": %s}' % nest(DEPTH // 2).encode(),
    b'{"service": "pool", "state": "odd"}',
    json.dumps({**REPORT, 'state': 's' * 50_000}).encode(),
    json.dumps({**REPORT, 'address': f'{"a" * 50_000}:1'}).encode(),
]


async def test_odd_reports_cost_no_service(tmp_path):
    async with run_deployment(tmp_path) as deployment:
        for agent in deployment.agents:
            client = HttpClient(f'{agent.ip}:{REPORT_PORT}')
            target = agent.worker.instance.report.target_id
            for name, body in itertools.product(['odd', target], ODD_REPORTS):
                path = f'/v1/instances/{name}/heartbeat'
                response = await client.request('POST', path, timeout_s=2, body=body)
                assert response.status == 200
            await client.close()
        await check_service(deployment)
    check_log_lines(tmp_path)


async def test_agents_whose_rows_are_overwritten_stay_in_use(tmp_path):
    """Entries closed their connections to such an agent for good."""
    async with run_deployment(tmp_path) as deployment:
        keys = [f'agents/{agent.ip}:{PEER_PORT}' for agent in deployment.agents]
        await write_rows(deployment, dict.fromkeys(keys, b'['))
        await asyncio.sleep(1)
        await check_service(deployment)


async def test_agents_whose_rows_are_replaced_are_found_again(tmp_path):
    """No entry found such an agent until it was restarted."""
    async with run_deployment(tmp_path) as deployment:
        keys = [f'agents/{agent.ip}:{PEER_PORT}' for agent in deployment.agents]
        await write_rows(deployment, dict.fromkeys(keys, CONTENTS['agent']))
        await asyncio.sleep(2 * CHECK_INTERVAL_S)
        await check_service(deployment)
