"""Mutual TLS between the fleet's processes, with certificates that may be replaced at any time.

Every process presents a certificate signed by the fleet's authority, and accepts requests, commands
and peer messages only from processes that do so too. The host name in a certificate is not checked,
because instances come and go under addresses that no certificate could list in advance.
"""

import asyncio
import collections.abc
import contextvars
import pathlib
import ssl

from ..config.settings import TlsSettings
from ..core.digest import digest_of
from ..core.errors import CodedError

RELOAD_SECONDS = 5.0


class FleetTls:
    """The TLS contexts of one process; new connections use the certificates loaded last.

    Attributes:
      server_context: For listeners; rejects clients without a certificate of the fleet.
      client_context: For connections to the fleet's processes.
    """

    __slots__ = ("server_context", "client_context", "_settings", "_digest")

    def __init__(self, settings: TlsSettings) -> None:
        self._settings = settings
        self._digest = ""
        self.server_context = make_context(ssl.PROTOCOL_TLS_SERVER)
        self.client_context = make_context(ssl.PROTOCOL_TLS_CLIENT)

    def reload(self) -> bool:
        """Loads the files if they have changed; returns whether they have.

        Raises:
          CodedError: The files are unreadable or don't match; those loaded before stay active.
        """
        try:
            digest = self._read_digest()
            if digest == self._digest:
                return False
            # The daemon may read the files after the certificate was replaced but before its key
            # was. Loading such a pair into the active contexts would break every new connection,
            # so it is tested on a separate context first.
            self._load(make_context(ssl.PROTOCOL_TLS_SERVER))
            self._load(self.server_context)
            self._load(self.client_context)
        except (OSError, ValueError) as error:
            raise CodedError("tls_invalid", f"certificates not loaded: {error}") from error
        self._digest = digest
        return True

    async def watch(self, on_change: collections.abc.Callable[[str], None]) -> None:
        """Reloads the files periodically, forever.

        Args:
          on_change: Called with "" after new files were loaded, and with the reason when they could
            not be loaded, again only if the reason changes.
        """
        reported = ""
        while True:
            await asyncio.sleep(RELOAD_SECONDS)
            try:
                if self.reload():
                    reported = ""
                    on_change("")
            except CodedError as error:
                if str(error) != reported:
                    reported = str(error)
                    on_change(reported)

    def _read_digest(self) -> str:
        files = (self._settings.certificate, self._settings.key, self._settings.authority)
        return digest_of(b"\0".join(pathlib.Path(file).read_bytes() for file in files))

    def _load(self, context: ssl.SSLContext) -> None:
        context.load_cert_chain(self._settings.certificate, self._settings.key)
        context.load_verify_locations(self._settings.authority)


CURRENT_TLS: contextvars.ContextVar[FleetTls | None] = contextvars.ContextVar("tls", default=None)


def make_context(protocol: int) -> ssl.SSLContext:
    """Returns a context that requires a peer certificate and does not check its host name."""
    context = ssl.SSLContext(protocol)
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    return context


def enable_tls(settings: TlsSettings | None) -> FleetTls | None:
    """Enables TLS to the fleet for this task and the tasks that it starts.

    Args:
      settings: The certificate files; None leaves TLS disabled.

    Raises:
      CodedError: The files cannot be loaded.
    """
    if settings is None:
        return None
    tls = FleetTls(settings)
    tls.reload()
    CURRENT_TLS.set(tls)
    return tls


def server_context() -> ssl.SSLContext | None:
    """Returns the context for a listener of this process, or None without TLS."""
    tls = CURRENT_TLS.get()
    return tls.server_context if tls else None


def client_context() -> ssl.SSLContext | None:
    """Returns the context for a connection to the fleet, or None without TLS."""
    tls = CURRENT_TLS.get()
    return tls.client_context if tls else None


def fleet_url(host: str, port: int) -> str:
    """Returns the URL at which an instance accepts requests of the fleet."""
    return f"{'https' if CURRENT_TLS.get() else 'http'}://{host}:{port}"
