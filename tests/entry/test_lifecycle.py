"""Tests of when an entry that starts may open."""

import pytest
from endivetally_entry.lifecycle import SERVED_TARGETS_WAIT_S
from endivetally_entry.lifecycle import TARGETS_WAIT_S
from endivetally_entry.lifecycle import must_wait_for_targets


@pytest.mark.parametrize(
    ('pools', 'served', 'elsewhere', 'longest_wait_s'),
    [
        ('ab', 'ab', '', 0),
        ('ab', 'ab', 'ab', 0),
        ('ab', 'a', '', TARGETS_WAIT_S),
        ('ab', 'a', 'a', TARGETS_WAIT_S),
        ('ab', 'a', 'b', SERVED_TARGETS_WAIT_S),
        ('ab', '', 'ab', SERVED_TARGETS_WAIT_S),
        ('', '', '', TARGETS_WAIT_S),
    ],
)
def test_an_entry_waits_longer_for_pools_that_others_serve(
    pools, served, elsewhere, longest_wait_s
):
    sets = [frozenset(names) for names in (pools, served, elsewhere)]
    for waited_s in (0, 1, 2.9, 3.1, 11.9, 12.1):
        waits = must_wait_for_targets(*sets, waited_s)
        assert waits is (waited_s < longest_wait_s)
