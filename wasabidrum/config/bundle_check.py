"""Decides whether a base with its overlays is accepted, and tells all that is wrong.

The tool and every daemon decide by these functions, so that a revision is accepted
everywhere or nowhere.
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
from .tree_check import Tree, check_base, check_overlay, check_places, walk_maps

BASE = ""

# The site whose rendering shows a problem, BASE for the base alone.
SiteProblem = tuple[str, Problem]


def check_bundle(base: Tree, overlays: dict[str, Tree]) -> list[SiteProblem]:
    """Returns every problem of a base and its overlays; what the base has is told once."""
    found: dict[Problem, str] = {}

    def take(site: str, problems: object) -> None:
        for problem in problems:
            found.setdefault(problem, site)

    take(BASE, check_base(base))
    take(BASE, check_site(base))
    for site, overlay in sorted(overlays.items()):
        own = list(check_overlay(base, overlay))
        # A key that is misplaced is not told again as unknown.
        told = {problem.path for problem in own}
        take(site, own)
        problems = check_tree(overlay, partial=True)
        take(site, (problem for problem in problems if problem.path not in told))
        problems = check_site(merge_overlay(base, overlay))
        take(site, (problem for problem in problems if problem.path not in told))
    for site, problem in check_places(base, overlays):
        found.setdefault(problem, site)
    return [(site, problem) for problem, site in found.items()]


def check_site(tree: Tree) -> list[Problem]:
    """Returns every problem of one site's tree, the overlay applied."""
    try:
        fleet = msgspec.convert(tree, Fleet)
        return list(check_fleet(fleet, fleet.models, fleet.services))
    except msgspec.ValidationError:
        problems = check_tree(tree, partial=False)
    # What contradicts itself elsewhere in the file is told in the same pass.
    models, services = names_in(tree, "models"), names_in(tree, "services")
    return problems + list(check_fleet(keep_valid_parts(tree), models, services))


def check_tree(tree: object, partial: bool) -> list[Problem]:
    """Returns every difference between a tree and the fleet's types."""
    # Imported where it is needed: a daemon whose values are sound never loads it.
    from .struct_check import check_struct

    return check_struct(tree, Fleet, partial)


def names_in(tree: Tree, section: str) -> frozenset[str]:
    """Returns the names of a section's parts, valid or not."""
    parts = tree.get(section)
    return frozenset(parts) if isinstance(parts, dict) else frozenset()


def keep_valid_parts(tree: Tree) -> Fleet:
    """Returns what of a tree has the right types, the invalid parts left out."""
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
