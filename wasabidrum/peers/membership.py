"""The seam to what a daemon knows of the others."""

import typing

from .member_view import MemberView


class Membership(typing.Protocol):
    """Who is there. What it tells may be late; evidence from traffic makes it less so."""

    @property
    def members(self) -> list[MemberView]:
        """Every daemon known, suspected and leaving ones included."""

    def report_failure(self, name: str) -> None:
        """Takes evidence that a daemon could not be reached."""

    def report_success(self, name: str) -> None:
        """Takes evidence that a daemon answered."""
