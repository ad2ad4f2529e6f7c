import hashlib

import pytest

from testing import conftest
from turmericcroft import errors
from turmericcroft.intent import corrections

HASH = "0" * 64
EMPTY_HASH = hashlib.sha256(b"").hexdigest()


def test_a_change_leaves_other_fields_of_the_row_unchanged():
    row = conftest.make_deployment()
    parsed = corrections.parse(
        f"""
        [[accounts]]
        name = "north"
        key_sha256 = ["{HASH}"]
        [[changes]]
        row = "{row.key}"
        priority = 4
        """
    )
    built = corrections.build_document({row.key: row}, parsed)
    assert built.deployments[row.key].priority == 4
    assert built.deployments[row.key].replicas == row.replicas


@pytest.mark.parametrize(
    ("text", "location"),
    [
        pytest.param("[polcy]", "polcy", id="unknown section"),
        pytest.param(
            "[policy]\nreconnect_grace_s = 'x'",
            "policy.reconnect_grace_s",
            id="wrong type",
        ),
        pytest.param(
            "[policy]\nbounded_load_factor = 1.0",
            "policy.bounded_load_factor",
            id="wrong value",
        ),
        pytest.param(
            "[[accounts]]\nname = 'a'\nkey_sha256 = ['north-key']",
            "accounts[0].key_sha256",
            id="a key instead of its hash",
        ),
        pytest.param(
            f"[[accounts]]\nname = 'a'\nkey_sha256 = ['{EMPTY_HASH}']",
            "accounts[0].key_sha256",
            id="the hash of no key",
        ),
        pytest.param(
            f"[[accounts]]\nname = 'a'\nkey_sha256 = '{HASH}'",
            "accounts[0].key_sha256",
            id="a text for a list",
        ),
    ],
)
def test_a_fault_has_its_path_in_the_file(text, location):
    with pytest.raises(errors.SheetError) as caught:
        corrections.parse(text)
    assert location in [fault.location for fault in caught.value.faults]


@pytest.mark.parametrize("value", ["['secret-key']", "'secret-key'"])
def test_an_error_does_not_contain_the_api_key(value):
    text = f"[[accounts]]\nname = 'a'\nkey_sha256 = {value}"
    with pytest.raises(errors.SheetError) as caught:
        corrections.parse(text)
    assert "secret-key" not in str(caught.value)


def test_a_row_with_an_undeclared_account_is_rejected():
    row = conftest.make_deployment(accounts=("nobody",))
    with pytest.raises(errors.SheetError, match="nobody"):
        corrections.build_document({row.key: row}, corrections.Corrections())
