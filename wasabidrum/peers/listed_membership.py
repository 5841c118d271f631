"""Membership from the platform's list alone, with suspicion from this daemon's own traffic."""

import asyncio
import contextlib

from ..core.errors import CodedError
from ..core.instance import Instance
from ..platform.instance_directory import InstanceDirectory
from .member_view import MemberView, MemberViews

READ_LIST_SECONDS = 1.0


class ListedMembership(MemberViews):
    """Implements Membership by reading the list again and again."""

    __slots__ = ("_directory",)

    def __init__(self, directory: InstanceDirectory) -> None:
        super().__init__()
        self._directory = directory

    async def run(self) -> None:
        """Reads the list for ever."""
        while True:
            with contextlib.suppress(CodedError):
                self.take_list((await self._directory.read()).instances)
            await asyncio.sleep(READ_LIST_SECONDS)

    def take_list(self, instances: tuple[Instance, ...]) -> None:
        """Takes the platform's list, keeping what is known of those whose address stays."""
        views = {}
        for instance in instances:
            known = self._views.get(instance.name)
            if known is not None and known.instance.http_port == instance.http_port:
                known.instance = instance
                views[instance.name] = known
            else:
                views[instance.name] = MemberView(instance)
        self._views = views
