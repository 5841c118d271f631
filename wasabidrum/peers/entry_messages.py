"""What entries say to each other where the platform publishes routes.

Fields may be added at the end only; see peer_messages.
"""

import msgspec

MEET_PATH = "/wasabidrum.Entry/Meet"
CHANGES_PATH = "/wasabidrum.Entry/Changes"
SUSPECTS_PATH = "/wasabidrum.Entry/Suspects"


class EntryAddress(msgspec.Struct, frozen=True, array_like=True):
    """Where an entry listens for others, and how many seconds ago it was heard.

    Attributes:
      data_centre: Where it stands; empty where the teller does not know.
    """

    host: str
    port: int
    age: float = 0.0
    data_centre: str = ""


class Meet(msgspec.Struct, frozen=True, array_like=True):
    """Says who calls, and whom the caller knows; the answer is the same the other way."""

    own: EntryAddress
    known: tuple[EntryAddress, ...] = ()


class FetchChanges(msgspec.Struct, frozen=True, array_like=True):
    """Asks for what changed in the platform's store after a revision; zero asks for all."""

    after: int


class PeerChange(msgspec.Struct, frozen=True, array_like=True):
    """An item of the store; no value means that it is gone."""

    key: str
    revision: int
    value: bytes | None


class NamedVersion(msgspec.Struct, frozen=True, array_like=True):
    """For how many seconds a version of a model's weights has been wanted."""

    model: str
    version: int
    seconds: float


class ChangesReply(msgspec.Struct, frozen=True, array_like=True):
    """What the asked entry holds.

    Attributes:
      revision: The store's revision up to which it has taken everything.
      age: Seconds since it asked the store and heard of nothing newer.
      whole: The changes are all items; what is not among them is gone.
      unanswered: For how many seconds its own calls of the store have been failing; zero if they
        are not.
    """

    revision: int
    age: float
    whole: bool
    changes: tuple[PeerChange, ...] = ()
    named: tuple[NamedVersion, ...] = ()
    unanswered: float = 0.0


class TellSuspects(msgspec.Struct, frozen=True, array_like=True):
    """Requests that were in progress when endpoints died, by their fingerprints."""

    endpoint: str
    fingerprints: tuple[str, ...]


class Told(msgspec.Struct, frozen=True, array_like=True):
    """Says that something was taken."""
