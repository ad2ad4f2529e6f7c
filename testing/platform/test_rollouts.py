"""Orders of rollouts and their status, as the store holds them."""

import json

import pytest

from turmericcroft.fleet import positions
from turmericcroft.platform import records
from turmericcroft.rollouts import notes

_POSITION = positions.StorePosition(2, 40)


def decode(value):
    return records.StoreSchema().decode_rollout("chat", value, _POSITION)


def test_an_order_is_decoded_with_its_position():
    value = b'{"service": "chat", "target": "v2", "durationS": 30}'
    assert decode(value) == notes.Order("chat", "v2", 30.0, _POSITION)


# A malformed order that is dropped would have no status, so that its operator
# waits for ever.
@pytest.mark.parametrize(
    ("value", "target"),
    [
        (b"{", ""),
        (b"[]", ""),
        (b'{"service": "chat", "durationS": 30}', ""),
        (b'{"service": "chat", "target": "v2"}', "v2"),
        (b'{"service": "chat", "target": "v2", "durationS": "soon"}', "v2"),
        (b'{"service": "chat", "target": "v2", "durationS": -1}', "v2"),
        (b'{"service": "chat", "target": "v2", "durationS": NaN}', "v2"),
        (b'{"service": "chat", "target": "v2", "durationS": 1e999}', "v2"),
        (b'{"service": "read", "target": "v2", "durationS": 30}', "v2"),
        (b'{"service": "chat", "target": "v2", "durationS": true}', "v2"),
        (b'{"service": "chat", "target": null, "durationS": 30}', ""),
        (b'{"service": "chat", "target": "", "durationS": 30}', ""),
        (b'{"service": "chat", "target": 5, "durationS": 30}', ""),
    ],
)
def test_a_malformed_order_has_no_time(value, target):
    assert decode(value) == notes.Order("chat", target, 0.0, _POSITION)


@pytest.mark.parametrize(
    ("ended", "state"),
    [
        (None, "in_progress"),
        (notes.Phase.COMPLETED, "completed"),
        (notes.Phase.ROLLED_BACK, "rolled_back"),
    ],
)
def test_a_status_is_encoded_and_decoded(ended, state):
    schema = records.StoreSchema()
    status = ("v2", ended)
    value = schema.encode_rollout_status(status)
    assert json.loads(value) == {"state": state, "target": "v2"}
    assert schema.decode_rollout_status(value) == status


@pytest.mark.parametrize("value", [b"", b"[]", b'{"state": "x", "target": 1}'])
def test_a_malformed_status_counts_as_none(value):
    assert records.StoreSchema().decode_rollout_status(value) is None
