"""The limit of a job's body admits every job that the pages allow, and no other."""

import json

import pytest
from adapter.servers import serve
from adapter.test_entry_api import Facade
from adapter.test_entry_api import fetch
from endivetally_held.jobs import JobResponse
from endivetally_held.jobs import JobResult
from endivetally_platform.entry_api import MAX_BODY_BYTES
from endivetally_platform.entry_api import MAX_PAYLOAD_BYTES
from endivetally_platform.entry_api import MAX_TASKS_PER_JOB
from endivetally_platform.entry_api import create_caller_application

# Every field at its longest, with labels of 64 characters.
LONGEST_STEP = {
    'count': 1,
    'cpu': 1_000_000,
    'memMb': 16_000_000,
    'gpus': 0,
    'estimateMs': 86_400_000.0,
    'after': [],
    'checkpointing': False,
    'gang': False,
    'sameRack': False,
    'requirements': '',
    'dataRack': 'r' * 64,
    'antiAffinity': 0,
    'allowDuplicates': False,
    'longRunning': False,
    'image': 'i' * 64,
    'targetMs': 86_400_000,
    'fills': False,
    'mayMiss': 1_800,
}
DEPENDENCIES = 100


def list_steps():
    """Return as many steps as a job may have, each after a hundred earlier ones."""
    return [
        {**LONGEST_STEP, 'after': list(range(max(number - DEPENDENCIES, 0), number))}
        for number in range(MAX_TASKS_PER_JOB)
    ]


async def submit(body):
    facade = Facade(JobResponse(JobResult.COMPLETED))
    facade.apply_configuration()
    async with serve(create_caller_application(facade)) as address:
        return await fetch(address, '/lohu930/5c0e', body=body)


async def test_largest_sound_job_is_within_the_limit():
    payload = '\x01' * MAX_PAYLOAD_BYTES
    job = {'spec': payload, 'bestEffort': True, 'steps': list_steps()}
    body = json.dumps(job, separators=(',', ':')).encode()
    assert MAX_BODY_BYTES / 2 < len(body) <= MAX_BODY_BYTES
    response = await submit(body)
    assert response.code == 200


@pytest.mark.parametrize(
    'job',
    [
        {'spec': 'x' * (MAX_PAYLOAD_BYTES + 1), 'steps': [{'count': 1}]},
        {'spec': 'é' * (MAX_PAYLOAD_BYTES // 2 + 1), 'steps': [{'count': 1}]},
        {'steps': [{'count': 1}] * (MAX_TASKS_PER_JOB + 1)},
        {'steps': [{'count': MAX_TASKS_PER_JOB + 1}]},
        {'steps': [{'count': 1}, {'count': 1, 'after': [0, 0]}]},
        {'steps': [{'count': 1}] * 100_000},
    ],
    ids=['payload', 'bytes', 'steps', 'tasks', 'repeated step', 'many steps'],
)
async def test_larger_job_is_malformed(job):
    response = await submit(json.dumps({**job, 'bestEffort': True}).encode())
    assert response.code == 400


@pytest.mark.parametrize('payload', ['"count"' * 500, '{"count":1},' * 300])
async def test_names_of_fields_in_a_payload_are_no_steps(payload):
    job = {'spec': payload, 'steps': [{'count': 1}], 'bestEffort': True}
    response = await submit(json.dumps(job).encode())
    assert response.code == 200
