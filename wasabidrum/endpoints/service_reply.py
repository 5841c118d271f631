"""The complete answer of a plain service."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceReply:
    """Status, content type and body of an answer that was received completely.

    Attributes:
      retry_after: When the service wants the caller to come back, as it wrote it, or empty.
      replayed: Whether it is the stored answer to an earlier copy of the same call.
    """

    status: int
    content_type: str
    body: bytes
    replayed: bool = False
    retry_after: str = ""
