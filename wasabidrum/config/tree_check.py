"""Checks that need the files' trees, because they ask what was stated and where."""

import collections.abc

from .problem import KeyPath, Problem, show_path

# What one site may state otherwise than the base; everything else holds for the whole fleet.
# A version's bytes, or whether a call is idempotent, must not depend on which site is asked:
# one name would stand for two contents, and a call that one site repeats would run twice.
SITE_SECTIONS = frozenset(("models", "endpoints", "workspaces", "links", "limits"))
SITE_MODEL_FORBIDDEN = frozenset(("versions", "adapters"))

Tree = dict[str, object]


def walk_maps(tree: Tree, section: str) -> collections.abc.Iterator[tuple[str, Tree]]:
    """Yields name and map of each part of a section, leaving out what has another type."""
    parts = tree.get(section)
    for name, part in parts.items() if isinstance(parts, dict) else ():
        if isinstance(part, dict):
            yield name, part


def check_base(base: Tree) -> collections.abc.Iterator[Problem]:
    """Yields what the base leaves unsaid that must be said, and null values."""
    for name, service in walk_maps(base, "services"):
        calls = service.get("calls")
        for index, call in enumerate(calls if isinstance(calls, list) else ()):
            if isinstance(call, dict) and "idempotent" not in call:
                # A read listed without it would never be retried, and a charge listed
                # with a wrong guess would run twice; so the files must say which it is.
                message = f"the call {call.get('path')} of {name} must say whether it is idempotent"
                path = ("services", name, "calls", index)
                yield Problem(path, "CALL-IDEMPOTENCY", message)


def check_overlay(base: Tree, overlay: Tree) -> collections.abc.Iterator[Problem]:
    """Yields what an overlay states that only the base may state."""
    for section in overlay:
        if section not in SITE_SECTIONS:
            message = f"{section} holds for the whole fleet; only the base may state it"
            yield Problem((section,), "OVERLAY-SECTION", message, at_key=True)
    for name, model in walk_maps(overlay, "models"):
        for key in SITE_MODEL_FORBIDDEN & model.keys():
            message = f"{key} of {name} hold for the whole fleet; only the base may state them"
            yield Problem(("models", name, key), "OVERLAY-SECTION", message, at_key=True)
    yield from check_removals(base, overlay, ())


def check_removals(
    base: object, overlay: object, path: KeyPath
) -> collections.abc.Iterator[Problem]:
    """Yields each null that removes nothing, which is a misspelt name more often than not."""
    if not isinstance(overlay, dict):
        return
    for key, value in overlay.items():
        inner = base.get(key) if isinstance(base, dict) else None
        if value is None and inner is None:
            message = f"null removes {show_path((*path, key))}, but the base has no such key"
            yield Problem((*path, key), "REMOVES-NOTHING", message, at_key=True)
        yield from check_removals(inner, value, (*path, key))


def check_places(
    base: Tree, overlays: dict[str, Tree]
) -> collections.abc.Iterator[tuple[str, Problem]]:
    """Yields each endpoint that the base and the overlays put in two regions, with the site."""
    first: dict[str, tuple[str, object]] = {}
    for site, tree in (("", base), *sorted(overlays.items())):
        for name, endpoint in walk_maps(tree, "endpoints"):
            region = endpoint.get("region")
            if region is None:
                continue
            known_site, known = first.setdefault(name, (site, region))
            if known != region:
                where = f"the overlay of {known_site}" if known_site else "the base"
                message = f"{name} is in {region} here and in {known} in {where}"
                yield site, Problem(("endpoints", name, "region"), "ENDPOINT-TWO-PLACES", message)
