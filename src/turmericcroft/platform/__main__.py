"""Starts a gateway daemon on the platform."""

import os
import pathlib
import sys

from turmericcroft import errors
from turmericcroft.eventlog import writer
from turmericcroft.gateway import daemon as daemons
from turmericcroft.gateway import ports
from turmericcroft.gateway import process_exit
from turmericcroft.gateway import settings
from turmericcroft.platform import cloud
from turmericcroft.platform import dialect
from turmericcroft.platform import records
from turmericcroft.platform import store

_SETTINGS_VARIABLE = "TURMERICCROFT_SETTINGS"
_EXIT_FAULTY_INPUT = 2
_STDOUT_DESCRIPTOR = 1


def main() -> None:
    """Runs the daemon with the settings file that the environment names."""
    path = pathlib.Path(os.environ.get(_SETTINGS_VARIABLE, ""))
    try:
        config = settings.load(path)
    except errors.SettingsError as error:
        sys.stderr.write(f"{error}\n")
        raise SystemExit(_EXIT_FAULTY_INPUT) from error
    process_exit.run_to_exit(serve(config, records.StoreSchema()))


async def serve(config: settings.Settings, schema: ports.StoreSchema) -> None:
    """Runs the daemon until it is stopped."""
    log = writer.Writer(config.daemon.name, _STDOUT_DESCRIPTOR)
    handler = writer.LogbookHandler(log, config.log_level)
    handler.push_application()
    address = config.surroundings.cloud
    daemon = daemons.Daemon(
        config,
        store.Store(config.surroundings.store),
        cloud.Cloud(address) if address else None,
        dialect.Dialect(),
        schema,
        log,
    )
    await daemon.run()


if __name__ == "__main__":
    main()
