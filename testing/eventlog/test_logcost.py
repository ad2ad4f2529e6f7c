"""CPU time of log lines in a running daemon."""

from turmericcroft_lab.hosted import logcost

# Issue 12: log lines take less than this share of a request's CPU time.
MAX_SHARE = 0.05


def test_log_lines_take_a_small_share_of_cpu_time():
    cost = logcost.run(requests=300)
    assert cost.lines >= 3 * cost.requests
    assert cost.share < MAX_SHARE
