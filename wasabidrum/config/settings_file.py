"""Reads the settings file of one process."""

import msgspec

from ..core.finding import Finding
from .problem import Problem
from .settings import Settings
from .yaml_file import read_yaml_file


def read_settings(path: str) -> tuple[Settings | None, list[Finding]]:
    """Reads and validates a settings file.

    Returns:
      The settings and no findings, or None and all findings.
    """
    tree, findings = read_yaml_file(path)
    if findings:
        return None, findings
    try:
        settings = msgspec.convert(tree.values, Settings)
        problems = check_settings(settings)
    except msgspec.ValidationError:
        # Imported only here: a daemon whose settings are valid never loads it.
        from .struct_check import check_struct

        problems = check_struct(tree.values, Settings, partial=False)
    if problems:
        return None, sorted(tree.locate(problem) for problem in problems)
    return settings, []


def check_settings(settings: Settings) -> list[Problem]:
    """Returns the contradictions in settings whose values have the right types."""
    problems = []
    if settings.role == "sidecar" and settings.endpoint is None:
        message = "a sidecar needs the key endpoint, which describes the endpoint beside it"
        problems.append(Problem(("role",), "ENDPOINT-MISSING", message))
    if settings.role == "entry" and settings.endpoint is not None:
        message = "an entry has no endpoint beside it"
        problems.append(Problem(("endpoint",), "ENDPOINT-UNUSED", message))
    urls = [("platform", key) for key in ("configuration", "instances", "origin", "store")]
    values = [getattr(settings.platform, key) for _, key in urls]
    if settings.endpoint is not None:
        urls.append(("endpoint", "url"))
        values.append(settings.endpoint.url)
    for path, url in zip(urls, values, strict=True):
        if url and not url.startswith(("http://", "https://")):
            message = f"{'.'.join(path)} must begin with http:// or https://"
            problems.append(Problem(path, "URL-FORM", message))
    return problems
