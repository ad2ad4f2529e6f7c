"""Keeps in the store which software versions were seen, and up to when.

After a restart of all daemons none of them remembers which versions it saw, so
that clients who take a stream up would be refused for as long as streams last.
The holder of the duties lease keeps the record. It states a position of the
store, so that a daemon that starts reads the changes since then from the store,
which keeps them for some time. A record alone says nothing of versions that
joined after it was written.
"""

import asyncio

import logbook

from turmericcroft import errors
from turmericcroft.fleet import stored_records
from turmericcroft.gateway import duty
from turmericcroft.gateway import following
from turmericcroft.gateway import ports
from turmericcroft.gateway import state as states
from turmericcroft.resumption import coverage
from turmericcroft.resumption import origins
from turmericcroft.stream_lookup import telling

_LOG = logbook.Logger("versions")
_CHECK_INTERVAL_S = 0.5
# The store keeps its changes for 20 s or more, unless it discards them early.
_REWRITE_INTERVAL_S = 8.0


class VersionRecorder:
    """Writes the record while this daemon holds the duties lease."""

    def __init__(
        self,
        state: states.State,
        store: ports.Store,
        duties: duty.DutyTask,
        follower: following.Follower,
    ) -> None:
        self.state = state
        self.store = store
        self.duties = duties
        self.follower = follower
        self._written: list[tuple[str, str]] = []
        self._written_at_s = float("-inf")

    async def run(self) -> None:
        """Compares the record with what is seen until cancelled."""
        await self.follower.listed.wait()
        while True:
            try:
                await self._update()
            except errors.PlatformError as error:
                _LOG.warning(
                    "cannot record software versions; retrying",
                    error=str(error),
                )
            await asyncio.sleep(_CHECK_INTERVAL_S)

    async def _update(self) -> None:
        now_s = asyncio.get_running_loop().time()
        history = telling.make_history(self.state, now_s)
        if (
            self.duties.fencing_token() is None
            or history.complete_for_s < origins.RETENTION_S
            or not self._is_due(history, now_s)
        ):
            return
        known = self.follower.coverage_record
        revision = known.position.revision if known is not None else 0
        record = stored_records.encode_history(history)
        obsolete = self.follower.has_versions_key
        position = await self.store.commit(
            (ports.Condition(following.COVERAGE_KEY, revision),),
            (ports.Write(following.COVERAGE_KEY, record),),
            (following.VERSIONS_KEY,) if obsolete else (),
        )
        if position is not None:
            self.follower.coverage_record = ports.Item(
                following.COVERAGE_KEY, record, position
            )
            self._written, self._written_at_s = history.versions, now_s

    def _is_due(self, history: coverage.VersionHistory, now_s: float) -> bool:
        return (
            history.versions != self._written
            or now_s - self._written_at_s >= _REWRITE_INTERVAL_S
        )
