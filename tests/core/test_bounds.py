"""Tests that values from the network are rejected when they are out of bounds."""

import msgspec
import pytest
from endivetally_core.errors import MalformedMessage
from endivetally_core.joining import Announcement
from endivetally_core.messages import AttemptId
from endivetally_core.messages import Dispatch
from endivetally_core.messages import Frame
from endivetally_core.messages import Outcome
from endivetally_core.messages import decode_frame
from endivetally_core.messages import encode_frame

ATTEMPT_ID = AttemptId('entry-1.1', 1, 0, 0)
ANNOUNCEMENT = {
    'service': 's',
    'port': 1,
    'slots': 8,
    'connections': 64,
    'memory_mb': 1,
}


class TestAnnouncement:
    @pytest.mark.parametrize(
        'fields',
        [
            {'slots': -1},
            {'slots': 10**9},
            {'connections': 0},
            {'memory_mb': -1},
            {'port': 65_536},
            {'service': ''},
        ],
    )
    def test_rejects_values_out_of_bounds(self, fields):
        with pytest.raises(msgspec.ValidationError):
            msgspec.convert({**ANNOUNCEMENT, **fields}, Announcement)


class TestFrame:
    @pytest.mark.parametrize(
        'message',
        [
            Outcome(ATTEMPT_ID, 'refused', 'x' * 513),
            Outcome(ATTEMPT_ID, '', ''),
            Dispatch(ATTEMPT_ID, 's', 'job', b'', -1),
            Dispatch(ATTEMPT_ID, 's', 'job', b'', 1, pool='x' * 513),
            Outcome(AttemptId('x' * 129, 1, 0, 0), 'done'),
        ],
    )
    def test_rejects_values_out_of_bounds(self, message):
        with pytest.raises(MalformedMessage):
            decode_frame(encode_frame(Frame(0, [message])))


@pytest.mark.parametrize(
    'encoded',
    [b'', b'\xc1', b'\x91' * 200_000, b'\x92\x03' + b'\x91' * 200_000],
    ids=['empty', 'no msgpack', 'nested', 'nested messages'],
)
def test_a_malformed_frame_is_reported_as_such(encoded):
    with pytest.raises(MalformedMessage):
        decode_frame(encoded)
