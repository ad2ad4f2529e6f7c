"""Short soak tests of real gateway processes; more seeds are run by hand."""

import pytest

from turmericcroft_lab.hosted import soak


@pytest.mark.parametrize("seed", [1, 2])
def test_guarantees_hold_under_overlapping_faults(seed):
    report = soak.run(seed, seconds=6.0)
    assert report.violations == (), report
    assert report.succeeded > 0.3 * report.requests
