"""Digests over a whole call and over a whole answer.

A link that flips a byte, or a connection that carries another call's answer, would otherwise
pass a wrong answer for a whole one, or a "not run" that was meant for another call.
"""

import hashlib

DIGEST_BYTES = 16


def digest_parts(*parts: str | bytes) -> bytes:
    """Returns a digest in which no byte can move from one part to the next unseen."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        content = part.encode() if isinstance(part, str) else part
        digest.update(len(content).to_bytes(8, "big"))
        digest.update(content)
    return digest.digest()


def digest_call(
    workspace: str, key: str, method: str, path: str, content_type: str, body: bytes
) -> bytes:
    """Returns the digest of all that makes up a call, the same for each of its copies."""
    return digest_parts(workspace, key, method, path, content_type, body)


def digest_answer(
    attempt_id: str, status: int, content_type: str, outcome: str, code: str, body: bytes
) -> bytes:
    """Returns the digest of an answer to one attempt."""
    return digest_parts(attempt_id, str(status), content_type, outcome, code, body)
