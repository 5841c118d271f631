"""The answer of one daemon to the tool."""

import dataclasses
import typing

from ..core.instance import Instance

Answer = typing.TypeVar("Answer")


@dataclasses.dataclass(frozen=True, slots=True)
class FleetAnswer(typing.Generic[Answer]):
    """The answer of a daemon, or None where it did not answer.

    Attributes:
      at: When the query ended, in seconds since the epoch.
    """

    instance: Instance
    answer: Answer | None
    at: float
