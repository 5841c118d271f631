"""Sample files for the tests of this package."""

import pathlib

from ..core.digest import digest_of

ROOT_DIGEST = digest_of(b"weights")
KEY_DIGEST = digest_of(b"key")

BASE = f"""\
schema: 1
models:
  summaries:
    version: v1
    versions:
      v1: {{root: {ROOT_DIGEST}, bytes: 100}}
endpoints:
  worker-1: {{region: rift-a, model: summaries}}
  tally-1: {{region: rift-a, service: tally}}
services:
  tally:
    calls:
      - {{path: /charge, idempotent: false}}
workspaces:
  stationers:
    key_digests: [{KEY_DIGEST}]
    models: [summaries]
    services: [tally]
"""
OVERLAY = """\
limits: {body_bytes: 2000}
models:
  summaries: {away_fraction: 0.5}
"""

SETTINGS = """\
name: worker-1
role: sidecar
site: rift-a
region: rift-a
data_centre: rift-a-1
platform:
  configuration: http://127.0.0.1:1/configuration/fleet
  instances: http://127.0.0.1:1/instances
  origin: http://127.0.0.1:1/origin
endpoint: {kind: engine, url: "http://127.0.0.1:2"}
"""


def write_files(folder: str, base: str, **overlays: str) -> tuple[str, list[str]]:
    """Writes a base file and the overlays of sites; returns their paths."""
    base_path = pathlib.Path(folder) / "fleet.yaml"
    base_path.write_text(base, encoding="utf-8")
    paths = []
    for site, text in overlays.items():
        path = pathlib.Path(folder) / f"{site}.yaml"
        path.write_text(text, encoding="utf-8")
        paths.append(str(path))
    return str(base_path), paths
