"""Limits of requests per second that servers state for all daemons together.

Load pattern: a server in need names a limit that is small against the number of
daemons. If each daemon kept the limit for itself, or saved up a request of its
own, the server would get a multiple of it. So only some daemons, the holders,
send requests to such a server, each an equal share of the limit. All daemons
find the same holders by rendezvous hashing, and need no agreement.
"""

import dataclasses
from collections.abc import Sequence

from turmericcroft.fleet import ages
from turmericcroft.fleet import rendezvous
from turmericcroft.routing import limits

# Holders per request a second, besides the first one. Each may have saved up
# one request, so more of them send more in a moment; fewer leave more daemons
# without a share.
_HOLDERS_PER_RATE = 2.0
# A server that states a lower limit is still asked now and then, because only
# its next answer can tell that the limit has ended.
_MIN_RATE_PER_S = 0.25
_SAVED_REQUESTS = 1.0
# A shorter wait is a rounding error.
_TIME_RESOLUTION_S = 1e-6
# Statements reach other daemons through relays with ages that are wrong by up
# to this time. A limit that ended must be newer by as much.
_AGE_ERROR_S = 1.5
# How long the end of a limit is told to other daemons.
_END_REPEAT_S = 5.0
# A limit that no answer stated again for this time has ended.
_LIFETIME_S = 60.0
# When a client that came to a daemon without a share may come back; its next
# request reaches another daemon.
_NO_SHARE_RETRY_S = 1.0

Incarnation = tuple[str, int]


@dataclasses.dataclass(frozen=True)
class LimitNote:
    """What a server stated last, as sent to other daemons.

    Attributes:
        server: Name of the server.
        started_at_ms: Start of its incarnation, in Unix milliseconds.
        limit_per_s: The limit; None if it ended.
        age_s: Time since the answer that stated it.
    """

    server: str
    started_at_ms: int
    limit_per_s: float | None
    age_s: ages.Age


@dataclasses.dataclass
class _Statement:
    """Last statement of one server.

    Attributes:
        limit_per_s: The limit; None if it ended.
        stated_at_s: Monotonic time of the answer that stated it.
        bucket: This daemon's share; None without one.
        shared_by: Limit and daemons from which the share was calculated.
    """

    limit_per_s: float | None
    stated_at_s: float
    bucket: limits.TokenBucket | None = None
    shared_by: tuple[float, tuple[str, ...]] | None = None


