"""Generated documents against the checks: an answer or faults, never a crash."""

import json

from endivetally_config.checks import check_config
from endivetally_config.exceptions import ConfigInvalid
from endivetally_config.operator_config import decode_config
from endivetally_config.operator_config import encode_config
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

NAMES = st.sampled_from(['a', 'b', 'c', 'd', '', 'x y', '\ud800'])
LEAVES = st.one_of(st.none(), st.booleans(), st.integers(), st.floats(), NAMES)
JSON = st.recursive(LEAVES, lambda inner: st.lists(inner, max_size=3), max_leaves=5)


def _objects(fields):
    return st.fixed_dictionaries({}, optional=fields) | JSON


SERVICES = _objects(
    {
        'name': NAMES | JSON,
        'kind': st.sampled_from(['idempotent', 'non-idempotent', 'job']) | JSON,
        'depends_on': st.lists(NAMES | JSON, max_size=4),
        'run_ms': st.integers(-1, 2_000_000) | JSON,
        'memory_mb': st.integers(-1, 2_000_000) | JSON,
        'objective': _objects({'availability': st.floats() | JSON, 'x': JSON}),
    },
)
TEAMS = _objects({'name': NAMES | JSON, 'token': NAMES | JSON, 'weight': JSON})
TEXTS = _objects(
    {
        'services': st.lists(SERVICES, max_size=5) | JSON,
        'teams': st.lists(TEAMS, max_size=3) | JSON,
        'largest_worker_memory_mb': st.integers() | JSON,
    },
)
GOOD_SERVICES = st.lists(
    st.fixed_dictionaries(
        {'name': st.sampled_from('abcd'), 'kind': st.just('job')},
        optional={'depends_on': st.lists(st.sampled_from('abcd'), max_size=2)},
    ),
    min_size=1,
    max_size=4,
)


def _has_cycle(graph):
    """Say by repeated removal of services that depend on none that is left."""
    left = dict(graph)
    while free := [name for name in left if not set(left[name]) & set(left)]:
        for name in free:
            left.pop(name)
    return bool(left)


class TestCheckText:
    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(TEXTS)
    def test_accepted_or_faults(self, text):
        try:
            accepted = check_config(json.dumps(text).encode())
        except ConfigInvalid as error:
            assert error.faults
            assert error.detail.encode()
        else:
            assert decode_config(encode_config(accepted)) == accepted

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(GOOD_SERVICES)
    def test_dependencies_against_a_naive_check(self, services):
        teams = [{'name': 't', 'token': 't'}]
        names = [service['name'] for service in services]
        graph = {service['name']: service.get('depends_on', ()) for service in services}
        needed = [name for edges in graph.values() for name in edges]
        good = (
            len(set(names)) == len(names)
            and all(len(set(edges)) == len(edges) for edges in graph.values())
            and set(needed) <= set(names)
            and not _has_cycle(graph)
        )
        try:
            check_config(json.dumps({'services': services, 'teams': teams}).encode())
        except ConfigInvalid:
            assert not good
        else:
            assert good

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(st.binary(max_size=50))
    def test_any_bytes(self, encoded):
        try:
            check_config(encoded)
        except ConfigInvalid as error:
            assert error.faults
