"""Checks of the settings of a daemon that decide who may do what."""

import hashlib

import pytest

from turmericcroft import errors
from turmericcroft import settings

GOOD = """
[daemon]
name = "edge-1"
region = "r"
availability_zone = "z"
[callers]
host = "127.0.0.1"
port = 8001
[operators]
host = "127.0.0.1"
port = 8002
[mesh]
host = "127.0.0.1"
port = 8003
secret = "s"
[platform]
key_value_url = "http://127.0.0.1:1"
vm_list_url = "http://127.0.0.1:2"
"""
TOKEN_SHA256 = hashlib.sha256(b"token").hexdigest()
EMPTY_SHA256 = hashlib.sha256(b"").hexdigest()


def test_no_token_permits_nothing():
    operators = settings.parse(GOOD).operators
    assert operators.view_token_sha256 == operators.operate_token_sha256 == ()


# Guards against requests without a token that are an operator's: they match the
# hash of an empty text, as of a variable that was not set.
@pytest.mark.parametrize("name", ["view_token_sha256", "operate_token_sha256"])
@pytest.mark.parametrize(
    "value",
    [
        f'["{TOKEN_SHA256}", "{EMPTY_SHA256}"]',
        '[""]',
        '["token"]',
        f'"{TOKEN_SHA256}"',
    ],
    ids=["hash of nothing", "nothing", "no hash", "no list"],
)
def test_odd_hashes_of_tokens_are_faults(name, value):
    text = GOOD.replace("[mesh]", f"{name} = {value}\n[mesh]")
    with pytest.raises(errors.SettingsError, match=f"operators.{name}"):
        settings.parse(text)


def test_an_empty_mesh_secret_is_a_fault():
    with pytest.raises(errors.SettingsError, match=r"mesh\.secret"):
        settings.parse(GOOD.replace('secret = "s"', 'secret = ""'))


# Guards against secrets in logs: the faults of a file are written at the start.
@pytest.mark.parametrize(
    ("setting", "faulty"),
    [
        ('secret = "s"', "secret = 48151623"),
        ('secret = "s"', 'secret = ["48151623"]'),
        ("[mesh]", "view_token_sha256 = [48151623]\n[mesh]"),
    ],
)
def test_faults_do_not_state_secrets(setting, faulty):
    with pytest.raises(errors.SettingsError, match="found") as raised:
        settings.parse(GOOD.replace(setting, faulty))
    assert "48151623" not in str(raised.value)
