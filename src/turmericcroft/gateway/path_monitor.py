"""Tries this daemon's own paths to the servers when they seem to be broken.

Connections that fail, and requests that no server answers with a byte, lead to
a trial of several servers at once. While none of them is reached, connections
lead through other daemons, and the paths are tried again until one works.
"""

import asyncio
import random
import typing

from turmericcroft import errors
from turmericcroft.eventlog import events
from turmericcroft.fleet import directory
from turmericcroft.routing import paths

if typing.TYPE_CHECKING:
    from turmericcroft.gateway import state as states

# A running server accepts a connection within a millisecond.
_TRIAL_TIMEOUT_S = 0.4
_POLL_S = 0.1
# Silence of all servers, while one of them has a request, that leads to a
# trial. The prefill of a long prompt takes about half of it.
_SILENCE_S = 0.7
_ISOLATED_INTERVAL_S = 0.4
_SOUND_INTERVAL_S = 1.0
# A leaving server may outlast its time by this much: the result of a move that
# was ordered before may come so late, and a run may go on at its source.
_LEAVING_GRACE_S = 1.0


class PathMonitor:
    """Tries the paths, and keeps the result in the daemon's state."""

    def __init__(self, state: "states.State") -> None:
        self.state = state
        self._trials: dict[str, asyncio.Task[None]] = {}
        self._tried_at_s: dict[str, float] = {}

    async def run(self) -> None:
        """Tries the paths whenever there is a reason to."""
        while True:
            await asyncio.sleep(_POLL_S)
            for service in list(self.state.paths.isolated):
                if self._is_due(service, _ISOLATED_INTERVAL_S):
                    self._start_trial(service, "isolated")
            for service in self._silent_services():
                if self._is_due(service, _SOUND_INTERVAL_S):
                    self._start_trial(service, "silence")

    async def check(self, service: str, trigger: str) -> bool:
        """Tries the paths now, or joins a trial that is under way.

        Args:
            service: The service whose servers are tried.
            trigger: Why, for the log.

        Returns:
            Whether no server of the service is reached.
        """
        await asyncio.shield(self._start_trial(service, trigger))
        return self.state.paths.is_isolated(service)

    def _start_trial(self, service: str, trigger: str) -> asyncio.Task[None]:
        trial = self._trials.get(service)
        if trial is None:
            trial = asyncio.create_task(self._try_paths(service, trigger))
            self._trials[service] = trial
            trial.add_done_callback(lambda _: self._end_trial(service))
        return trial

    def _end_trial(self, service: str) -> None:
        del self._trials[service]
        self._tried_at_s[service] = asyncio.get_running_loop().time()

    def _is_due(self, service: str, interval_s: float) -> bool:
        tried_at_s = self._tried_at_s.get(service, float("-inf"))
        return asyncio.get_running_loop().time() - tried_at_s >= interval_s

    def _silent_services(self) -> set[str]:
        """Services with waiting requests while no server sends anything."""
        now_s = asyncio.get_running_loop().time()
        if now_s - self.state.pool.heard_at_s <= _SILENCE_S:
            return set()
        return {
            exchange.progress.server.service
            for exchange in self.state.open_requests
            if exchange.is_executing
            and exchange.progress.server is not None
            and now_s - exchange.progress.sent_at_s > _SILENCE_S
        }

    async def _try_paths(self, service: str, trigger: str) -> None:
        state = self.state
        usable = list(state.directory.usable(service))
        random.shuffle(usable)
        probes = paths.choose_probes(usable, self._leaving(service))
        results = await asyncio.gather(*(self._reach(s) for s in probes))
        outcomes = list(zip(probes, results, strict=True))
        reached = [server.name for server, is_up in outcomes if is_up]
        # A leaving server may have ended.
        missed = [
            server.name
            for server, is_up in outcomes
            if not is_up and server in usable
        ]
        if not state.paths.record_trial(service, reached, missed):
            return
        # Connections that were open before may be dead without a sign, and
        # what was held against servers was not theirs.
        state.pool.close()
        now_s = asyncio.get_running_loop().time()
        state.loads.forgive([server.name for server in usable], now_s)
        state.zones.forgive()
        is_isolated = state.paths.is_isolated(service)
        state.log.write(
            events.PathsChanged(
                service=service,
                isolated=is_isolated,
                trigger=trigger,
                reached=tuple(reached),
                missed=tuple(missed),
            )
        )
        if is_isolated:
            self._try_others(service)

    def _leaving(self, service: str) -> list[directory.Server]:
        now_s = asyncio.get_running_loop().time()
        return [
            record.server
            for record in self.state.directory.leaving()
            if record.server.service == service
            and now_s < record.leaves_at_s + _LEAVING_GRACE_S
        ]

    def _try_others(self, isolated: str) -> None:
        """Tries the other services: a partition mostly is one from all."""
        table = self.state.declaration.table
        for service in table.declaration.services if table is not None else ():
            if service != isolated and not self.state.paths.is_isolated(
                service
            ):
                self._start_trial(service, f"{isolated} isolated")

    async def _reach(self, server: directory.Server) -> bool:
        """Opens a connection on the direct path and keeps it for requests."""
        pool = self.state.pool
        try:
            connection = await pool.open_direct(server, _TRIAL_TIMEOUT_S)
        except errors.BackendNotReachedError:
            return False
        if self.state.paths.is_isolated(server.service):
            connection.abort()
        else:
            pool.keep_unused(server, connection)
        return True
