"""Parsing and checks of the gateway's settings."""

import pathlib

import pytest

from turmericcroft import errors
from turmericcroft.gateway import settings

GOOD = """
[daemon]
name = "edge-1"
region = "r"
availability_zone = "z"
[ports]
host = "127.0.0.1"
clients = "127.0.0.1:8001"
readiness = "127.0.0.1:8002"
readiness_path = "/ready"
mesh = 8003
[surroundings]
store = "127.0.0.1:8004"
duties = ["usage", "scaling"]
"""


def test_settings_are_parsed():
    found = settings.parse(GOOD)
    assert found.surroundings.duties == (
        settings.Duty.USAGE,
        settings.Duty.SCALING,
    )
    assert found.bounds.lease_ms == 3_000


@pytest.mark.parametrize(
    ("old", "new", "match"),
    [
        ('name = "edge-1"', "name = 5", "daemon.name"),
        ('store = "127.0.0.1:8004"', 'store = "nowhere"', "surroundings.store"),
        ("mesh = 8003", "mesh = 0", "ports.mesh"),
        ("mesh = 8003", "mesh = 8003\nmemory_mb = nan", "ports.memory_mb"),
        ("mesh = 8003", "mesh = 8003\nmemory_mb = -1", "ports.memory_mb"),
        ('"scaling"]', '"sailing"]', "duties"),
        # A text is no list of its letters.
        ('duties = ["usage", "scaling"]', 'duties = "usage"', "duties"),
        ("[surroundings]", '[surroundings]\nseeds = "10.0.0.1:1"', "seeds"),
        ("[daemon]", 'first_start = "false"\n[daemon]', "first_start"),
        # Whoever presents no secret would be another daemon.
        ("[daemon]", 'mesh_secret = ""\n[daemon]', "mesh_secret"),
        ("[daemon]", "[daemon", "valid TOML"),
        ("[daemon]", "unknown = 1\n[daemon]", "unknown"),
    ],
)
def test_every_fault_names_its_place(old, new, match):
    with pytest.raises(errors.SettingsError, match=match):
        settings.parse(GOOD.replace(old, new))


def test_a_missing_file_is_a_fault():
    with pytest.raises(errors.SettingsError, match="readable"):
        settings.load(pathlib.Path("/no/such/file"))
