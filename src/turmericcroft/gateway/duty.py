"""Performs the duties: reporting usage and ordering servers.

One daemon at a time performs them, the holder of a lease in the store. Each of
its calls to the cloud carries a fencing token.
"""

import asyncio
import json
import math
import random
import time

import logbook

from turmericcroft import errors
from turmericcroft.duties import lease as leases
from turmericcroft.duties import usage
from turmericcroft.eventlog import events
from turmericcroft.fleet import positions
from turmericcroft.fleet import stored_records
from turmericcroft.gateway import following
from turmericcroft.gateway import members
from turmericcroft.gateway import ordering
from turmericcroft.gateway import ports
from turmericcroft.gateway import settings
from turmericcroft.gateway import state as states

_LOG = logbook.Logger("duty")
# Renewals in the duration of a lease; two may fail before it expires.
_RENEWALS_PER_LEASE = 3
# Candidates wait up to this time at random, so that they don't all try at once.
_MAX_ACQUIRE_DELAY_S = 0.5
_POLL_INTERVAL_S = 0.25
# Digests deliver the counts of a window within this time of its end.
_COUNTS_DELAY_S = 1.5
# Longest wait for missing counts, such as those of a silent daemon, as a share
# of the time within which usage must be reported (usage_delay_s).
_MISSING_COUNTS_DELAY_SHARE = 0.6
# A window is reported this time after it was recorded, when digests have told
# the other daemons its counts.
_RECORD_SPREAD_S = 0.5
# Number of past windows that a new lease holder may still report.
_MAX_WINDOWS_BACK = 3


