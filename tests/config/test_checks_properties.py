"""Property tests: any document is either accepted or reported with its faults."""

import json

from endivetally_config.checks import check_config
from endivetally_config.exceptions import ConfigInvalid
from endivetally_config.operator_config import decode_config
from endivetally_config.operator_config import encode_config
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

NAMES = st.sampled_from(['a', 'b', 'c', 'd', '', 'x y', '\ud800'])
SCALARS = st.one_of(st.none(), st.booleans(), st.integers(), st.floats(), NAMES)
JSON = st.recursive(SCALARS, lambda inner: st.lists(inner, max_size=3), max_leaves=5)


def _objects_or_json(fields):
    return st.fixed_dictionaries({}, optional=fields) | JSON


SERVICES = _objects_or_json(
    {
        'name': NAMES | JSON,
        'kind': st.sampled_from(['idempotent', 'non-idempotent', 'job']) | JSON,
        'depends_on': st.lists(NAMES | JSON, max_size=4),
        'run_ms': st.integers(-1, 2_000_000) | JSON,
        'memory_mb': st.integers(-1, 2_000_000) | JSON,
        'objective': _objects_or_json({'availability': st.floats() | JSON, 'x': JSON}),
    },
)
TEAMS = _objects_or_json({'name': NAMES | JSON, 'token': NAMES | JSON, 'weight': JSON})
DOCUMENTS = _objects_or_json(
    {
        'services': st.lists(SERVICES, max_size=5) | JSON,
        'teams': st.lists(TEAMS, max_size=3) | JSON,
        'largest_worker_memory_mb': st.integers() | JSON,
    },
)
WELL_FORMED_SERVICES = st.lists(
    st.fixed_dictionaries(
        {'name': st.sampled_from('abcd'), 'kind': st.just('job')},
        optional={'depends_on': st.lists(st.sampled_from('abcd'), max_size=2)},
    ),
    min_size=1,
    max_size=4,
)


def _has_cycle(graph):
    """Remove services whose dependencies are all removed; a cycle is left over."""
    remaining = dict(graph)
    while independent := [
        name for name in remaining if not set(remaining[name]) & set(remaining)
    ]:
        for name in independent:
            remaining.pop(name)
    return bool(remaining)


class TestCheckConfig:
    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(DOCUMENTS)
    def test_generated_document_is_accepted_or_has_faults(self, document):
        try:
            accepted = check_config(json.dumps(document).encode())
        except ConfigInvalid as error:
            assert error.faults
            assert error.detail.encode()
        else:
            assert decode_config(encode_config(accepted)) == accepted

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(WELL_FORMED_SERVICES)
    def test_dependency_checks_agree_with_a_reference_check(self, services):
        teams = [{'name': 't', 'token': 't'}]
        names = [service['name'] for service in services]
        graph = {service['name']: service.get('depends_on', ()) for service in services}
        required = [name for dependencies in graph.values() for name in dependencies]
        valid = (
            len(set(names)) == len(names)
            and all(
                len(set(dependencies)) == len(dependencies)
                for dependencies in graph.values()
            )
            and set(required) <= set(names)
            and not _has_cycle(graph)
        )
        try:
            check_config(json.dumps({'services': services, 'teams': teams}).encode())
        except ConfigInvalid:
            assert not valid
        else:
            assert valid

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(st.binary(max_size=50))
    def test_any_bytes_are_accepted_or_have_faults(self, encoded):
        try:
            check_config(encoded)
        except ConfigInvalid as error:
            assert error.faults
