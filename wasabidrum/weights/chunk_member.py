"""Member views of processes that serve chunks, built from the platform's lists."""

import collections.abc

from ..core.instance import Instance, InstanceRole
from ..peers.member_view import MemberView

# The port on which every process serves chunks and readings, relative to its first port.
CHUNK_PORT_OFFSET = 1


def region_of_centre(region_of: collections.abc.Mapping[str, str], data_centre: str) -> str:
    """Returns the region of a data centre; an unconfigured one forms a region of its own."""
    return region_of.get(data_centre, data_centre)


def make_chunk_member(
    host: str, role: InstanceRole, region: str, data_centre: str, first_port: int
) -> MemberView:
    """Returns the view of a member, which is named by its host."""
    port = first_port + CHUNK_PORT_OFFSET
    return MemberView(Instance(host, role, region, data_centre, host, port, first_port))
