"""A value of the configuration service."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigValue:
    """The content of one published revision, and the digest of that content."""

    revision: int
    digest: str
    content: bytes
