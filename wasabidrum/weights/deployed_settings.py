"""Weight distribution settings of a process that the platform has started."""

import typing

from ..config.deployment import Deployment
from ..config.settings import PlatformSettings, Settings

# Room for two versions of some megabytes each, the active one and the next, with a reserve.
CHUNK_MEMORY_BYTES = 16 * 1_048_576


def distribution_settings(
    deployment: Deployment, role: typing.Literal["entry", "sidecar"]
) -> Settings:
    """Returns the settings of one process.

    Members are named by their host, which the platform lists identically for all processes.
    """
    unused = PlatformSettings(configuration="", instances="", origin="")
    return Settings(
        name=deployment.host,
        role=role,
        site=deployment.data_centre,
        region=deployment.region,
        data_centre=deployment.data_centre,
        platform=unused,
        link_mbit=deployment.link_mbit,
        chunk_memory_bytes=CHUNK_MEMORY_BYTES,
    )
