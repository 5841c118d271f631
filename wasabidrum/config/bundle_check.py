"""Decides whether a base with its overlays is accepted, and reports all problems.

The tool and every daemon use these functions, so that a revision is accepted everywhere or
nowhere.
"""

import contextlib

import msgspec

from ..core.fleet import (
    EndpointSpec,
    Fleet,
    LimitSpec,
    ModelSpec,
    ServiceSpec,
    WorkspaceSpec,
)
from .fleet_check import SCHEMA, check_fleet
from .overlay import merge_overlay
from .problem import Problem
from .tree_check import Tree, check_base, check_endpoint_regions, check_overlay, walk_maps

BASE = ""

# The site whose configuration has a problem, or BASE for the base alone, and the problem.
SiteProblem = tuple[str, Problem]


def check_bundle(base: Tree, overlays: dict[str, Tree]) -> list[SiteProblem]:
    """Returns all problems of a base and its overlays; those of the base are reported once."""
    found: dict[Problem, str] = {}

    def add(site: str, problems: object) -> None:
        for problem in problems:
            found.setdefault(problem, site)

    add(BASE, check_base(base))
    add(BASE, check_site(base))
    for site, overlay in sorted(overlays.items()):
        own = list(check_overlay(base, overlay))
        # A key that an overlay may not state is not reported a second time, as unknown.
        reported = {problem.path for problem in own}
        add(site, own)
        problems = check_tree(overlay, partial=True)
        add(site, (problem for problem in problems if problem.path not in reported))
        problems = check_site(merge_overlay(base, overlay))
        add(site, (problem for problem in problems if problem.path not in reported))
    for site, problem in check_endpoint_regions(base, overlays):
        found.setdefault(problem, site)
    return [(site, problem) for problem, site in found.items()]


def check_site(tree: Tree) -> list[Problem]:
    """Returns all problems of the tree of one site, its overlay applied."""
    try:
        fleet = msgspec.convert(tree, Fleet)
        return list(check_fleet(fleet, fleet.models, fleet.services))
    except msgspec.ValidationError:
        problems = check_tree(tree, partial=False)
    # Contradictions in the valid parts are reported in the same run.
    models, services = names_in(tree, "models"), names_in(tree, "services")
    return problems + list(check_fleet(keep_valid_parts(tree), models, services))


def check_tree(tree: object, partial: bool) -> list[Problem]:
    """Returns every deviation of a tree from the types of the fleet files."""
    # Imported only here: a daemon whose values are valid never loads it.
    from .struct_check import check_struct

    return check_struct(tree, Fleet, partial)


def names_in(tree: Tree, section: str) -> frozenset[str]:
    """Returns the names in a section, of valid and invalid parts."""
    parts = tree.get(section)
    return frozenset(parts) if isinstance(parts, dict) else frozenset()


def keep_valid_parts(tree: Tree) -> Fleet:
    """Converts the parts of a tree that have the right types, and leaves out the others."""
    sections = (("models", ModelSpec), ("endpoints", EndpointSpec))
    sections += (("services", ServiceSpec), ("workspaces", WorkspaceSpec))
    kept: dict[str, dict[str, object]] = {}
    for section, kind in sections:
        kept[section] = {}
        for name, part in walk_maps(tree, section):
            with contextlib.suppress(msgspec.ValidationError):
                kept[section][name] = msgspec.convert(part, kind)
    limits = LimitSpec()
    with contextlib.suppress(msgspec.ValidationError):
        limits = msgspec.convert(tree.get("limits", {}), LimitSpec)
    return Fleet(SCHEMA, **kept, limits=limits)
