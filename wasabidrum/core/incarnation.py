"""Identifiers of the runs of a daemon."""

import secrets
import time


def make_incarnation() -> str:
    """Returns a unique identifier that sorts after those of earlier runs."""
    return f"{time.time_ns() // 1_000_000:013x}-{secrets.token_hex(6)}"
