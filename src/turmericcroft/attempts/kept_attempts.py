"""Attempts at one request: the awaited one, and one kept until it is accepted.

A request whose server is late is sent to another one, which may refuse it. The
first attempt is therefore kept until the other server has accepted the request
or one of both has answered. This answers a load at which some servers are
slower than expected while others have no room. It holds for plain services: no
two engines may work on one execution.
"""

import asyncio
import typing
from collections.abc import Callable

from turmericcroft.gateway import answer
from turmericcroft.gateway import progress as progresses
from turmericcroft.gateway import sending
from turmericcroft.gateway import state as states
from turmericcroft.gateway import upstream

_MIN_SERVER_ERROR_STATUS = 500


def is_kept_next(
    awaited: answer.Outcome | None, kept: answer.Outcome | None
) -> bool:
    """Whether the kept attempt is handled before the awaited one.

    A good answer comes before any other end, also before a timeout.

    Args:
        awaited: How the awaited attempt ended; None if it is open or overdue.
        kept: How the kept one ended; None if it is open.
    """
    if _is_good(awaited) or kept is None:
        return False
    return awaited is None or _is_good(kept)


def _is_good(outcome: answer.Outcome | None) -> bool:
    match outcome:
        case answer.StreamCompleted():
            return True
        case answer.CompleteResponse(status):
            return status < _MIN_SERVER_ERROR_STATUS and not (
                answer.proves_not_run(outcome)
            )
    return False


class Attempts:
    """Open attempts at one request, of which the request's progress is kept.

    Attributes:
        awaited: The attempt whose outcome is handled next; None while the
            request is about to be sent.
        kept: An overdue attempt, open until the awaited one is accepted; None
            without one. It counts among the progress's executions.
        retry_from_s: Another server is not tried before this time, monotonic.
    """

    def __init__(
        self, state: states.State, progress: progresses.Progress
    ) -> None:
        self.state = state
        self.progress = progress
        self.awaited: sending.Attempt | None = None
        self.kept: sending.Attempt | None = None
        self.retry_from_s = float("-inf")

    def find(self, connection: upstream.Connection) -> sending.Attempt:
        """Returns the open attempt that uses a connection."""
        kept = self.kept
        if kept is not None and kept.reader.source is connection:
            return kept
        assert self.awaited is not None
        return self.awaited

    async def wait(
        self,
        waits_until_deadline: Callable[[], bool],
        may_try_elsewhere: Callable[[], bool],
    ) -> answer.Outcome | None:
        """Waits for an attempt to be handled, which becomes the awaited one.

        Args and the returned value are as for `Attempt.wait_for_outcome`.
        """
        while True:
            attempt, kept = self.awaited, self.kept
            assert attempt is not None
            wait = attempt.wait_for_outcome(
                waits_until_deadline(), may_try_elsewhere
            )
            if kept is None:
                return await wait
            waiting: asyncio.Future[typing.Any] = asyncio.ensure_future(wait)
            await asyncio.wait(
                {waiting, kept.reader.outcome},
                return_when=asyncio.FIRST_COMPLETED,
            )
            waiting.cancel()
            if self.awaited is not attempt or self.kept is not kept:
                # One of them was accepted, and the other one was cancelled.
                continue
            if is_kept_next(attempt.outcome, kept.outcome):
                self._swap()
                return kept.reader.outcome.result()
            return attempt.outcome

    def can_keep(self) -> bool:
        """Whether the awaited attempt, which is overdue, can be kept."""
        assert self.awaited is not None
        return (
            self.kept is None
            and self.awaited.reader.forwarder is None
            and self.awaited.admitted.service.engine is None
        )

    def keep(self) -> bool:
        """Keeps the awaited attempt; returns whether for the first time."""
        self.kept, self.awaited = self.awaited, None
        assert self.kept is not None
        is_first = not self.kept.is_overdue
        self.kept.record_overdue()
        self.progress.executions += 1
        return is_first

    def resume(self, pause_s: float = 0.0) -> bool:
        """Awaits the kept attempt again; returns whether there is one.

        Args:
            pause_s: How long to wait before another server is tried again.
        """
        if self.kept is None:
            return False
        self.awaited = None
        self._swap()
        self.progress.executions -= 1
        self.retry_from_s = asyncio.get_running_loop().time() + pause_s
        return True

    def select_open(self) -> bool:
        """Selects the attempt to wait for; returns whether there is one."""
        if self.awaited is not None and self.awaited.is_finished:
            self.awaited = None
            self.resume()
        elif self.kept is not None and _is_good(self.kept.outcome):
            # Its answer came while the request was about to be sent again.
            self.resume()
        return self.awaited is not None

    def accept(self, connection: upstream.Connection) -> None:
        """Cancels the kept attempt once another server accepted the request.

        Args:
            connection: The connection on which the response came. The head of
                the kept attempt's response does not prefer it, as it is late.
        """
        if self.kept is not None and self.kept.reader.source is not connection:
            self._drop_kept()

    def cancel(self) -> None:
        """Stops the executions at the servers, if there are any."""
        self._drop_kept()
        if self.awaited is not None:
            self.awaited.cancel()

    def _swap(self) -> None:
        """Awaits the kept attempt, which the request's progress then names."""
        self.awaited, self.kept = self.kept, self.awaited
        assert self.awaited is not None
        self.progress.server = self.awaited.load.selection.server
        self.progress.sent_at_s = self.awaited.sent_at_s

    def _drop_kept(self) -> None:
        kept, self.kept = self.kept, None
        if kept is None:
            return
        outcome = kept.outcome
        if outcome is not None or kept.is_overdue:
            kept.finish(outcome, was_migrated=False)
        kept.cancel()
        if isinstance(outcome, answer.ResponseLost):
            self.state.crashes.record_loss(
                kept.load.selection.server,
                kept.reader.request_id,
                kept.admitted.traits,
                kept.sent_at_s,
            )
