"""wasabidrumd: one daemon, an entry or a sidecar by its settings."""

import argparse
import asyncio
import signal
import sys
import typing

from ..config.deployment import Deployment
from ..config.settings import Settings
from ..core.errors import CodedError
from ..core.finding import Finding
from ..observe.event import Event
from ..observe.event_log import EventLog, make_event_log, make_output_log
from ..observe.library_logging import redirect_library_logging
from ..wire import tls

EXIT_BAD_SETTINGS = 2


async def run(settings: Settings, identity: tls.FleetTls | None) -> None:
    """Runs the daemon until SIGTERM or SIGINT, then stops it gracefully."""
    log = make_event_log(settings.name, settings.log_file)
    # Imported by role, so that no role loads the modules of the other.
    if settings.role == "entry":
        from ..entry.daemon import make_entry as make_daemon
    else:
        from ..sidecar.daemon import make_sidecar as make_daemon
    daemon = make_daemon(settings, log)
    ended = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ended.set)
    if identity is not None:
        watching = asyncio.ensure_future(
            identity.watch(lambda fault: log_certificate_change(log, fault))
        )
    await daemon.start()
    await ended.wait()
    await stop(daemon, log)
    if identity is not None:
        watching.cancel()


def log_certificate_change(log: EventLog, fault: str) -> None:
    """Logs that new certificates are in force, or why they were refused."""
    if fault:
        log.write(Event.CERTIFICATES_REFUSED, reason=fault)
    else:
        log.write(Event.CERTIFICATES_IN_FORCE)


class StoppableDaemon(typing.Protocol):
    """A daemon that can be stopped."""

    async def stop(self) -> None:
        """Stops gracefully."""


async def stop(daemon: StoppableDaemon, log: EventLog) -> None:
    """Stops a daemon gracefully, and logs an error that ends the stop.

    Raises:
      Exception: The stop has failed.
    """
    try:
        await daemon.stop()
    except Exception as error:
        log.write(Event.STOP_FAILED, reason=repr(error)[:300])
        raise


class DeployedDaemon(StoppableDaemon, typing.Protocol):
    """A daemon whose settings the platform provides."""

    async def start(self) -> None:
        """Starts to listen and to work."""

    def reload(self, deployment: Deployment) -> list[str]:
        """Applies new settings; returns the names of those that changed."""


async def run_deployed(deployment: Deployment) -> None:
    """Runs the daemon with the role in the deployment until SIGTERM or SIGINT, then stops it."""
    log = make_output_log(deployment.name)
    redirect_library_logging(log)
    if deployment.role == "entry":
        from ..gateway.daemon import make_gateway as make_daemon
    else:
        from ..sidecar.deployed import make_deployed_sidecar as make_daemon
    daemon = make_daemon(deployment, log)
    ended = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ended.set)
    loop.add_signal_handler(signal.SIGHUP, reload_deployment, daemon, log)
    await daemon.start()
    await ended.wait()
    await stop(daemon, log)


def reload_deployment(daemon: DeployedDaemon, log: EventLog) -> None:
    """Reads the platform's settings again, and applies those that may change at run time."""
    from ..platform.boot_settings import read_deployment

    try:
        changed = daemon.reload(read_deployment())
    except CodedError as error:
        log.write(Event.SETTINGS_REFUSED, reason=str(error)[:300])
        return
    log.write(Event.SETTINGS_RELOADED, changed=changed)


def main() -> int:
    """Parses the command line and runs the daemon; returns the exit status."""
    parser = argparse.ArgumentParser(prog="wasabidrumd", description=__doc__)
    source = parser.add_mutually_exclusive_group(required=True)
    source.add_argument("--settings", metavar="FILE", help="YAML settings")
    source.add_argument(
        "--deployed", action="store_true", help="take the settings that the platform placed"
    )
    options = parser.parse_args()
    if options.deployed:
        return main_deployed()
    # Imported only here: the YAML reader takes a megabyte of memory, and the settings that the
    # platform provides are JSON.
    from ..config.settings_file import read_settings

    settings, findings = read_settings(options.settings)
    for finding in findings:
        print(finding, file=sys.stderr)
    if settings is None or findings:
        return EXIT_BAD_SETTINGS
    try:
        identity = tls.enable_tls(settings.tls)
    except CodedError as error:
        print(Finding(options.settings, 0, 0, "TLS-INVALID", str(error)), file=sys.stderr)
        return EXIT_BAD_SETTINGS
    asyncio.run(run(settings, identity))
    return 0


def main_deployed() -> int:
    """Runs with the settings that the platform provides; returns the exit status."""
    from ..platform.boot_settings import read_deployment

    try:
        deployment = read_deployment()
    except CodedError as error:
        print(f"{error.code}: {error}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    asyncio.run(run_deployed(deployment))
    return 0


if __name__ == "__main__":
    sys.exit(main())
