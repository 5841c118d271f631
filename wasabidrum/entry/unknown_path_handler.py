"""Responds to requests for paths that are not served."""

from ..core.errors import CodedError
from .caller_handler import CallerHandler


class UnknownPathHandler(CallerHandler):
    """Serves every other path, whatever the method."""

    def prepare(self) -> None:
        """Refuses the request without authentication."""
        self.refuse_early(CodedError("path_unknown", "unknown path", 404))
