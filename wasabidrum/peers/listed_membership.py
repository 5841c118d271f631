"""Membership from the platform's list alone, with suspicion from this daemon's own calls."""

import asyncio
import contextlib

from ..core.errors import CodedError
from ..core.instance import Instance
from ..platform.instance_directory import InstanceDirectory
from .member_view import MemberView, MemberViews

READ_INTERVAL_SECONDS = 1.0


class ListedMembership(MemberViews):
    """Implements Membership by polling the platform's list."""

    __slots__ = ("_directory",)

    def __init__(self, directory: InstanceDirectory) -> None:
        super().__init__()
        self._directory = directory

    async def run(self) -> None:
        """Polls the list until cancelled."""
        while True:
            with contextlib.suppress(CodedError):
                self.apply_list((await self._directory.read()).instances)
            await asyncio.sleep(READ_INTERVAL_SECONDS)

    def apply_list(self, instances: tuple[Instance, ...]) -> None:
        """Replaces the members by the platform's list; keeps a view while its port is the same."""
        views = {}
        for instance in instances:
            known = self._views.get(instance.name)
            if known is not None and known.instance.http_port == instance.http_port:
                known.instance = instance
                views[instance.name] = known
            else:
                views[instance.name] = MemberView(instance)
        self._views = views
