"""The status that a daemon reports to its peers and to operators."""

import msgspec

from .instance import InstanceRole
from .load import Load
from .part_report import PartReport
from .placing_limit import PlacingLimit


class Status(msgspec.Struct, frozen=True):
    """A daemon's report of its own state, sent with answers and on peer streams.

    Attributes:
      name: The slot that the daemon fills.
      incarnation: Identifies one run of the daemon; a later run sorts higher.
      sequence: Increases with each status of one incarnation, so that stale ones are recognised.
      revision: The configuration revision in force here.
      config_digest: The digest of the value of that revision.
      model: The model of the endpoint, or empty.
      wanted_version: The version that the configuration in force here wants, or empty.
      version: The version that the endpoint answers with, or empty.
      fetching: The version being fetched, or empty.
      chunks_held: How many chunks of the version being fetched are present.
      leaving: Whether the daemon accepts no new requests.
      load: The endpoint's load as this daemon sees it.
      uptime: Seconds since this incarnation started, time spent suspended included.
      suspects: Requests that were in progress when the endpoint died, each as its
        fingerprint, a slash and the number of the death; see decisions/poison.py.
      failed_version: The version that the endpoint could not load, or empty.
      refused_revision: The highest invalid revision known above the one in force, or zero.
      refused_reason: All faults of that revision.
      alarm: An inconsistency among the revisions, such as one revision with two contents.
      reads_service: Whether the daemon reads the platform's service on behalf of its data centre.
      staged: The version that the endpoint holds completely but has not switched to; for a relay,
        the one of which it holds its share.
      switching: Whether the endpoint is switching versions, or is about to.
      proven: The version that is known to have run on some endpoint for its soak time.
      stopped: The version whose rollout was stopped automatically, or empty.
      wanted_seconds: For how long the wanted version has been known here, as of this status.
      placing_limits: Until when an entry places requests on replaced versions.
      link_mbit: The rate of the instance's link; zero if the daemon does not tell.
      parts: Prompt parts that are known to crash endpoints, and what an entry knows of those that
        a sidecar has told it; see decisions/crashing_parts.py.
      weights_known: Whether the daemon can tell a complete version from a part of it.
    """

    name: str
    role: InstanceRole
    incarnation: str
    sequence: int = 0
    region: str = ""
    data_centre: str = ""
    host: str = ""
    http_port: int = 0
    peer_port: int = 0
    revision: int = 0
    config_digest: str = ""
    model: str = ""
    service: str = ""
    version: str = ""
    fetching: str = ""
    chunks_held: int = 0
    chunks_wanted: int = 0
    leaving: bool = False
    load: Load = Load()
    failed_version: str = ""
    uptime: float = 0.0
    suspects: tuple[str, ...] = ()
    refused_revision: int = 0
    refused_reason: str = ""
    alarm: str = ""
    reads_service: bool = False
    staged: str = ""
    switching: bool = False
    proven: str = ""
    stopped: str = ""
    wanted_version: str = ""
    wanted_seconds: float = 0.0
    placing_limits: tuple[PlacingLimit, ...] = ()
    link_mbit: float = 0.0
    parts: tuple[PartReport, ...] = ()
    weights_known: bool = True
