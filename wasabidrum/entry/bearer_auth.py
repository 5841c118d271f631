"""Authenticates a caller: finds its workspace by the bearer key that it sends."""

import hashlib
import hmac

from ..core.errors import CodedError
from ..core.fleet import FleetRevision


def find_workspace(revision: FleetRevision, authorization: str) -> str:
    """Returns the workspace that a bearer key belongs to.

    Every digest is compared, each in constant time, so that the response time reveals nothing
    about which part of a key is right.

    Raises:
      CodedError: No workspace has this key.
    """
    scheme, _, key = authorization.partition(" ")
    digest = hashlib.sha256(key.strip().encode()).hexdigest()
    matched = ""
    for name, workspace in revision.fleet.workspaces.items():
        for key_digest in workspace.key_digests:
            if hmac.compare_digest(key_digest, digest):
                matched = name
    if not matched or scheme.lower() != "bearer":
        raise CodedError("key_unknown", "the bearer key is invalid", 401)
    return matched
