"""Interface to the platform's list of instances, which lags behind the actual state."""

import typing

from ..core.instance import InstanceList


class InstanceDirectory(typing.Protocol):
    """Reads the list of live and leaving instances."""

    async def read(self) -> InstanceList:
        """Returns the list, which may contain dead instances and lack new ones.

        Raises:
          CodedError: The list could not be read.
        """
