"""Asks the store whether the declaration in force is the newest one.

Load pattern: many requests that no route or API key allows arrive at once. A
call serves all that came before it began, and the declaration counts as
confirmed for some time after it; a store that does not answer is left alone.
"""

import asyncio

import logbook

from turmericcroft import errors
from turmericcroft.fleet import positions
from turmericcroft.gateway import ports
from turmericcroft.gateway import state as states
from turmericcroft.gateway import store_view as store_views
from turmericcroft.stream_lookup import view_confirmation

_LOG = logbook.Logger("declarations")
# Time for which a request waits. The call goes on: on a slow link a long
# declaration takes longer, and is in force when the client comes back.
_WAIT_S = 0.3
# The store is not asked again within this time after it did not answer.
_RETRY_INTERVAL_S = 0.5


class DeclarationConfirmation:
    """Reads the declaration from the store, once for all who wait."""

    def __init__(
        self,
        state: states.State,
        store: ports.Store,
        store_view: store_views.StoreView,
    ) -> None:
        self.state = state
        self.store = store
        self.store_view = store_view
        self._shared = view_confirmation.SharedCall(self._ask)
        self._failed_at_s = float("-inf")

    async def confirm(self) -> None:
        """Brings the declaration up to date, if the store answers soon."""
        try:
            async with asyncio.timeout(_WAIT_S):
                await self._shared.run()
        except TimeoutError:
            now_s = asyncio.get_running_loop().time()
            self.state.declaration.recency.record_unanswered(now_s)

    async def _ask(self) -> positions.StorePosition | None:
        loop = asyncio.get_running_loop()
        asked_at_s = loop.time()
        if asked_at_s - self._failed_at_s < _RETRY_INTERVAL_S:
            return None
        active = self.state.declaration
        try:
            # Unlike changes, the value of a key is never an older one.
            item = await self.store.get(self.store_view.schema.declaration_key)
        except errors.PlatformError as error:
            self._failed_at_s = loop.time()
            active.recency.record_unanswered(self._failed_at_s)
            _LOG.warning(
                "the store did not confirm the declaration",
                version=active.version,
                age_s=self._failed_at_s - active.recency.confirmed_at_s,
                error=str(error),
            )
            return None
        if item is not None and item.value and item.value != active.raw:
            revision = item.position.revision
            self.store_view.apply_declaration(item.value, revision, "store")
        active.recency.confirm(asked_at_s)
        return item.position if item is not None else None
