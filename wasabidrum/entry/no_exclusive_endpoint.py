"""The refusal of a suspect request while every suitable endpoint already runs another suspect."""

from ..core.errors import CodedError


class NoExclusiveEndpointError(CodedError):
    """An endpoint has room, but the request must wait until the suspect running there ends."""

    __slots__ = ()
