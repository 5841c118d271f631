"""A process that gives chunks to others, as the platform's lists tell of it."""

import collections.abc

from ..core.instance import Instance, InstanceRole
from ..peers.member_view import MemberView

# Where every process gives chunks and readings, counted from its first port.
CHUNK_PORT_OFFSET = 1


def region_of_centre(region_of: collections.abc.Mapping[str, str], data_centre: str) -> str:
    """Returns the region of a data centre; one that no setting names is a region of its own."""
    return region_of.get(data_centre, data_centre)


def make_chunk_member(
    host: str, role: InstanceRole, region: str, data_centre: str, first_port: int
) -> MemberView:
    """Returns what is known of a member by its host, which is its name."""
    port = first_port + CHUNK_PORT_OFFSET
    return MemberView(Instance(host, role, region, data_centre, host, port, first_port))
