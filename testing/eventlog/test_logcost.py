"""Processor time of log lines, on a real daemon."""

from turmericcroft_lab.hosted import logcost

# Issue 12: log lines take less than this part of a request's processor time.
MOST = 0.05


def test_log_lines_take_a_small_part_of_a_request():
    cost = logcost.run(requests=300)
    assert cost.lines >= 3 * cost.requests
    assert cost.share < MOST