def boot_time_s() -> float:
    """Returns the time of a clock that advances while the VM is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class DutyTask:
    """Competes for the lease and performs the duties while it holds it.

    Attributes:
        held_lease: The lease; None while another daemon or none holds it.
        orders: Orders of servers, one of the duties.
    """

    def __init__(
        self,
        state: states.State,
        store: ports.Store,
        cloud: ports.Cloud,
        follower: following.Follower,
        fleet_members: members.Members,
    ) -> None:
        self.state = state
        self.store = store
        self.cloud = cloud
        self.follower = follower
        self.members = fleet_members
        self.held_lease: leases.HeldLease | None = None
        self.orders = ordering.ServerOrders(state, cloud)
        self._ttl_s = state.settings.bounds.lease_ms / 1000
        # An earlier process of this daemon may have held the lease until now.
        self._last_held_at_s = boot_time_s()
        if state.settings.first_start:
            self._last_held_at_s = float("-inf")
        self._next_window = 0
        # Windows that are recorded in the store, and when that was known.
        self._stored_at_s: dict[int, float] = {}
        self._era: int | None = None
        self._era_changed_at_s = float("-inf")
        self._random = random.Random()

    async def run(self) -> None:
        """Competes for the lease and performs the duties until cancelled."""
        await self.follower.listed.wait()
        while True:
            self.orders.observe()
            try:
                await self._try_acquire_lease()
                if self.held_lease is not None:
                    await self._perform_while_held()
            except errors.PlatformError as error:
                _LOG.warning(
                    "cannot acquire the duties lease; retrying",
                    error=str(error),
                )
            await asyncio.sleep(_POLL_INTERVAL_S)

    def fencing_token(self) -> ports.FencingToken | None:
        """Returns the fencing token of a call; None if none may be made now."""
        held_lease = self.held_lease
        if (
            held_lease is None
            or held_lease.era != self.store.era
            or not held_lease.may_act(boot_time_s())
        ):
            return None
        return ports.FencingToken(
            self.state.settings.daemon.name, held_lease.token
        )

    async def release_lease(self) -> None:
        """Ends the lease in the store, so that another daemon can take over."""
        held_lease, self.held_lease = self.held_lease, None
        if held_lease is None:
            return
        try:
            await self.store.end_lease(
                ports.Lease(held_lease.lease_id, held_lease.era)
            )
        except errors.PlatformError as error:
            _LOG.warning("cannot end the duties lease", error=str(error))

    async def _try_acquire_lease(self) -> None:
        """Acquires the lease if no daemon holds it."""
        own = self.members.own.key
        self._observe_era()
        if self._is_held_by_other(own) or self.state.stopping:
            return
        if self.follower.unavailable_since_s is not None:
            return
        if not self.members.polls_store():
            # The local view of the duties' key is out of date.
            return
        await asyncio.sleep(self._random.uniform(0.0, _MAX_ACQUIRE_DELAY_S))
        # If two holders alternated within the duration of a lease, a call of
        # the new holder could not be told from a late call of the old one.
        since_held_s = boot_time_s() - self._last_held_at_s
        if self._is_held_by_other(own) or since_held_s < self._ttl_s:
            return
        holder = self.follower.duty_holder
        if holder is not None and holder.position.era != self.store.era:
            return
        # The key may name this daemon, if the store continues from a copy of
        # the time when it held the lease.
        revision = holder.position.revision if holder is not None else 0
        sent_at_s = boot_time_s()
        lease = await self.store.grant_lease(self._ttl_s)
        write = ports.Write(following.DUTY_KEY, own.encode(), lease.lease_id)
        try:
            position = await self.store.commit(
                (ports.Condition(following.DUTY_KEY, revision),), (write,)
            )
        except errors.KeyValueOutcomeUnknownError:
            position = await self._find_own_write(own, lease)
        if position is None or position.era != lease.era:
            return
        self._hold(lease, position, sent_at_s)

    def _observe_era(self) -> None:
        """Notes when the store continued from an older copy."""
        if self._era is not None and self.store.era != self._era:
            self._era_changed_at_s = boot_time_s()
        self._era = self.store.era

    def _is_held_by_other(self, own: str) -> bool:
        holder = self.follower.duty_holder
        return holder is not None and holder.member != own

    def _hold(
        self,
        lease: ports.Lease,
        position: positions.StorePosition,
        sent_at_s: float,
    ) -> None:
        token = leases.fencing_number(position)
        self._observe_era()
        # The store no longer knows the lease of a holder of an earlier era,
        # which may make calls until it has expired.
        self.held_lease = leases.HeldLease(
            lease.lease_id,
            token,
            self._ttl_s,
            usable_from_s=max(
                boot_time_s() + leases.TAKEOVER_DELAY_S,
                self._era_changed_at_s + self._ttl_s,
            ),
            era=lease.era,
            position=position,
        )
        self.held_lease.record_renewal(sent_at_s)
        self._log_change("gained", token, "")

    async def _find_own_write(
        self, own: str, lease: ports.Lease
    ) -> positions.StorePosition | None:
        """Returns where a write took effect whose answer was lost.

        Args:
            own: Key of this daemon.
            lease: Lease that the write bound the duties' key to. It is ended if
                the write has had no effect, so that it has none later either.
        """
        try:
            position = await self._read_back(own, lease)
        except errors.PlatformError as error:
            _LOG.warning("cannot read the duties' key", error=str(error))
            position = None
        if position is None:
            await self.store.end_lease(lease)
        return position

    async def _read_back(
        self, own: str, lease: ports.Lease
    ) -> positions.StorePosition | None:
        """Returns the position of the duties' key if it is bound to a lease.

        The key may name this daemon because of an earlier write whose answer
        was lost. It is bound to that write's lease then, which is not renewed.
        """
        item = await self.store.get(following.DUTY_KEY)
        if item is None or item.value != own.encode():
            return None
        if item.lease != lease.lease_id:
            _LOG.warning(
                "an earlier write of the duties' key took effect late",
                position=str(item.position),
                lease=item.lease,
                expected_lease=lease.lease_id,
            )
            return None
        return item.position

    async def _perform_while_held(self) -> None:
        """Performs the duties until the lease is lost."""
        assert self.held_lease is not None
        self.orders.reset()
        work = asyncio.create_task(self._perform_duties())
        try:
            cause = await self._renew_until_lost(self.held_lease)
        finally:
            work.cancel()
            await asyncio.gather(work, return_exceptions=True)
        self._last_held_at_s = boot_time_s()
        if self.held_lease is not None:
            self._log_change("lost", self.held_lease.token, cause)
            self.held_lease = None

    async def _renew_until_lost(self, held_lease: leases.HeldLease) -> str:
        """Renews the lease until it is lost; returns the cause."""
        while True:
            await asyncio.sleep(self._ttl_s / _RENEWALS_PER_LEASE)
            sent_at_s = boot_time_s()
            if sent_at_s >= held_lease.valid_until_s:
                return "not renewed in time"
            if held_lease.era != self.store.era:
                return f"store continues in era {self.store.era}"
            current_holder = self.follower.duty_holder
            if (
                current_holder is not None
                and leases.fencing_number(current_holder.position)
                > held_lease.token
            ):
                return f"held by {current_holder.member}"
            if self.follower.is_duty_key_missing(held_lease.position):
                return "key removed"
            lease = ports.Lease(held_lease.lease_id, held_lease.era)
            try:
                if not await self.store.keep_lease(lease):
                    return "lease ended"
                held_lease.record_renewal(sent_at_s)
            except errors.PlatformError as error:
                _LOG.warning(
                    "cannot renew the duties lease; retrying", error=str(error)
                )

    async def _perform_duties(self) -> None:
        await self._load_recorded_windows()
        while True:
            try:
                await self._report_usage()
            except errors.PlatformError as error:
                _LOG.warning("cannot record usage; retrying", error=str(error))
            self.orders.observe()
            await self.orders.update(self.fencing_token)
            await asyncio.sleep(_POLL_INTERVAL_S)

    async def _load_recorded_windows(self) -> None:
        """Loads the counts that previous lease holders recorded."""
        current = self.state.usage.window_at(self.state.corrected_time_s())
        self._next_window = max(self._next_window, current - _MAX_WINDOWS_BACK)
        while True:
            try:
                listing = await self.store.list_prefix(following.USAGE_PREFIX)
                break
            except errors.PlatformError as error:
                _LOG.warning(
                    "cannot list recorded usage; retrying", error=str(error)
                )
                await asyncio.sleep(_POLL_INTERVAL_S)
        listed = {item.key for item in listing.items}
        for item in listing.items:
            self.follower.apply_own_key(item)
        self._stored_at_s = {
            window: float("-inf")
            for window in self.state.recorded_windows.counts
            if f"{following.USAGE_PREFIX}{window}" in listed
        }
        self._skip_unknown_windows(current)

    def _skip_unknown_windows(self, current: int) -> None:
        """Skips windows that may have been reported with counts now lost.

        The store lost what was recorded shortly before it continued from a
        copy. A holder that then ended may have reported such a window.
        """
        window_s = self.state.settings.bounds.usage_window_s
        changed_ago_s = boot_time_s() - self._era_changed_at_s
        changed_at_s = self.state.corrected_time_s() - changed_ago_s
        for window in range(self._next_window, current):
            ended_s = (window + 1) * window_s
            if ended_s + _COUNTS_DELAY_S > changed_at_s:
                break
            if window not in self.state.recorded_windows.counts:
                self._next_window = window + 1
                _LOG.warning(
                    "usage of a window is not reported: its record may have "
                    "been lost with the store",
                    window=window,
                )

    async def _report_usage(self) -> None:
        """Reports the next window that has ended, with the recorded counts."""
        duties = self.state.settings.surroundings.duties
        if settings.Duty.USAGE not in duties:
            return
        bounds = self.state.settings.bounds
        window = self._next_window
        ended_s = (window + 1) * bounds.usage_window_s
        elapsed_s = self.state.corrected_time_s() - ended_s
        silent_members = self.members.count_silent(bounds.usage_delay_s)
        delay_s = _COUNTS_DELAY_S
        if silent_members:
            delay_s = bounds.usage_delay_s * _MISSING_COUNTS_DELAY_SHARE
        if elapsed_s < delay_s:
            return
        if self.members.is_large_fleet():
            # A zone whose relay just stopped has another one within seconds.
            latest_s = bounds.usage_delay_s * _MISSING_COUNTS_DELAY_SHARE
            complete = await self.members.relay_exchange.collect_usage()
            if not complete and elapsed_s < latest_s:
                return
        counts = await self._record_window(window)
        fencing_token = self.fencing_token()
        recorded_s = boot_time_s() - self._stored_at_s.get(window, math.inf)
        if (
            counts is None
            or fencing_token is None
            or recorded_s < _RECORD_SPREAD_S
        ):
            return
        outcome = await self.cloud.report_usage(window, counts, fencing_token)
        self.state.log.write(
            events.UsageReported(
                window=window,
                outcome=outcome.value,
                token=fencing_token.number,
                requests=sum(counts.values()),
                members_missing=silent_members,
            )
        )
        if outcome is not ports.CallOutcome.FAILED:
            self._next_window = window + 1

    async def _record_window(self, window: int) -> dict[str, int] | None:
        """Records a window's counts in the store, unless they are there.

        All lease holders report the recorded counts, so a window that is
        reported twice has the same counts.

        Returns:
            The recorded counts; None if they can't be recorded now.
        """
        counts = self.state.recorded_windows.counts.get(window)
        if counts is not None and window in self._stored_at_s:
            return counts
        table = self.state.declaration.table
        if table is None or self.fencing_token() is None:
            return None
        if counts is None:
            accounts = [account.name for account in table.declaration.accounts]
            counts = self.state.usage.total(window, accounts)
        record = json.dumps(counts).encode()
        key = f"{following.USAGE_PREFIX}{window}"
        old_window = window - usage.RECORDED_WINDOWS_KEPT
        position = await self.store.commit(
            (ports.Condition(key, 0),),
            (ports.Write(key, record),),
            (f"{following.USAGE_PREFIX}{old_window}",),
        )
        if position is None:
            item = await self.store.get(key)
            if item is None or item.value is None:
                return None
            counts = stored_records.decode_counts(item.value)
            if counts is None:
                return None
        self.state.recorded_windows.keep(window, counts)
        self._stored_at_s[window] = boot_time_s()
        return self.state.recorded_windows.counts.get(window, counts)

    def _log_change(self, change: str, token: int, cause: str) -> None:
        self.state.log.write(events.DutyChanged(change, token, cause))
