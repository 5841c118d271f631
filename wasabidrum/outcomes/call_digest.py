"""Digests over a complete call and over a complete answer.

They detect a byte corrupted by a link, and a connection that delivers the answer of another call.
Otherwise a wrong answer would be accepted, or a "not run" that belongs to another call.
"""

import hashlib

DIGEST_BYTES = 16


def digest_parts(*parts: str | bytes) -> bytes:
    """Returns a digest of all parts, in which each part is prefixed by its length.

    So moving a byte from one part to the next changes the digest.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        content = part.encode() if isinstance(part, str) else part
        digest.update(len(content).to_bytes(8, "big"))
        digest.update(content)
    return digest.digest()


def digest_call(
    workspace: str, key: str, method: str, path: str, content_type: str, body: bytes
) -> bytes:
    """Returns the digest of a call, which is the same for all copies of the call."""
    return digest_parts(workspace, key, method, path, content_type, body)


def digest_answer(
    attempt_id: str, status: int, content_type: str, outcome: str, code: str, body: bytes
) -> bytes:
    """Returns the digest of the answer to one attempt."""
    return digest_parts(attempt_id, str(status), content_type, outcome, code, body)
