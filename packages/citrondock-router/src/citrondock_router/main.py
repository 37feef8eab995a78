"""Entry point of the ``citrondock-router`` command."""

import sys

from absl import app

from citrondock_core.faults import SettingsError
from citrondock_router.log import configure_logging, log_event
from citrondock_router.router import Router
from citrondock_router.settings import USAGE_EXIT_CODE
from citrondock_router.settings_flags import define_flags, settings_from_flags
from citrondock_router.stop_signal import StopSignal

# Many threads compete for the interpreter lock; a short interval gives it back to the
# relay thread soon.
_SWITCH_INTERVAL_S = 0.0002


def main(argv: list[str]) -> int:
    """Run one router until a signal or an operator stops it."""
    try:
        settings = settings_from_flags()
    except SettingsError as error:
        for fault in error.exceptions:
            print(fault, file=sys.stderr)
        return USAGE_EXIT_CODE
    configure_logging(level=settings.log.level)
    sys.setswitchinterval(_SWITCH_INTERVAL_S)
    stop_signal = StopSignal()
    stop_signal.install()
    router = Router(settings, stop_signal=stop_signal)
    router.start()
    while not stop_signal.wait(1.0):
        continue
    log_event("stop_requested")
    router.stop()
    return 0


def run() -> None:
    """Define and parse the command line flags, then run the router."""
    define_flags()
    app.run(main)


if __name__ == "__main__":
    run()
