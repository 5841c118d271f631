"""Interface to the configuration service, which can only be read and watched."""

import typing

from ..core.config_value import ConfigValue


class ConfigurationService(typing.Protocol):
    """Reads the published fleet configuration. Each call counts against a rate limit that
    all callers share."""

    async def read(self) -> ConfigValue:
        """Returns the service's current value, which may be stale.

        Raises:
          CodedError: The service could not be read.
        """

    async def watch(self, after: int, wait_seconds: float) -> ConfigValue | None:
        """Waits for a revision other than the one given.

        Returns:
          The value, or None where nothing changed within the wait. A service restored from an
          old backup may return a lower revision.

        Raises:
          CodedError: The service could not be read.
        """
