"""Clients that do not behave neither end a process nor keep it from ordinary callers.

Each test starts the programs of the deploy file with the limits in its table, and sends
a crowd to one of their addresses.
"""

import pytest
from clients.crowd import Crowd
from clients.deployment import FILE_DESCRIPTORS
from clients.deployment import MEGABYTE
from clients.deployment import OK
from clients.deployment import PORTS
from clients.deployment import Deployment
from clients.deployment import Limits

# Bodies far over the limit of any request.
HUGE = 60_000_000
PATHS = {
    'callers': '/lookup/5c0e7a21d94b36f8',
    'readiness': '/v1/ready',
    'entry-metrics': '/metrics',
    'reports': '/v1/instances/i-1/heartbeat',
    'agent-metrics': '/metrics',
}


async def check_crowd(directory, address, crowd, limits):
    """Send a crowd and check the process that it has met."""
    role, _ = PORTS[address]
    async with Deployment(directory, limits) as deployment:
        process = deployment.processes[role]
        async with deployment.send_crowd(crowd, address):
            await deployment.wait_ready()
            beside = await deployment.submit()
        await deployment.wait_ready()
        afterwards = await deployment.submit()
        assert process.usage.memory <= limits.memory_mb * MEGABYTE
        assert process.alive
        assert process.usage.sockets <= limits.max_fds - FILE_DESCRIPTORS
        assert (beside, afterwards) == (OK, OK)


@pytest.mark.parametrize('address', PATHS)
@pytest.mark.parametrize('shape', ['announced_body', 'expected_body', 'chunked_body'])
async def test_body_far_over_the_limit_is_not_buffered(tmp_path, address, shape):
    crowd = Crowd(
        shape, 12, rounds=3, path=PATHS[address], announced=HUGE, sent=HUGE - 1
    )
    await check_crowd(tmp_path, address, crowd, Limits())


@pytest.mark.parametrize(
    ('address', 'announced', 'sent', 'clients'),
    [
        ('callers', 2_900_000, 2_800_000, 60),
        ('callers', 1_000_000, 900_000, 160),
        ('callers', 100_000, 90_000, 1600),
        ('readiness', 1_000_000, 900_000, 160),
        ('readiness', 60_000, 50_000, 2500),
        ('reports', 1_000_000, 900_000, 160),
        ('reports', 60_000, 50_000, 2500),
    ],
)
async def test_sum_of_incomplete_bodies_is_bounded(
    tmp_path, address, announced, sent, clients
):
    crowd = Crowd(
        'announced_body', clients, path=PATHS[address], announced=announced, sent=sent
    )
    await check_crowd(tmp_path, address, crowd, Limits())


async def test_small_chunks_take_no_more_memory_than_their_bytes(tmp_path):
    crowd = Crowd('small_chunks', 20, sent=1_400_000)
    await check_crowd(tmp_path, 'callers', crowd, Limits())


async def test_malformed_bodies_do_not_take_the_process(tmp_path):
    crowd = Crowd('malformed_steps', 24, rounds=5, announced=240_000)
    await check_crowd(tmp_path, 'callers', crowd, Limits())


async def test_malformed_bodies_within_the_limit_do_not_take_the_process(tmp_path):
    crowd = Crowd('malformed_steps', 40, rounds=5, announced=150_000)
    await check_crowd(tmp_path, 'callers', crowd, Limits())


async def test_large_forms_are_not_parsed(tmp_path):
    crowd = Crowd('form_body', 12, rounds=2, announced=1_400_000)
    await check_crowd(tmp_path, 'callers', crowd, Limits())


async def test_bodies_are_not_kept_while_their_jobs_run(tmp_path):
    crowd = Crowd('long_job', 100, path='/lookup/', announced=1_400_000)
    await check_crowd(tmp_path, 'callers', crowd, Limits())


async def test_tasks_of_open_jobs_are_bounded(tmp_path):
    crowd = Crowd('waiting_tasks', 200, path='/lookup/')
    await check_crowd(tmp_path, 'callers', crowd, Limits())


@pytest.mark.parametrize('address', sorted(PORTS))
async def test_connections_that_send_nothing_keep_no_one_out(tmp_path, address):
    await check_crowd(tmp_path, address, Crowd('silent', 600), Limits(max_fds=400))


@pytest.mark.parametrize('address', ['callers', 'readiness', 'reports'])
async def test_sum_of_incomplete_headers_is_bounded(tmp_path, address):
    crowd = Crowd('endless_headers', 2400, sent=60_000)
    await check_crowd(tmp_path, address, crowd, Limits(memory_mb=96))


@pytest.mark.parametrize('address', PATHS)
async def test_unread_answers_are_bounded(tmp_path, address):
    path = PATHS[address].removesuffix('5c0e7a21d94b36f8')
    crowd = Crowd('unread_answers', 400, path=path, sent=1_000_000)
    await check_crowd(tmp_path, address, crowd, Limits())


async def test_sum_of_incomplete_batches_is_bounded(tmp_path):
    crowd = Crowd('incomplete_batch', 60, announced=4_000_000, sent=3_900_000)
    await check_crowd(tmp_path, 'peers', crowd, Limits())


@pytest.mark.parametrize(
    ('address', 'crowd'),
    [
        ('callers', Crowd('silent', 100)),
        ('callers', Crowd('announced_body', 50, announced=100_000, sent=50_000)),
        ('callers', Crowd('unread_answers', 50, path='/lookup/', sent=1_000_000)),
        ('callers', Crowd('endless_headers', 50, sent=1000)),
        ('reports', Crowd('announced_body', 30, announced=60_000, sent=50_000)),
        ('peers', Crowd('incomplete_batch', 30, announced=60_000, sent=50_000)),
    ],
    ids=lambda each: each.shape if isinstance(each, Crowd) else each,
)
async def test_process_stops_while_clients_hold_connections(tmp_path, address, crowd):
    role, _ = PORTS[address]
    async with Deployment(tmp_path, Limits()) as deployment:
        async with deployment.send_crowd(crowd, address):
            assert await deployment.processes[role].stop() == 0


async def test_tiny_estimate_does_not_stop_a_queue(tmp_path):
    await check_crowd(tmp_path, 'callers', Crowd('tiny_estimate', 3), Limits())


async def test_huge_estimate_does_not_stop_a_queue(tmp_path):
    await check_crowd(tmp_path, 'callers', Crowd('huge_estimate', 3), Limits())
