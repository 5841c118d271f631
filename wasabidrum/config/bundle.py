"""The published value: the base and every site's overlay together, so that they change as one.

Operators write YAML files; `wasabidrum bundle` joins them into this value, and the
platform's configuration service publishes it.
"""

import msgspec

from ..core.config_value import ConfigValue
from ..core.errors import CodedError
from ..core.fleet import Fleet, FleetRevision
from .bundle_check import check_bundle
from .fleet_check import SCHEMA
from .overlay import merge_overlay

LARGEST_VALUE_BYTES = 1_048_576
FINDINGS_SHOWN = 20


class Bundle(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The base file's tree and the overlays' trees by site."""

    schema: int
    base: dict[str, object]
    overlays: dict[str, dict[str, object]] = {}


def encode_bundle(bundle: Bundle) -> bytes:
    """Returns the value to publish; the same bundle always gives the same bytes."""
    return msgspec.json.encode(bundle, order="sorted")


def decode_bundle(content: bytes) -> Bundle:
    """Decodes a published value, JSON as the tool writes it or the same in YAML.

    Raises:
      CodedError: The value is not a bundle of the schema that this program knows.
    """
    if len(content) > LARGEST_VALUE_BYTES:
        raise CodedError("configuration_too_large", f"{len(content)} bytes", 503)
    try:
        if content.lstrip()[:1] == b"{":
            bundle = msgspec.json.decode(content, type=Bundle)
        else:
            bundle = msgspec.convert(read_yaml_value(content), Bundle)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
        raise CodedError("configuration_invalid", str(error)) from error
    if bundle.schema != SCHEMA:
        raise CodedError("configuration_schema", f"schema {bundle.schema} is not {SCHEMA}")
    return bundle


def read_yaml_value(content: bytes) -> dict[str, object]:
    """Reads a value that was published as YAML text.

    Raises:
      CodedError: The text is not sound; all its faults are told with their places.
    """
    # Imported where it is needed: values are JSON but where someone published by hand.
    from .yaml_file import read_yaml

    tree, findings = read_yaml("value", content)
    if findings:
        raise CodedError("configuration_invalid", join_findings(map(str, findings)))
    return tree.values


def render_site(value: ConfigValue, site: str) -> FleetRevision:
    """Renders a published value for one site.

    Every overlay is checked, not only this site's, so that all sites accept or refuse a
    revision alike.

    Raises:
      CodedError: The value is invalid at some site; the message holds every finding.
    """
    bundle = decode_bundle(value.content)
    try:
        problems = check_bundle(bundle.base, bundle.overlays)
    except RecursionError as error:
        raise CodedError("configuration_invalid", "nested too deep") from error
    if problems:
        lines = (f"overlays.{place}: {fault}" if place else f"{fault}" for place, fault in problems)
        raise CodedError("configuration_invalid", join_findings(lines))
    tree = merge_overlay(bundle.base, bundle.overlays.get(site, {}))
    return FleetRevision(value.revision, value.digest, msgspec.convert(tree, Fleet))


def join_findings(lines: object) -> str:
    """Returns findings as one text, of a length that a log line and a status can carry."""
    lines = list(lines)
    more = len(lines) - FINDINGS_SHOWN
    return "; ".join(lines[:FINDINGS_SHOWN]) + (f"; and {more} more" if more > 0 else "")
