"""Keeps causes of server crashes in the store.

All daemons may restart at the same moment. Without the store, requests that
crash servers would have to crash several of them again before they are refused.
An operator releases requests by removing their key.
"""

import asyncio
import json

import cattrs
import logbook

from turmericcroft import errors
from turmericcroft.fleet import rendezvous
from turmericcroft.fleet import stored_records
from turmericcroft.gateway import following
from turmericcroft.gateway import members
from turmericcroft.gateway import ports
from turmericcroft.gateway import state as states
from turmericcroft.routing import poison

_LOG = logbook.Logger("quarantine")
_INTERVAL_S = 0.25
# The daemons of a small fleet write a cause in turn until one has done so; they
# see it in the store after up to 0.8 s.
_TURN_S = 1.2
# A write whose outcome isn't seen in the store is repeated after this time.
_REPEAT_S = 3.0


class QuarantineKeeper:
    """Writes causes to the store, and removes those that have ended."""

    def __init__(
        self,
        state: states.State,
        store: ports.Store,
        follower: following.Follower,
        fleet_members: members.Members,
    ) -> None:
        self.state = state
        self.store = store
        self.follower = follower
        self.members = fleet_members
        # When each cause may be written next, by its key.
        self._due_at_s: dict[str, float] = {}

    async def run(self) -> None:
        """Keeps the store up to date until cancelled."""
        await self.follower.listed.wait()
        while True:
            await asyncio.sleep(_INTERVAL_S)
            if (
                self.follower.unavailable_since_s is not None
                or not self.members.polls_store()
            ):
                continue
            try:
                await self._write_missing()
                await self._remove_ended()
            except errors.PlatformError as error:
                _LOG.warning(
                    "cannot update the quarantine in the store; retrying",
                    error=str(error),
                )

    async def _write_missing(self) -> None:
        now_s = asyncio.get_running_loop().time()
        causes = {c.key: c for c in self.state.crash_ledger.causes}
        self._due_at_s = {
            key: self._due_at_s.get(key, now_s + self._turn_s(key))
            for key in causes
        }
        for key, cause in causes.items():
            if key in self.follower.quarantines or now_s < self._due_at_s[key]:
                continue
            self._due_at_s[key] = now_s + _REPEAT_S
            notes = self.state.crash_ledger.evidence(cause, now_s)
            record = encode_quarantine(notes, self.state.corrected_time_s())
            name = following.QUARANTINE_PREFIX + key
            await self.store.commit(
                (ports.Condition(name, 0),),
                (ports.Write(name, record),),
            )

    def _turn_s(self, key: str) -> float:
        if self.members.is_large_fleet():
            # Only the relays get here.
            return 0.0
        names = rendezvous.rank(key, self.state.live_daemons)
        return _TURN_S * names.index(self.state.settings.daemon.name)

    async def _remove_ended(self) -> None:
        """Removes causes that were cleared or have expired."""
        ledger = self.state.crash_ledger
        for key, notes in list(self.follower.quarantines.items()):
            if not any(map(ledger.is_suspected, notes)):
                name = following.QUARANTINE_PREFIX + key
                await self.store.commit((), (), (name,))
                self.follower.quarantines.pop(key, None)


def encode_quarantine(
    notes: tuple[poison.CrashNote, ...], wall_s: float
) -> bytes:
    """Encodes the evidence of a cause, and the time of day of its ages."""
    record = stored_records.QuarantineRecord(wall_s, notes)
    return json.dumps(cattrs.unstructure(record)).encode()
