"""Reads the Retry-After of an endpoint that turns a request away."""

import re

# Without a sign or an exponent, and no longer than a time that can be meant.
DECIMAL = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")
# Seconds, or a date.
STATED = re.compile(r"[0-9A-Za-z:, .+-]{1,64}")


def read_decimal(text: str) -> float | None:
    """Converts a decimal number without a sign; returns None if the text is none."""
    return float(text) if DECIMAL.fullmatch(text) else None


def passed_on(retry_after: str) -> str:
    """Returns a Retry-After that may be passed on to a caller; empty if it is no valid one."""
    return retry_after if STATED.fullmatch(retry_after) else ""


def read_rest(status: int, retry_after: str) -> float:
    """Returns for how many seconds an endpoint wants no more requests from this entry.

    Args:
      retry_after: Its Retry-After; a date asks for no rest.
    """
    return (read_decimal(retry_after) or 0.0) if status == 503 else 0.0
