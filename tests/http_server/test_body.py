"""A body that is collected in blocks is handed over as it came."""

import pytest
from endivetally_http.body import BLOCK_BYTES
from endivetally_http.body import BodyBuffer


@pytest.mark.parametrize(
    'sizes',
    [
        [],
        [1],
        [BLOCK_BYTES],
        [BLOCK_BYTES - 1, 2],
        [1] * 3 * BLOCK_BYTES,
        [BLOCK_BYTES * 3, 5, BLOCK_BYTES],
    ],
    ids=['none', 'byte', 'block', 'across', 'bytes', 'long'],
)
def test_body_is_the_sum_of_its_parts(sizes):
    parts = [bytes([number % 256]) * size for number, size in enumerate(sizes)]
    body = BodyBuffer()
    for part in parts:
        body.append(part)
    assert body.size == sum(sizes)
    assert body.take() == b''.join(parts)
    assert (body.size, body.take()) == (0, b'')
