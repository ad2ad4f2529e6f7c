"""Task that follows the store: declaration, servers, daemons, duties."""

import asyncio
import random

import logbook

from turmericcroft import errors
from turmericcroft.eventlog import events
from turmericcroft.gateway import beliefs as belief_keeping
from turmericcroft.gateway import members
from turmericcroft.gateway import messages
from turmericcroft.gateway import ports
from turmericcroft.gateway import state as states

_LOG = logbook.Logger("following")
OWN_PREFIX = "turmericcroft/"
MEMBER_PREFIX = OWN_PREFIX + "members/"
DUTY_KEY = OWN_PREFIX + "duties"
# Changes gather before they are fetched, since each fetch is paid. A server
# that leaves goes on for a while (drain_ms), and must be known well within it:
# a store that drops its history tells nothing for another second.
_POLL_SHARE = 0.4
# The longest wait within one call. A connection that went silent shows when
# the answer is overdue.
WAIT_S = 2.0
_RETRY_S = 0.25
# In a large fleet few daemons ask the store, one a zone in normal times, and
# the others know what it said a few turns later.
_RELAY_POLL_S = 0.4
# They wait less within one call, since their answer must stay current for all:
# a part of the time that a leaving server goes on.
_RELAY_WAIT_SHARE = 0.2
# How often another daemon checks that its relay keeps it current.
_RELAYED_CHECK_S = 0.2
# A daemon's entry outlives short outages; who is alive is found by digests.
MEMBER_TTL_S = 60.0
_RENEW_INTERVAL_S = 20.0


class Follower:
    """Keeps beliefs in step with the store.

    Attributes:
        duty_holder: Revision and holder of the duties' key, as last seen;
            None if it does not exist.
        away_since_s: When the store stopped to answer; None if it answers.
    """

    def __init__(
        self,
        state: states.State,
        store: ports.Store,
        beliefs: belief_keeping.Beliefs,
        view: members.Members,
    ) -> None:
        self.state = state
        self.store = store
        self.beliefs = beliefs
        self.members = view
        self.duty_holder: tuple[int, str] | None = None
        self.listed = asyncio.Event()
        self.away_since_s: float | None = None
        self._poll_interval_s = _POLL_SHARE * state.directory.drain_s
        self._revision = 0
        self._random = random.Random()

    async def run(self) -> None:
        """Follows the store until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            began_s = loop.time()
            if self._revision and not self.members.follows_store():
                await asyncio.sleep(_RELAYED_CHECK_S)
                continue
            try:
                if self._revision:
                    await self._fetch_changes()
                else:
                    await self._list_all()
                self._answered()
                pause_s = self._interval_s() - (loop.time() - began_s)
            except errors.HistoryDiscardedError as error:
                _LOG.info("history gone, listing anew", error=str(error))
                self._revision = 0
                pause_s = 0.0
            except errors.PlatformError as error:
                self._unanswered(str(error))
                pause_s = _RETRY_S * self._random.uniform(0.7, 1.3)
            await asyncio.sleep(max(0.0, pause_s))

    def _interval_s(self) -> float:
        if self.members.is_large():
            return _RELAY_POLL_S
        return self._poll_interval_s

    async def register_forever(self) -> None:
        """Keeps this daemon's entry in the store."""
        lease = 0
        member = self.members.own
        value = belief_keeping.encode_member(member)
        while True:
            try:
                if not lease or not await self.store.keep_lease(lease):
                    lease = await self.store.grant_lease(MEMBER_TTL_S)
                    key = MEMBER_PREFIX + member.name
                    write = ports.Write(key, value, lease)
                    await self.store.commit((), (write,))
                pause_s = _RENEW_INTERVAL_S
            except errors.PlatformError as error:
                _LOG.warning("not registered", error=str(error))
                pause_s = 1.0
            await asyncio.sleep(pause_s * self._random.uniform(0.9, 1.1))

    async def _list_all(self) -> None:
        """Reads everything; the oldest part decides how far it reaches."""
        prefix = self.beliefs.records.declaration_prefix
        declared = await self.store.list_prefix(prefix)
        servers = await self.store.list_prefix(
            self.beliefs.records.server_prefix
        )
        own = await self.store.list_prefix(OWN_PREFIX)
        server_prefix = self.beliefs.records.server_prefix
        for item in declared.items:
            if item.key == self.beliefs.records.declaration_key:
                self.beliefs.declare(item.value or b"", item.revision, "store")
        self.beliefs.list_servers(
            (
                messages.ServerEntry(
                    item.key.removeprefix(server_prefix),
                    item.value or b"",
                    item.revision,
                )
                for item in servers.items
            ),
            servers.revision,
            0.0,
            "store",
        )
        self.duty_holder = None
        for item in own.items:
            self._take_in_own(item)
        self._revision = min(declared.revision, servers.revision, own.revision)
        self.listed.set()

    async def _fetch_changes(self) -> None:
        wait_s = WAIT_S
        if self.members.is_large():
            wait_s = _RELAY_WAIT_SHARE * self.state.directory.drain_s
        listing = await self.store.changes("", self._revision, wait_s)
        self._revision = max(self._revision, listing.revision)
        self.beliefs.apply(listing.items, self._revision)
        for item in listing.items:
            if item.key.startswith(OWN_PREFIX):
                self._take_in_own(item)

    def _take_in_own(self, item: ports.Item) -> None:
        if item.key == DUTY_KEY:
            self.duty_holder = None
            if item.value is not None:
                self.duty_holder = item.revision, item.value.decode()
        elif item.key.startswith(MEMBER_PREFIX) and item.value is not None:
            member = belief_keeping.decode_member(item.value)
            if member is not None:
                self.members.learn(member)

    def _answered(self) -> None:
        if self.away_since_s is None:
            return
        away_s = asyncio.get_running_loop().time() - self.away_since_s
        self.away_since_s = None
        self.state.log.write(events.DependencyRegained("store", away_s))

    def _unanswered(self, cause: str) -> None:
        if self.away_since_s is not None:
            return
        self.away_since_s = asyncio.get_running_loop().time()
        self.state.log.write(
            events.DependencyLost("store", cause, self.beliefs.fleet_age_s)
        )
