"""Reads a base file and overlay files, and finds everything that is wrong with them."""

import dataclasses
import pathlib

from ..core.finding import Finding
from .bundle import LARGEST_VALUE_BYTES, Bundle, encode_bundle
from .bundle_check import BASE, check_bundle
from .placed_tree import PlacedTree
from .problem import Problem
from .yaml_file import read_yaml_file


@dataclasses.dataclass(slots=True)
class FleetFiles:
    """The files of a fleet, read and checked.

    Attributes:
      bundle: What would be published; not to be used where there are findings.
      findings: Every fault, in the order of files and lines.
    """

    base: PlacedTree
    overlays: dict[str, PlacedTree]
    bundle: Bundle
    findings: list[Finding]


def site_of(path: str) -> str:
    """Returns the site of an overlay file, which is the file's name without its ending."""
    return pathlib.PurePath(path).stem


def read_fleet_files(base_path: str, overlay_paths: list[str]) -> FleetFiles:
    """Reads and checks a base file and any number of overlays, in one pass.

    A published value, which holds the base and all overlays, may stand for the base file.
    """
    base, findings = read_yaml_file(base_path)
    overlays: dict[str, PlacedTree] = {}
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
    # What is missing from a file that is cut off would be told as a hundred other faults.
    if not findings:
        findings = [place(base, overlays, *found) for found in check_bundle(base.values, trees)]
        findings += check_size(base_path, bundle)
    return FleetFiles(base, overlays, bundle, sorted(set(findings)))


def split_value(value: PlacedTree) -> tuple[PlacedTree, dict[str, PlacedTree]]:
    """Returns base and overlays of a value as it was published, with its own lines."""
    sites = value.values.get("overlays")
    overlays = {
        site: value.subtree(("overlays", site))
        for site in (sites if isinstance(sites, dict) else ())
    }
    return value.subtree(("base",)), overlays


def place(
    base: PlacedTree, overlays: dict[str, PlacedTree], site: str, problem: Problem
) -> Finding:
    """Returns the finding, in the file that states the most of the keys leading to it."""
    if site == BASE:
        return base.place(problem)
    overlay = overlays[site]
    if overlay.depth_known(problem.path) >= base.depth_known(problem.path):
        return overlay.place(problem)
    finding = base.place(problem)
    return dataclasses.replace(finding, message=f"{finding.message} (with {overlay.file})")


def check_size(base_path: str, bundle: Bundle) -> list[Finding]:
    """Returns a finding where the service could not hold the value."""
    size = len(encode_bundle(bundle))
    if size <= LARGEST_VALUE_BYTES:
        return []
    message = f"base and overlays make {size} bytes; the service holds {LARGEST_VALUE_BYTES}"
    return [Finding(base_path, 1, 1, "VALUE-TOO-LARGE", message)]
