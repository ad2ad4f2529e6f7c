"""Task of the duties: one daemon at a time reports usage, orders servers."""

import asyncio
import json
import random
import time

import logbook

from turmericcroft import errors
from turmericcroft.duties import lease as leases
from turmericcroft.eventlog import events
from turmericcroft.gateway import following
from turmericcroft.gateway import members
from turmericcroft.gateway import ordering
from turmericcroft.gateway import ports
from turmericcroft.gateway import settings
from turmericcroft.gateway import state as states

_LOG = logbook.Logger("duty")
USAGE_PREFIX = following.GATEWAY_PREFIX + "usage/"
# Renewals a lease; two may fail before it ends.
_RENEWALS = 3
# Candidates try one after the other rather than all at once.
_CANDIDATE_SPREAD_S = 0.5
_TICK_S = 0.25
# Digests carry counts within this time of the end of a window.
_COUNTS_SETTLE_S = 1.5
# Counts of a silent daemon are waited for up to this part of the delay.
_SILENT_DELAY_SHARE = 0.6
# Windows that a new holder looks back at.
_WINDOWS_BACK = 3
_WINDOWS_KEPT = 8


def boot_time_s() -> float:
    """Time of a clock that goes on while the VM is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class DutyTask:
    """Competes for the duties and does them while it holds them.

    Attributes:
        holding: The lease, while it is held.
    """

    def __init__(
        self,
        state: states.State,
        store: ports.Store,
        cloud: ports.Cloud,
        follower: following.Follower,
        view: members.Members,
    ) -> None:
        self.state = state
        self.store = store
        self.cloud = cloud
        self.follower = follower
        self.members = view
        self.held_lease: leases.HeldLease | None = None
        self.orders = ordering.ServerOrders(state, cloud)
        self._ttl_s = state.settings.bounds.lease_ms / 1000
        # An earlier start of this daemon may have held the duties until now.
        self._last_held_s = boot_time_s()
        if state.settings.first_start:
            self._last_held_s = float("-inf")
        self._next_window = 0
        self._recorded: dict[int, dict[str, int]] = {}
        self._random = random.Random()

    async def run(self) -> None:
        """Runs until cancelled."""
        await self.follower.listed.wait()
        while True:
            self.orders.observe()
            try:
                await self._compete()
                if self.held_lease is not None:
                    await self._hold()
            except errors.PlatformError as error:
                _LOG.warning("duties not held", error=str(error))
            await asyncio.sleep(_TICK_S)

    def fencing_token(self) -> ports.FencingToken | None:
        """Makes the mark of a call; None if no call may be made now."""
        held_lease = self.held_lease
        if held_lease is None or not held_lease.may_act(boot_time_s()):
            return None
        return ports.FencingToken(
            self.state.settings.daemon.name, held_lease.token
        )

    async def release_lease(self) -> None:
        """Ends the lease, so that another daemon takes over at once."""
        held_lease, self.held_lease = self.held_lease, None
        if held_lease is None:
            return
        try:
            await self.store.end_lease(held_lease.lease_id)
        except errors.PlatformError as error:
            _LOG.warning("lease not ended", error=str(error))

    async def _compete(self) -> None:
        """Takes the duties over if nobody holds them."""
        if self.follower.duty_holder is not None or self.state.stopping:
            return
        if self.follower.unavailable_since_s is not None:
            return
        if not self.members.polls_store():
            # What it knows of the duties' key is old.
            return
        await asyncio.sleep(self._random.uniform(0.0, _CANDIDATE_SPREAD_S))
        # Two holders that take turns within a lease could not be told apart
        # from one that acts late.
        since_s = boot_time_s() - self._last_held_s
        if self.follower.duty_holder is not None or since_s < self._ttl_s:
            return
        sent_at_s = boot_time_s()
        lease = await self.store.grant_lease(self._ttl_s)
        own = self.members.own.key
        try:
            token = await self.store.commit(
                (ports.Condition(following.DUTY_KEY, 0),),
                (ports.Write(following.DUTY_KEY, own.encode(), lease),),
            )
        except errors.KeyValueOutcomeUnknownError:
            token = await self._find_own_token(own)
        if token is None:
            return
        self.held_lease = leases.HeldLease(lease, token, self._ttl_s)
        self.held_lease.record_renewal(sent_at_s)
        self.held_lease.usable_from_s = boot_time_s() + leases.TAKEOVER_DELAY_S
        self._changed("gained", token, "")

    async def _find_own_token(self, own: str) -> int | None:
        item = await self.store.get(following.DUTY_KEY)
        if item is None or item.value is None or item.value.decode() != own:
            return None
        return item.revision

    async def _hold(self) -> None:
        """Does the duties until the lease ends."""
        assert self.held_lease is not None
        self.orders.reset()
        work = asyncio.create_task(self._work())
        try:
            cause = await self._renew(self.held_lease)
        finally:
            work.cancel()
            await asyncio.gather(work, return_exceptions=True)
        self._last_held_s = boot_time_s()
        if self.held_lease is not None:
            self._changed("lost", self.held_lease.token, cause)
            self.held_lease = None

    async def _renew(self, held_lease: leases.HeldLease) -> str:
        """Renews the lease; returns why it ended."""
        while True:
            await asyncio.sleep(self._ttl_s / _RENEWALS)
            sent_at_s = boot_time_s()
            if sent_at_s >= held_lease.valid_until_s:
                return "not renewed in time"
            seen = self.follower.duty_holder
            if seen is not None and seen[0] > held_lease.token:
                return f"held by {seen[1]}"
            try:
                if not await self.store.keep_lease(held_lease.lease_id):
                    return "lease ended"
                held_lease.record_renewal(sent_at_s)
            except errors.PlatformError as error:
                _LOG.warning("lease not renewed", error=str(error))

    async def _work(self) -> None:
        await self._load_recorded()
        while True:
            try:
                await self._report_usage()
            except errors.PlatformError as error:
                _LOG.warning("usage not recorded", error=str(error))
            self.orders.observe()
            await self.orders.update(self.fencing_token)
            await asyncio.sleep(_TICK_S)

    async def _load_recorded(self) -> None:
        """Finds the windows that former holders recorded."""
        current = self.state.usage.window_at(self.state.corrected_time_s())
        self._next_window = max(self._next_window, current - _WINDOWS_BACK)
        while True:
            try:
                listing = await self.store.list_prefix(USAGE_PREFIX)
                break
            except errors.PlatformError as error:
                _LOG.warning("usage not listed", error=str(error))
                await asyncio.sleep(_TICK_S)
        self._recorded = {}
        for item in listing.items:
            number = item.key.removeprefix(USAGE_PREFIX)
            if item.value is not None and number.isdigit():
                self._recorded[int(number)] = json.loads(item.value)

    async def _report_usage(self) -> None:
        """Reports the next window that is over, exactly as recorded."""
        duties = self.state.settings.surroundings.duties
        if settings.Duty.USAGE not in duties:
            return
        bounds = self.state.settings.bounds
        window = self._next_window
        ended_s = (window + 1) * bounds.usage_window_s
        over_s = self.state.corrected_time_s() - ended_s
        missing = self.members.count_silent(bounds.usage_delay_s)
        settle_s = _COUNTS_SETTLE_S
        if missing:
            settle_s = bounds.usage_delay_s * _SILENT_DELAY_SHARE
        if over_s < settle_s:
            return
        if self.members.is_large_fleet():
            # A zone whose relay just ended has another one within seconds.
            latest_s = bounds.usage_delay_s * _SILENT_DELAY_SHARE
            complete = await self.members.relay_exchange.collect_usage()
            if not complete and over_s < latest_s:
                return
        counts = await self._record(window)
        seal = self.fencing_token()
        if counts is None or seal is None:
            return
        outcome = await self.cloud.report_usage(window, counts, seal)
        self.state.log.write(
            events.UsageReported(
                window=window,
                outcome=outcome.value,
                token=seal.number,
                requests=sum(counts.values()),
                members_missing=missing,
            )
        )
        if outcome is not ports.CallOutcome.FAILED:
            self._next_window = window + 1

    async def _record(self, window: int) -> dict[str, int] | None:
        """Records a window's counts once for all holders."""
        counts = self._recorded.get(window)
        if counts is not None:
            return counts
        table = self.state.declaration.table
        if table is None or self.fencing_token() is None:
            return None
        accounts = [account.name for account in table.declaration.accounts]
        counts = self.state.usage.total(window, accounts)
        key = f"{USAGE_PREFIX}{window}"
        old = f"{USAGE_PREFIX}{window - _WINDOWS_KEPT}"
        revision = await self.store.commit(
            (ports.Condition(key, 0),),
            (ports.Write(key, json.dumps(counts).encode()),),
            (old,),
        )
        if revision is None:
            item = await self.store.get(key)
            if item is None or item.value is None:
                return None
            counts = json.loads(item.value)
        self._recorded[window] = counts
        return counts

    def _changed(self, change: str, token: int, cause: str) -> None:
        self.state.log.write(events.DutyChanged(change, token, cause))
