"""In which order connections are closed for new ones."""

import pytest
from endivetally_policy.clients import EvictionOrder


def play(steps):
    order = EvictionOrder()
    for name, key in steps:
        getattr(order, name)(key)
    closed = []
    while (key := order.find_next()) is not None:
        closed.append(key)
        order.remove(key)
    return closed


@pytest.mark.parametrize(
    ('steps', 'closed'),
    [
        ([], []),
        ([('add_new', 'a'), ('add_new', 'b')], ['a', 'b']),
        (
            [('add_new', 'a'), ('remove', 'a'), ('add_used', 'a'), ('add_new', 'b')],
            ['b', 'a'],
        ),
        (
            [('add_used', 'a'), ('add_used', 'b'), ('remove', 'a'), ('add_used', 'a')],
            ['b', 'a'],
        ),
        ([('add_new', 'a'), ('remove', 'a')], []),
    ],
    ids=['none', 'oldest', 'unused before used', 'idle longest', 'handled'],
)
def test_connections_are_closed_in_order(steps, closed):
    assert play(steps) == closed
