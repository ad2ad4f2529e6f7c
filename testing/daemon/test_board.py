"""API keys in the configuration in force."""

import dataclasses

import pytest

from testing import conftest
from turmericcroft.daemon import board
from turmericcroft.intent import document
from turmericcroft.intent import part

KEYLESS = conftest.make_document(conftest.make_deployment())


# A configuration without accounts, or whose accounts have no keys, asks for a
# key that nobody holds, as the gateway does for an empty list of accounts.
@pytest.mark.parametrize(
    "content",
    [
        document.EMPTY,
        KEYLESS,
        dataclasses.replace(KEYLESS, accounts={}),
    ],
    ids=["empty", "no keys", "no accounts"],
)
@pytest.mark.parametrize("api_key", ["", "north-key", "n"])
def test_no_key_is_accepted_that_no_account_holds(content, api_key):
    parts = part.split(content)
    head = part.Head(1, tuple(parts), "ops", "", 0.0)
    in_force = board.decode_in_force(head, parts)
    assert in_force.find_account(api_key) is None
