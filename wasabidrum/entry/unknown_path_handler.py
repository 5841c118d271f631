"""Answers requests for a path that is not served."""

from ..core.errors import CodedError
from .caller_handler import CallerHandler


class UnknownPathHandler(CallerHandler):
    """Any method on any other path."""

    def prepare(self) -> None:
        """Refuses, whoever asks."""
        self.refuse_early(CodedError("path_unknown", "no such path", 404))
