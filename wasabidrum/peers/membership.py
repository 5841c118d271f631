"""The interface to a daemon's knowledge of the other daemons."""

import typing

from .member_view import MemberView


class Membership(typing.Protocol):
    """The known daemons. The list may be stale; results of calls to members keep it fresher."""

    @property
    def members(self) -> list[MemberView]:
        """All known daemons, including those suspected or leaving."""

    def report_failure(self, name: str) -> None:
        """Records that a daemon could not be reached."""

    def report_success(self, name: str) -> None:
        """Records that a daemon answered."""
