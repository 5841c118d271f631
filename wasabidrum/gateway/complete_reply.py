"""An endpoint's reply that was read completely before it is passed on."""

import dataclasses

from ..core.request_head import ReplyHead


@dataclasses.dataclass(frozen=True, slots=True)
class CompleteReply:
    """Head and body of a reply."""

    head: ReplyHead
    body: bytes
