"""Headers of backend servers."""

import pytest

from turmericcroft.gateway import facts
from turmericcroft.platform import dialect


@pytest.mark.parametrize(
    ("value", "expected"),
    [
        (b"3,0,8", facts.ServerLoad(3, 0, 8)),
        (b"3, 1, 8, 250", facts.ServerLoad(3, 1, 8, 2.5)),
        (b"3,1,8,100", facts.ServerLoad(3, 1, 8, 1.0)),
        (b"3,1", None),
        (b"3,1,8,x", None),
        (b"3,1,8,100,5", None),
    ],
    ids=["three", "slowed", "usual", "too_few", "not_a_number", "too_many"],
)
def test_a_stated_load_is_read_with_and_without_a_slowdown(value, expected):
    # Statements with a fourth figure were dropped, so that daemons did not see
    # each other's load on plain services.
    headers = [(b"x-server-load", value)]
    assert dialect.Dialect().read_response(200, headers).load == expected


# Guards against requests that take nothing from a quota of tokens: a number
# that can't be read was 0, while a request without the header is charged.
@pytest.mark.parametrize("usage", [b"", b",", b"x,80", b"1460,", b"-5,80"])
def test_token_usage_that_cannot_be_read_counts_as_not_stated(usage):
    headers = [(b"x-token-usage", usage), (b"x-model", b"m")]
    assert dialect.Dialect().read_request(headers).generation is None
