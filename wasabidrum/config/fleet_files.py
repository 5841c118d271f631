"""Reads a base file and overlay files, and finds all problems in them."""

import dataclasses
import pathlib

from ..core.finding import Finding
from .bundle import MAX_VALUE_BYTES, Bundle, encode_bundle
from .bundle_check import BASE, check_bundle
from .located_tree import LocatedTree
from .problem import Problem
from .yaml_file import read_yaml_file


@dataclasses.dataclass(slots=True)
class FleetFiles:
    """The files of a fleet, read and checked.

    Attributes:
      bundle: The value to publish; must not be used if there are findings.
      findings: All faults, ordered by file and line.
    """

    base: LocatedTree
    overlays: dict[str, LocatedTree]
    bundle: Bundle
    findings: list[Finding]


def site_of(path: str) -> str:
    """Returns the site of an overlay file: the file's name without its extension."""
    return pathlib.PurePath(path).stem


def read_fleet_files(base_path: str, overlay_paths: list[str]) -> FleetFiles:
    """Reads and checks a base file and any number of overlays, in one pass.

    A published value, which contains the base and all overlays, may be given as the base file.
    """
    base, findings = read_yaml_file(base_path)
    overlays: dict[str, LocatedTree] = {}
    for path in overlay_paths:
        tree, faults = read_yaml_file(path)
        findings += faults
        site = site_of(path)
        if site in overlays:
            message = f"{overlays[site].file} is an overlay of the site {site} too"
            findings.append(Finding(path, 1, 1, "SITE-TWICE", message))
        overlays[site] = tree
    if "base" in base.values and not overlay_paths:
        base, overlays = split_value(base)
    trees = {site: tree.values for site, tree in overlays.items()}
    schema = base.values.get("schema", 0)
    bundle = Bundle(schema, base.values, trees)
    # A file that is broken, such as a truncated one, would also cause many misleading findings.
    if not findings:
        findings = [locate(base, overlays, *found) for found in check_bundle(base.values, trees)]
        findings += check_size(base_path, bundle)
    return FleetFiles(base, overlays, bundle, sorted(set(findings)))


def split_value(value: LocatedTree) -> tuple[LocatedTree, dict[str, LocatedTree]]:
    """Returns the base and the overlays of a published value, located by its own lines."""
    sites = value.values.get("overlays")
    overlays = {
        site: value.subtree(("overlays", site))
        for site in (sites if isinstance(sites, dict) else ())
    }
    return value.subtree(("base",)), overlays


def locate(
    base: LocatedTree, overlays: dict[str, LocatedTree], site: str, problem: Problem
) -> Finding:
    """Returns the finding for a problem, in the file that states most of the path to it."""
    if site == BASE:
        return base.locate(problem)
    overlay = overlays[site]
    if overlay.depth_known(problem.path) >= base.depth_known(problem.path):
        return overlay.locate(problem)
    finding = base.locate(problem)
    return dataclasses.replace(finding, message=f"{finding.message} (with {overlay.file})")


def check_size(base_path: str, bundle: Bundle) -> list[Finding]:
    """Returns a finding if the value exceeds the limit of the configuration service."""
    size = len(encode_bundle(bundle))
    if size <= MAX_VALUE_BYTES:
        return []
    message = f"base and overlays make {size} bytes; the service holds {MAX_VALUE_BYTES}"
    return [Finding(base_path, 1, 1, "VALUE-TOO-LARGE", message)]
