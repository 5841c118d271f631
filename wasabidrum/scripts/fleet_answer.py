"""What one daemon answered to the tool."""

import dataclasses
import typing

from ..core.instance import Instance

Answer = typing.TypeVar("Answer")


@dataclasses.dataclass(frozen=True, slots=True)
class FleetAnswer(typing.Generic[Answer]):
    """A daemon's answer, or None where it gave none.

    Attributes:
      at: When the answer came, in seconds since the epoch.
    """

    instance: Instance
    answer: Answer | None
    at: float
