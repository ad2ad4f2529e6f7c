"""Short soak tests of real gateway processes; more seeds are run by hand."""

import pytest

from turmericcroft_lab.hosted import soak


@pytest.mark.parametrize("seed", [1, 2])
def test_guarantees_hold_under_overlapping_faults(seed):
    report = soak.run(seed, seconds=6.0)
    assert report.violations == (), report
    assert report.succeeded > 0.3 * report.requests


# 4108 and 4109: a window of usage was reported with other counts, because the
# store lost its record before another daemon had read it.
@pytest.mark.parametrize("seed", [3, 4108, 4109])
def test_guarantees_hold_when_the_store_continues_from_older_copies(seed):
    report = soak.run(seed, 6.0, soak.Options(restores=True))
    assert "store restored" in report.faults
    assert report.violations == (), report
    assert report.succeeded > 0.3 * report.requests


@pytest.mark.parametrize("seed", [5])
def test_guarantees_hold_while_engines_crash_on_a_part_of_prompts(seed):
    report = soak.run(seed, 6.0, soak.Options(crashing_part=True))
    assert report.violations == (), report


@pytest.mark.parametrize("seed", [6])
def test_guarantees_hold_while_servers_state_limits(seed):
    report = soak.run(seed, 6.0, soak.Options(limits=True))
    assert report.violations == (), report


# Incident inc1 of hanbit-shared: streams held events of two software versions.
@pytest.mark.parametrize("seed", [7])
def test_no_stream_mixes_software_versions_during_releases(seed):
    report = soak.run(seed, 6.0, soak.Options(releases=True))
    assert any(fault.startswith("release") for fault in report.faults)
    assert report.violations == (), report


# Incident second1 of hanbit-shared: partitioned daemons refused their callers.
@pytest.mark.parametrize("seed", [8])
def test_daemons_that_reach_no_server_serve_their_clients(seed):
    report = soak.run(seed, 6.0, soak.Options(partitions=True))
    assert any(fault.startswith("partition") for fault in report.faults)
    assert report.violations == (), report


# A bad version must be rolled back, and a good one completed, whatever fails.
@pytest.mark.parametrize("seed", [10])
def test_rollouts_end_truthfully_under_overlapping_faults(seed):
    report = soak.run(seed, 6.0, soak.Options(rollouts=True))
    assert any(fault.startswith("roll out") for fault in report.faults)
    assert report.violations == (), report


# Guards against bursts that make brittle servers fall over (issue 29, LIMIT).
@pytest.mark.parametrize("seed", [9])
def test_bursts_fell_no_brittle_servers_after_faults(seed):
    report = soak.run(seed, 4.0, soak.Options(brittle=True))
    assert report.violations == (), report


# Guards against joined responses (rule MIXED): a caller got a success with the
# body of a failure.
@pytest.mark.parametrize("seed", [11])
def test_servers_that_answer_twice_and_fall_silent_mix_no_answers(seed):
    report = soak.run(seed, 6.0, soak.Options(stutter=True))
    assert any(fault.startswith("silent") for fault in report.faults)
    assert report.violations == (), report


# Guards against streams of killed engines that end as complete (rule ORDER).
@pytest.mark.parametrize("seed", [12])
def test_no_stream_of_a_killed_engine_ends_as_complete(seed):
    report = soak.run(seed, 6.0, soak.Options(kills=True))
    assert any(fault.startswith("replace") for fault in report.faults)
    assert report.violations == (), report
    assert report.succeeded > 0


# Guards against streams that join pieces of two runs, or lose or repeat events,
# when they move between engines (rule ORDER).
@pytest.mark.parametrize("seed", [1011])
def test_streams_move_as_one_run_whatever_fails_meanwhile(seed):
    report = soak.run(seed, 6.0, soak.Options(kills=True, moves=True))
    assert any(fault.startswith("repeat handles") for fault in report.faults)
    assert report.violations == (), report
    assert report.streams.moved > 0


# Guards against streams that go on at the only version that a daemon knows
# which was paused or cut off during a release (rule ORDER, issue 54).
@pytest.mark.parametrize("seed", [23])
def test_no_stream_changes_its_version_at_daemons_out_of_step(seed):
    report = soak.run(seed, 4.0, soak.Options(skewed=True))
    assert any(fault.startswith("heal") for fault in report.faults)
    assert report.violations == (), report
    assert report.streams.taken_up > 0


# Guards against requests that are served without a key that a version holds
# (rule ROUTE, issue 58), while accounts come and go and are declared oddly.
@pytest.mark.parametrize("seed", [58])
def test_no_request_is_executed_without_a_key_that_a_version_holds(seed):
    report = soak.run(seed, 6.0, soak.Options(keys=True))
    assert any(fault.startswith("accounts []") for fault in report.faults)
    assert report.violations == (), report
