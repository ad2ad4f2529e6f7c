"""Shares of the limits that servers state, in fleets of all sizes."""

import random

import pytest

from turmericcroft.routing import server_limits

SERVER = ("i-1", 1)
_STEP_S = 0.05
_WINDOW_S = 4.0


def make_fleet(count):
    names = tuple(f"edge-{number}" for number in range(count))
    fleet = [server_limits.ServerLimits(name) for name in names]
    for daemon in fleet:
        daemon.daemons = names
    return fleet


def most_in_window(times):
    return max(
        (sum(t <= u < t + _WINDOW_S for u in times) for t in times), default=0
    )


# Guards against shares that add up to a multiple of the limit (LIMIT).
@pytest.mark.parametrize("limit_per_s", [0.0, 0.4, 1.0, 4.0, 31.5])
@pytest.mark.parametrize("daemons", [1, 8, 61, 195])
def test_daemons_under_pressure_send_no_more_than_the_limit(
    daemons, limit_per_s
):
    fleet = make_fleet(daemons)
    times = []
    for step in range(int(12.0 / _STEP_S)):
        now_s = step * _STEP_S
        for daemon in fleet:
            daemon.observe(SERVER, limit_per_s, now_s)
            for _ in range(3):
                if daemon.try_acquire(SERVER, now_s):
                    times.append(now_s)
    assert most_in_window(times) <= 1.5 * _WINDOW_S * limit_per_s + 5
    assert len(times) >= 0.5 * 12.0 * limit_per_s


@pytest.mark.parametrize("seed", range(10))
def test_the_limit_holds_while_daemons_restart(seed):
    rng = random.Random(seed)
    fleet = make_fleet(8)
    names = fleet[0].daemons
    down_until_s = dict.fromkeys(names, 0.0)
    times = []
    for step in range(int(20.0 / _STEP_S)):
        now_s = step * _STEP_S
        if step % 60 == 59:
            number = rng.randrange(8)
            fleet[number] = server_limits.ServerLimits(names[number])
            down_until_s[names[number]] = now_s + rng.uniform(0.2, 4.0)
        alive = tuple(n for n in names if down_until_s[n] <= now_s)
        for daemon in fleet:
            if daemon.own not in alive:
                continue
            daemon.daemons = alive
            daemon.merge(server_limits.LimitNote(*SERVER, 1.0, 0.2), now_s)
            if daemon.try_acquire(SERVER, now_s):
                times.append(now_s)
    assert most_in_window(times) <= 11


def test_a_limit_that_another_daemon_was_told_is_kept():
    first, second = make_fleet(2)
    assert first.observe(SERVER, 1.0, 10.0)
    (note,) = first.notes(10.4)
    assert note.age_s == pytest.approx(0.4)
    assert second.merge(note, 20.0)
    assert second.limited() == {SERVER: 1.0}
    assert not second.merge(note, 20.0)


def test_a_limit_ends_with_the_answers_that_do_not_state_it():
    first, second = make_fleet(2)
    for daemon in (first, second):
        daemon.observe(SERVER, 1.0, 0.0)
    assert first.observe(SERVER, None, 5.0)
    assert first.wait_s(SERVER, 5.0) == 0.0
    (note,) = first.notes(5.2)
    assert second.merge(note, 5.3)
    assert second.wait_s(SERVER, 5.3) == 0.0


def test_an_older_end_does_not_undo_a_later_limit():
    (daemon,) = make_fleet(1)
    daemon.observe(SERVER, 2.0, 10.0)
    ended = server_limits.LimitNote(*SERVER, None, 0.5)
    assert not daemon.merge(ended, 11.0)
    assert daemon.limited() == {SERVER: 2.0}


def test_a_server_without_a_limit_is_not_held_back():
    (daemon,) = make_fleet(1)
    assert not daemon.observe(SERVER, None, 0.0)
    assert all(daemon.try_acquire(SERVER, 0.0) for _ in range(100))
    assert daemon.notes(0.0) == ()


def test_a_request_that_was_not_sent_is_returned_to_the_share():
    (daemon,) = make_fleet(1)
    daemon.observe(SERVER, 1.0, 0.0)
    assert daemon.try_acquire(SERVER, 1.0)
    assert not daemon.try_acquire(SERVER, 1.1)
    daemon.refund(SERVER)
    assert daemon.try_acquire(SERVER, 1.1)


def test_the_wait_tells_when_a_request_may_be_sent():
    (daemon,) = make_fleet(1)
    daemon.observe(SERVER, 0.5, 0.0)
    wait_s = daemon.wait_s(SERVER, 0.5)
    assert wait_s == pytest.approx(1.5)
    assert daemon.try_acquire(SERVER, 0.5 + wait_s)


def test_limits_of_ended_and_silent_servers_are_removed():
    (daemon,) = make_fleet(1)
    daemon.observe(SERVER, 1.0, 0.0)
    daemon.observe(("i-2", 1), 1.0, 30.0)
    daemon.expire(61.0)
    assert set(daemon.limited()) == {("i-2", 1)}
    daemon.remove("i-2")
    assert not daemon.limited()
