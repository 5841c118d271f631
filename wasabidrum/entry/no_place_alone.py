"""The refusal of a suspect while another suspect runs at every endpoint that could take it."""

from ..core.errors import CodedError


class NoPlaceAloneError(CodedError):
    """An endpoint has room, and will take the request once its other suspect has ended."""

    __slots__ = ()
