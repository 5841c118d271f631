"""Members known to a relay: the sidecars of a service's engines, and all relays."""

import collections.abc

from ..core.instance import InstanceRole
from ..core.listed_endpoint import ListedEndpoint
from ..peers.member_view import MemberView, MemberViews
from .chunk_member import make_chunk_member, region_of_centre
from .listed_engines import to_member
from .shared_readings import ListedMember


class RelayMembers(MemberViews):
    """A member list computed from an entry's endpoints and entries; see Membership."""

    def __init__(self, region_of: collections.abc.Mapping[str, str], first_port: int) -> None:
        """Creates an empty member list.

        Args:
          region_of: Regions by data centre.
          first_port: The first port of every process.
        """
        super().__init__()
        self._region_of = region_of
        self._first_port = first_port
        self._listed: tuple[ListedMember, ...] = ()
        self._relays: dict[str, str] = {}

    @property
    def listed(self) -> tuple[ListedMember, ...]:
        """The sidecars, as the platform lists their engines."""
        return self._listed

    @property
    def relays(self) -> dict[str, str]:
        """The regions of all relays by name, this one included."""
        return {name: self._region(centre) for name, centre in self._relays.items()}

    @property
    def region_of(self) -> dict[str, str]:
        """The regions of the sidecars that are not leaving, by name."""
        return {m.host: self._region(m.data_centre) for m in self._listed if not m.leaving}

    def holders(self, version: int, region: str) -> frozenset[str]:
        """Returns the sidecars of a region whose engines serve a version."""
        return frozenset(
            member.host
            for member in self._listed
            if member.weights == version and self._region(member.data_centre) == region
        )

    def update(
        self,
        endpoints: collections.abc.Iterable[ListedEndpoint],
        relays: collections.abc.Mapping[str, str],
    ) -> None:
        """Replaces the members.

        Args:
          endpoints: The listed engines.
          relays: The data centres of all relays by name.
        """
        self._listed = tuple(to_member(endpoint) for endpoint in endpoints)
        self._relays = dict(relays)
        places = {member.host: member.data_centre for member in self._listed}
        sidecars = self._find_views(places, InstanceRole.SIDECAR)
        self._views = sidecars | self._find_views(relays, InstanceRole.ENTRY)

    def _find_views(
        self, places: collections.abc.Mapping[str, str], role: InstanceRole
    ) -> dict[str, MemberView]:
        return {
            host: self._views.get(host)
            or make_chunk_member(host, role, self._region(centre), centre, self._first_port)
            for host, centre in places.items()
        }

    def _region(self, data_centre: str) -> str:
        return region_of_centre(self._region_of, data_centre)
