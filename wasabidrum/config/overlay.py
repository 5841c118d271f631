"""Merges an overlay into the base."""


def merge_overlay(base: object, overlay: object) -> object:
    """Returns the base with an overlay applied.

    Maps merge key by key, lists and scalars replace, and null removes a key. Neither
    argument is changed.
    """
    if not isinstance(base, dict) or not isinstance(overlay, dict):
        return overlay
    merged = dict(base)
    for key, value in overlay.items():
        if value is None:
            merged.pop(key, None)
        else:
            merged[key] = merge_overlay(base.get(key), value)
    return merged
