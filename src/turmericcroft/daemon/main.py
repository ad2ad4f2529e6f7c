"""Entry point of the daemon process."""

import asyncio
import pathlib
import signal
import sys

import fire
import logbook
import uvloop

from turmericcroft import errors
from turmericcroft import settings
from turmericcroft.daemon import daemon as daemons
from turmericcroft.daemon import logs

EXIT_FAULTY_INPUT = 2
_LOG = logbook.Logger("main")


def run(settings: str) -> None:
    """Runs the daemon until SIGTERM or SIGINT.

    Args:
        settings: Path of the settings file (TOML).
    """
    config = _load(settings)
    logs.set_up(config.log, config.daemon.name)
    uvloop.run(_serve(config))


def main() -> None:
    """Runs the command line."""
    fire.Fire(run, name="turmericcroftd")


def _load(path: str) -> settings.Settings:
    try:
        return settings.load(pathlib.Path(path))
    except errors.SettingsError as error:
        sys.stderr.write(f"{error}\n")
        raise SystemExit(EXIT_FAULTY_INPUT) from error


async def _serve(config: settings.Settings) -> None:
    daemon = daemons.Daemon(config)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    await daemon.start()
    _LOG.info("started", daemon=config.daemon.name)
    await stop.wait()
    _LOG.info("stopping", daemon=config.daemon.name)
    await daemon.stop()
    _LOG.info("stopped", daemon=config.daemon.name)
