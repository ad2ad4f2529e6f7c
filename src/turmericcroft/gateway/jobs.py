"""Background jobs of a daemon, which are started again when they fail."""

import asyncio
import collections
import typing
from collections.abc import Callable
from collections.abc import Coroutine

import logbook

from turmericcroft.gateway import metrics

_LOG = logbook.Logger("gateway")
_RESTART_PAUSE_S = 0.5
_MAX_ERROR_CHARACTERS = 500

Job = Callable[[], Coroutine[typing.Any, typing.Any, None]]


async def keep_running(job: Job, meter: metrics.Metrics) -> None:
    """Runs a job until it ends; logs a failure and starts the job again.

    Without one of its jobs a daemon would serve on with what it knew, so that
    it would never notice a server that left or a key that was withdrawn.
    """
    name = getattr(job, "func", job).__qualname__
    causes: collections.Counter[str] = collections.Counter()
    while True:
        try:
            await job()
        except Exception as error:
            causes[type(error).__name__] += 1
            meter.job_failures.inc({"job": name})
            _LOG.exception(
                "background job failed; starting it again",
                job=name,
                error=repr(error)[:_MAX_ERROR_CHARACTERS],
                same_error=causes[type(error).__name__],
            )
            await asyncio.sleep(_RESTART_PAUSE_S)
        else:
            return
