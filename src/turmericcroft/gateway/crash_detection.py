"""Detects crashes of servers and records which requests may have caused them.

When a response is lost, the server is probed: a server that has crashed refuses
connections until it starts again, which takes seconds.
"""

import asyncio
import dataclasses
import typing
from collections.abc import Iterable

from turmericcroft import errors
from turmericcroft.eventlog import events
from turmericcroft.fleet import directory
from turmericcroft.fleet import rendezvous
from turmericcroft.routing import poison

if typing.TYPE_CHECKING:
    from turmericcroft.gateway import state as states

# A crashed server refuses connections at once, so a short delay is enough. It
# also collects the other requests that were lost with the server.
_PROBE_DELAY_S = 0.05
# A server that still sends events this long after the first one has not crashed
# by the request.
ANSWER_PROVEN_S = 1.0


@dataclasses.dataclass
class LostRequests:
    """Requests that were lost at a server that is to be probed.

    Attributes:
        request_ids: Ids of the requests.
        suspects: Traits of those that the server was about to answer.
        sent_at_s: When the last of the requests was sent, monotonic.
    """

    request_ids: set[str] = dataclasses.field(default_factory=set)
    suspects: set[str] = dataclasses.field(default_factory=set)
    sent_at_s: float = 0.0


class CrashDetector:
    """Keeps the ledger of crashes by what this daemon and others observe.

    It probes the servers at which responses were lost.
    """

    def __init__(self, state: "states.State") -> None:
        self.state = state
        self._lost: dict[tuple[str, int], LostRequests] = {}
        self._logged_from = state.crash_ledger.causes
        self._logged_causes: dict[str, poison.Cause] = {}

    def record_loss(
        self,
        server: directory.Server,
        request_id: str,
        suspects: tuple[str, ...],
        sent_at_s: float,
    ) -> None:
        """Records a lost response and starts a probe of its server.

        Args:
            server: The server.
            request_id: Id of the request.
            suspects: The request's traits, if it may have crashed the server.
            sent_at_s: When it was sent to the server, monotonic.
        """
        lost = self._lost.get(server.incarnation)
        if lost is None:
            lost = self._lost[server.incarnation] = LostRequests()
            task = asyncio.create_task(self._probe(server))
            self.state.background_tasks.add(task)
            task.add_done_callback(self.state.background_tasks.discard)
        lost.request_ids.add(request_id)
        lost.suspects.update(suspects)
        lost.sent_at_s = max(lost.sent_at_s, sent_at_s)

    def record_answer(self, traits: tuple[str, ...], now_s: float) -> None:
        """Records that a server answered a request without a crash."""
        self.state.crash_ledger.record_answer(traits, now_s)
        self._log_causes()

    def merge(self, notes: Iterable[poison.CrashNote], now_s: float) -> None:
        """Applies what another daemon or the store knows of crashes."""
        for note in notes:
            self.state.crash_ledger.merge(note, now_s)
        self._log_causes()

    def release(self, traits: Iterable[str], now_s: float) -> None:
        """Clears traits that an operator released."""
        self.state.crash_ledger.clear(tuple(traits), now_s)
        self._log_causes()

    def try_start_trial(self, cause: poison.Cause, now_s: float) -> bool:
        """Lets a request through that is refused as a cause of crashes.

        One daemon of the fleet does so, at long intervals, so that requests
        that no longer crash servers are served again.
        """
        chosen = rendezvous.choose(cause.key, self.state.live_daemons)
        return (
            chosen == self.state.settings.daemon.name
            and self.state.crash_ledger.try_start_trial(cause, now_s)
        )

    def sweep(self, now_s: float) -> None:
        """Clears the requests that are being answered; removes old crashes."""
        self.state.crash_ledger.expire(now_s)
        if self.state.crash_ledger.crashes:
            for open_exchange in self.state.open_requests:
                open_exchange.clear_if_answered(now_s)
        self._log_causes()

    async def _probe(self, server: directory.Server) -> None:
        await asyncio.sleep(_PROBE_DELAY_S)
        lost = self._lost.pop(server.incarnation)
        state = self.state
        try:
            connection = await state.pool.acquire(server, 0.0)
        except errors.BackendNotReachedError as error:
            is_refused = isinstance(error.__cause__, ConnectionRefusedError)
            if await state.path_monitor.check(server.service, "probe"):
                # This daemon's own paths may be broken; others' tell.
                is_refused = (
                    state.pool.detour is None
                    or await state.pool.detour.confirms_down(server)
                )
                if not is_refused:
                    return
            now_s = asyncio.get_running_loop().time()
            state.record_failure(server, f"probe: {error}", now_s)
            if is_refused:
                self._record_crash(server, lost, now_s)
            return
        state.pool.keep_unused(server, connection)

    def _record_crash(
        self, server: directory.Server, lost: LostRequests, now_s: float
    ) -> None:
        record = self.state.directory.records.get(server.name)
        announced = (
            record is not None
            and record.server.incarnation == server.incarnation
            and record.state is directory.ServerState.LEAVING
        )
        ledger = self.state.crash_ledger
        if not announced:
            ledger.record_crash(
                server.incarnation, lost.suspects, lost.sent_at_s, now_s
            )
            self.state.metrics.server_crashes.inc({"service": server.service})
        self.state.log.write(
            events.ServerCrashed(
                server=server.name,
                service=server.service,
                announced=announced,
                requests=tuple(sorted(lost.request_ids)),
                suspects=tuple(sorted(lost.suspects)),
                crashes=max(map(ledger.crash_count, lost.suspects), default=0),
            )
        )
        self._log_causes()

    def _log_causes(self) -> None:
        """Logs which causes of crashes were found or have ended."""
        if self.state.crash_ledger.causes is self._logged_from:
            return
        self._logged_from = self.state.crash_ledger.causes
        causes = {cause.key: cause for cause in self._logged_from}
        for key, cause in causes.items():
            if key not in self._logged_causes:
                self.state.log.write(
                    events.RequestQuarantined(
                        fingerprint=key,
                        crashes=len(cause.crashes),
                        traits=tuple(sorted(cause.traits)),
                    )
                )
        for key in self._logged_causes.keys() - causes.keys():
            self.state.log.write(events.QuarantineEnded(key))
        self._logged_causes = causes
