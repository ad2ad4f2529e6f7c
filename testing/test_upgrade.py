"""Daemons of the last landing's build beside those of the working tree.

Guards against messages, records or decisions that one of the builds can't read
while VMs are replaced one after the other.
"""

import io
import pathlib
import subprocess
import tarfile

import pytest

from turmericcroft_lab.hosted import soak

_ROOT = pathlib.Path(__file__).parent.parent
_LAST_LANDING = "c0aa910"


@pytest.fixture(scope="module")
def earlier_build(tmp_path_factory):
    """Unpacks the source of the last landing from the history."""
    found = subprocess.run(
        ["git", "archive", _LAST_LANDING, "src"],
        cwd=_ROOT,
        capture_output=True,
    )
    if found.returncode:
        pytest.skip("the history of this checkout lacks the last landing")
    folder = tmp_path_factory.mktemp("earlier")
    with tarfile.open(fileobj=io.BytesIO(found.stdout)) as archive:
        archive.extractall(folder, filter="data")
    return str(folder / "src")


@pytest.mark.parametrize(
    "options", [{}, {"releases": True}, {"crashing_part": True}], ids=str
)
def test_guarantees_hold_while_two_builds_run_side_by_side(
    earlier_build, options
):
    report = soak.run(
        11,
        6.0,
        soak.Options(daemons=4, earlier_build=earlier_build, **options),
    )
    assert report.violations == (), report
    assert report.succeeded > 0.3 * report.requests
