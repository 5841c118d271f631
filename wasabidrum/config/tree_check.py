"""Checks on the trees of the files, which show what each file itself states."""

import collections.abc

from .problem import KeyPath, Problem, show_path

# The sections that an overlay may change; all others apply to the whole fleet. A version's content,
# or whether a call is idempotent, must not differ between sites: one name would identify two
# contents, and a call that only one site treats as idempotent could run twice.
SITE_SECTIONS = frozenset(("models", "endpoints", "workspaces", "links", "limits"))
SITE_MODEL_FORBIDDEN = frozenset(("versions", "adapters"))

Tree = dict[str, object]


def walk_maps(tree: Tree, section: str) -> collections.abc.Iterator[tuple[str, Tree]]:
    """Yields the name and map of each part of a section, skipping values of other types."""
    parts = tree.get(section)
    for name, part in parts.items() if isinstance(parts, dict) else ():
        if isinstance(part, dict):
            yield name, part


def check_base(base: Tree) -> collections.abc.Iterator[Problem]:
    """Yields the calls of services that do not state in the base whether they are idempotent."""
    for name, service in walk_maps(base, "services"):
        calls = service.get("calls")
        for index, call in enumerate(calls if isinstance(calls, list) else ()):
            if isinstance(call, dict) and "idempotent" not in call:
                # With a default of false, a read would never be retried; with a default of true, a
                # charge could run twice. So the files must state it.
                message = f"the call {call.get('path')} of {name} must say whether it is idempotent"
                path = ("services", name, "calls", index)
                yield Problem(path, "CALL-IDEMPOTENCY", message)


def check_overlay(base: Tree, overlay: Tree) -> collections.abc.Iterator[Problem]:
    """Yields what only the base may state, and removals of keys that the base does not have."""
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
    """Yields each null whose key the base does not have, usually a misspelt name."""
    if not isinstance(overlay, dict):
        return
    for key, value in overlay.items():
        inner = base.get(key) if isinstance(base, dict) else None
        if value is None and inner is None:
            message = f"null removes {show_path((*path, key))}, but the base has no such key"
            yield Problem((*path, key), "REMOVES-NOTHING", message, at_key=True)
        yield from check_removals(inner, value, (*path, key))


def check_endpoint_regions(
    base: Tree, overlays: dict[str, Tree]
) -> collections.abc.Iterator[tuple[str, Problem]]:
    """Yields, with the site, each endpoint that the files put in two different regions."""
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
