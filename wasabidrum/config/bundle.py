"""The published value: the base and all overlays together, so that they change atomically.

Operators write YAML files. `wasabidrum bundle` combines them into this value, and the platform's
configuration service publishes it.
"""

import msgspec

from ..core.config_value import ConfigValue
from ..core.decoding import decoding
from ..core.errors import CodedError
from ..core.fleet import Fleet, FleetRevision
from .bundle_check import check_bundle
from .fleet_check import SCHEMA
from .overlay import merge_overlay

MAX_VALUE_BYTES = 1_048_576
FINDINGS_SHOWN = 20


class Bundle(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The tree of the base file, and the trees of the overlays by site."""

    schema: int
    base: dict[str, object]
    overlays: dict[str, dict[str, object]] = {}


def encode_bundle(bundle: Bundle) -> bytes:
    """Returns the value to publish; the encoding is deterministic."""
    return msgspec.json.encode(bundle, order="sorted")


def decode_bundle(content: bytes) -> Bundle:
    """Decodes a published value: JSON as the tool writes it, or equivalent YAML.

    Raises:
      CodedError: The value is not a bundle of the supported schema.
    """
    if len(content) > MAX_VALUE_BYTES:
        raise CodedError("configuration_too_large", f"{len(content)} bytes", 503)
    with decoding("configuration_invalid"):
        if content.lstrip()[:1] == b"{":
            bundle = msgspec.json.decode(content, type=Bundle)
        else:
            bundle = msgspec.convert(read_yaml_value(content), Bundle)
    if bundle.schema != SCHEMA:
        raise CodedError("configuration_schema", f"schema {bundle.schema} is not {SCHEMA}")
    return bundle


def read_yaml_value(content: bytes) -> dict[str, object]:
    """Decodes a value that was published as YAML.

    Raises:
      CodedError: The YAML is invalid; the message lists all faults with their locations.
    """
    # Imported only here: values are JSON unless an operator published one by hand.
    from .yaml_file import read_yaml

    tree, findings = read_yaml("value", content)
    if findings:
        raise CodedError("configuration_invalid", join_findings(map(str, findings)))
    return tree.values


def render_site(value: ConfigValue, site: str) -> FleetRevision:
    """Returns the configuration of one site from a published value.

    All overlays are checked, not only that of this site, so that every site accepts or every site
    refuses a revision.

    Raises:
      CodedError: The value is invalid for some site; the message lists the findings.
    """
    bundle = decode_bundle(value.content)
    try:
        problems = check_bundle(bundle.base, bundle.overlays)
    except RecursionError as error:
        raise CodedError("configuration_invalid", "the value is nested too deeply") from error
    if problems:
        lines = (f"overlays.{where}: {fault}" if where else f"{fault}" for where, fault in problems)
        raise CodedError("configuration_invalid", join_findings(lines))
    tree = merge_overlay(bundle.base, bundle.overlays.get(site, {}))
    return FleetRevision(value.revision, value.digest, msgspec.convert(tree, Fleet))


def join_findings(lines: object) -> str:
    """Joins findings to one text, shortened to a length that fits a log line and a status."""
    lines = list(lines)
    more = len(lines) - FINDINGS_SHOWN
    return "; ".join(lines[:FINDINGS_SHOWN]) + (f"; and {more} more" if more > 0 else "")
