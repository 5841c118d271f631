"""Finds a caller's workspace by the bearer key that it shows."""

import hashlib
import hmac

from ..core.errors import CodedError
from ..core.fleet import FleetRevision


def find_workspace(revision: FleetRevision, authorization: str) -> str:
    """Returns the workspace whose key a caller shows.

    Every digest is compared, each in constant time, so that the time taken tells nothing
    about which part of a key is right.

    Raises:
      CodedError: No workspace has this key.
    """
    kind, _, key = authorization.partition(" ")
    digest = hashlib.sha256(key.strip().encode()).hexdigest()
    found = ""
    for name, workspace in revision.fleet.workspaces.items():
        for known in workspace.key_digests:
            if hmac.compare_digest(known, digest):
                found = name
    if not found or kind.lower() != "bearer":
        raise CodedError("key_unknown", "the bearer key is not valid", 401)
    return found