class ServerLimits:
    """Limits of all servers, and this daemon's shares of them.

    Attributes:
        own: Name of this daemon.
        daemons: Names of the daemons that share the limits.
    """

    def __init__(self, own: str) -> None:
        self.own = own
        self.daemons: tuple[str, ...] = (own,)
        self._statements: dict[Incarnation, _Statement] = {}

    def observe(
        self, server: Incarnation, limit_per_s: float | None, now_s: float
    ) -> bool:
        """Applies an answer of a server to this daemon.

        Returns:
            Whether the limit changed.
        """
        known = self._statements.get(server)
        if known is None and limit_per_s is None:
            return False
        return self._apply(server, limit_per_s, now_s, now_s)

    def merge(self, note: LimitNote, now_s: float) -> bool:
        """Applies what another daemon heard, unless newer is known.

        Returns:
            Whether the limit changed.
        """
        server = (note.server, note.started_at_ms)
        known = self._statements.get(server)
        stated_at_s = now_s - note.age_s
        if known is not None:
            margin_s = _AGE_ERROR_S if note.limit_per_s is None else 0.0
            if stated_at_s <= known.stated_at_s + margin_s:
                return False
        elif note.limit_per_s is None:
            return False
        return self._apply(server, note.limit_per_s, stated_at_s, now_s)

    def wait_s(self, server: Incarnation, now_s: float) -> float:
        """Returns the time until a request may be sent to a server.

        Returns:
            Zero without a limit.
        """
        statement = self._statements.get(server)
        if statement is None or statement.limit_per_s is None:
            return 0.0
        self._update_share(server, statement, now_s)
        if statement.bucket is None:
            return _NO_SHARE_RETRY_S
        wait_s = statement.bucket.wait_s(now_s)
        return wait_s if wait_s > _TIME_RESOLUTION_S else 0.0

    def try_acquire(self, server: Incarnation, now_s: float) -> bool:
        """Takes a request of this daemon's share, if there is one."""
        if self.wait_s(server, now_s) > 0.0:
            return False
        self.acquire(server, now_s)
        return True

    def acquire(self, server: Incarnation, now_s: float) -> None:
        """Counts a request that is sent in any case."""
        statement = self._statements.get(server)
        if statement is None or statement.limit_per_s is None:
            return
        self._update_share(server, statement, now_s)
        if statement.bucket is not None:
            statement.bucket.tokens -= 1.0

    def refund(self, server: Incarnation) -> None:
        """Returns a request that was not sent."""
        statement = self._statements.get(server)
        if statement is not None and statement.bucket is not None:
            statement.bucket.tokens += 1.0

    def notes(self, now_s: float) -> tuple[LimitNote, ...]:
        """Returns the limits in force, and those that ended recently."""
        return tuple(
            LimitNote(
                *server, statement.limit_per_s, now_s - statement.stated_at_s
            )
            for server, statement in self._statements.items()
            if statement.limit_per_s is not None
            or now_s - statement.stated_at_s < _END_REPEAT_S
        )

    def limited(self) -> dict[Incarnation, float]:
        """Returns the limits in force."""
        return {
            server: statement.limit_per_s
            for server, statement in self._statements.items()
            if statement.limit_per_s is not None
        }

    def remove(self, name: str) -> None:
        """Removes a server that ended or started again."""
        for server in [s for s in self._statements if s[0] == name]:
            del self._statements[server]

    def expire(self, now_s: float) -> None:
        """Removes limits that were not stated again."""
        for server, statement in list(self._statements.items()):
            if now_s - statement.stated_at_s > _LIFETIME_S:
                del self._statements[server]

    def _apply(
        self,
        server: Incarnation,
        limit_per_s: float | None,
        stated_at_s: float,
        now_s: float,
    ) -> bool:
        statement = self._statements.get(server)
        if statement is None:
            statement = self._statements[server] = _Statement(None, stated_at_s)
        changed = statement.limit_per_s != limit_per_s
        statement.limit_per_s = limit_per_s
        statement.stated_at_s = stated_at_s
        if limit_per_s is None:
            statement.bucket = statement.shared_by = None
        else:
            self._update_share(server, statement, now_s)
        return changed

    def _update_share(
        self, server: Incarnation, statement: _Statement, now_s: float
    ) -> None:
        assert statement.limit_per_s is not None
        shared_by = (statement.limit_per_s, self.daemons)
        if statement.shared_by == shared_by:
            return
        statement.shared_by = shared_by
        rate = max(_MIN_RATE_PER_S, statement.limit_per_s)
        holders = find_holders(server, rate, self.daemons)
        if self.own not in holders:
            statement.bucket = None
            return
        share = rate / len(holders)
        if statement.bucket is None:
            # Starts empty: another daemon may just have used this share.
            statement.bucket = limits.TokenBucket(
                share, _SAVED_REQUESTS, 0.0, now_s
            )
        else:
            # Adds what the old share earned until now.
            statement.bucket.wait_s(now_s)
            statement.bucket.rate_per_s = share


def find_holders(
    server: Incarnation, limit_per_s: float, daemons: Sequence[str]
) -> tuple[str, ...]:
    """Returns the daemons that share a server's limit.

    Example:
        >>> daemons = [f"edge-{number}" for number in range(200)]
        >>> [len(find_holders(("i-1", 1), x, daemons)) for x in (0.5, 4, 400)]
        [2, 9, 200]
    """
    count = 1 + int(min(len(daemons), _HOLDERS_PER_RATE * limit_per_s))
    name, started_at_ms = server
    ranked = rendezvous.rank(f"{name}/{started_at_ms}", daemons)
    return tuple(ranked[:count])
