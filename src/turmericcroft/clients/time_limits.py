"""Time limits that a pause of this process does not use up.

A process that was paused, waited for a processor or was busy finds its timers
expired before it reads what arrived meanwhile. An answer that was there in time
would be taken for none, and its sender for one that failed.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator

# A timer that fires later than this shows that the process did not run.
_LATE_S = 0.02
# Time for reading what has arrived; several steps of the event loop. A running
# server accepts a connection within a millisecond.
_READ_S = 0.1
# A process that is paused again and again still ends the wait.
_MAX_EXTENSIONS = 3


@contextlib.asynccontextmanager
async def limit(timeout_s: float) -> AsyncIterator[None]:
    """Limits the time of a wait for another process, beside own pauses.

    Args:
        timeout_s: Limit in seconds. If it is noticed late, what has arrived is
            still read, for which up to 0.1 s pass.

    Raises:
        TimeoutError: The time has passed.
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(None) as scope:
        timer: asyncio.TimerHandle

        def expire(due_s: float, extensions: int) -> None:
            nonlocal timer
            now_s = loop.time()
            if now_s - due_s > _LATE_S and extensions < _MAX_EXTENSIONS:
                due_s = now_s + _READ_S
                timer = loop.call_at(due_s, expire, due_s, extensions + 1)
            else:
                scope.reschedule(now_s)

        due_s = loop.time() + timeout_s
        timer = loop.call_at(due_s, expire, due_s, 0)
        try:
            yield
        finally:
            timer.cancel()
