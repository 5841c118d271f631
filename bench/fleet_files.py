"""The minimal fleet file that the demo, the tests and the benches publish."""

import hashlib

CALLER_KEY = "demo-key"
OTHER_KEY = "other-key"


def digest_key(key: str) -> str:
    """Returns the digest under which a workspace lists a bearer key."""
    return hashlib.sha256(key.encode()).hexdigest()


def make_base(
    roots: dict[str, str],
    version: str,
    engines: dict[str, str],
    services: dict[str, str] | None = None,
    total_bytes: int = 0,
) -> dict[str, object]:
    """Returns the tree of a base file.

    Args:
      roots: Root digest by version name.
      version: The version wanted in force.
      engines: Region by engine endpoint.
      services: Region by endpoint of the tally service.
      total_bytes: The size of every version.
    """
    endpoints = {name: {"region": region, "model": "summaries"} for name, region in engines.items()}
    for name, region in (services or {}).items():
        endpoints[name] = {"region": region, "service": "tally"}
    versions = {name: {"root": root, "bytes": total_bytes} for name, root in roots.items()}
    calls = [
        {"path": "/charge", "method": "POST", "idempotent": False, "priority": "charge"},
        {"path": "/balance", "method": "GET", "idempotent": True, "priority": "read"},
    ]
    workspace = {"models": ["summaries"], "services": ["tally"]}
    return {
        "schema": 1,
        "models": {"summaries": {"version": version, "versions": versions}},
        "endpoints": endpoints,
        "services": {"tally": {"calls": calls}},
        "workspaces": {
            "stationers": workspace | {"key_digests": [digest_key(CALLER_KEY)]},
            "printers": workspace | {"key_digests": [digest_key(OTHER_KEY)]},
        },
    }
