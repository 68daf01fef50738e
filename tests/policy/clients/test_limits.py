"""The limits of all servers of a process keep within what its machine has."""

import pytest
from endivetally_policy.clients import CONNECTION_BYTES
from endivetally_policy.clients import HEADER_BYTES
from endivetally_policy.clients import ProcessLimits
from endivetally_policy.clients.limits import TASK_BYTES

MEGABYTE = 1024 * 1024
# Resident memory of an entry without clients.
BASE_MB = 40
# Machines of the deployments, and one with lowered limits.
MACHINES = [(128, 400), (128, 4096), (160, 4100), (200, 4100), (300, 4100), (552, 8192)]


@pytest.mark.parametrize(('memory_mb', 'max_descriptors'), MACHINES)
def test_memory_of_all_clients_fits_beside_that_of_the_process(
    memory_mb, max_descriptors
):
    limits = ProcessLimits(memory_mb, max_descriptors)
    callers = limits.caller_server(1_000_000).max_connections
    side = 2 * limits.side_server.max_connections
    connections = (callers + side) * CONNECTION_BYTES
    tasks = limits.open_tasks(1800).max_tasks * TASK_BYTES
    held = limits.max_incomplete_bytes + connections + tasks
    assert held + BASE_MB * MEGABYTE <= memory_mb * MEGABYTE


@pytest.mark.parametrize(('memory_mb', 'max_descriptors'), MACHINES)
def test_descriptors_are_left_for_store_targets_and_agents(memory_mb, max_descriptors):
    limits = ProcessLimits(memory_mb, max_descriptors)
    side = 2 * limits.side_server.max_connections
    for others in (limits.caller_server(1).max_connections, limits.max_peers):
        assert max_descriptors - 200 - side - others >= (max_descriptors - 200) / 4


@pytest.mark.parametrize('limits', [ProcessLimits(1, 0), ProcessLimits(0, 201)])
def test_smallest_limits_allow_one_connection(limits):
    assert limits.caller_server(1).max_connections == 1
    assert limits.side_server.max_connections == 1
    assert limits.max_peers == 1
    assert limits.open_tasks(1800).admits(0, 1800)


def test_callers_have_hundreds_of_connections_on_the_smallest_machine():
    limits = ProcessLimits(128, 4096)
    assert limits.caller_server(1).max_connections > 500
    assert HEADER_BYTES < CONNECTION_BYTES
