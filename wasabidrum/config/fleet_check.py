"""Finds contradictions within the configuration of one site.

These checks run in the tool and in every daemon, so that all sites accept what `wasabidrum check`
accepts.
"""

import collections.abc

from ..core.fleet import Fleet, LimitSpec, ModelSpec
from .problem import Problem

SCHEMA = 1


def check_fleet(
    fleet: Fleet, models: collections.abc.Container[str], services: collections.abc.Container[str]
) -> collections.abc.Iterator[Problem]:
    """Yields every contradiction of a configuration whose values have the right types.

    Args:
      fleet: The configuration, possibly without the parts that are invalid by themselves.
      models: The names of all models in the files, invalid ones included.
      services: The names of all plain services in the files, invalid ones included.
    """
    if fleet.schema != SCHEMA:
        message = f"schema {fleet.schema} is not {SCHEMA}, the one that this program knows"
        yield Problem(("schema",), "SCHEMA-UNKNOWN", message)
    for name, model in fleet.models.items():
        yield from check_model(name, model)
    yield from check_endpoints(fleet, models, services)
    yield from check_workspaces(fleet, models, services)
    yield from check_limits(fleet.limits)
    for name, service in fleet.services.items():
        seen = set()
        for index, call in enumerate(service.calls):
            path = ("services", name, "calls", index, "path")
            if not call.path.startswith("/"):
                yield Problem(path, "PATH-RELATIVE", f"the path {call.path} must begin with /")
            if (call.method, call.path) in seen:
                message = f"{call.method} {call.path} of {name} is listed twice"
                yield Problem(path, "CALL-TWICE", message)
            seen.add((call.method, call.path))


def check_model(name: str, model: ModelSpec) -> collections.abc.Iterator[Problem]:
    """Yields the problems of one model."""
    if model.version not in model.versions:
        # The fleet would try for ever to fetch a version that the origin does not have, and the
        # rollout would never end.
        message = f"{name} wants the version {model.version}, which its versions do not list"
        yield Problem(("models", name, "version"), "VERSION-UNLISTED", message)


def check_endpoints(
    fleet: Fleet, models: collections.abc.Container[str], services: collections.abc.Container[str]
) -> collections.abc.Iterator[Problem]:
    """Yields endpoints without a model or service, with both, or with an undefined one."""
    for name, endpoint in fleet.endpoints.items():
        path = ("endpoints", name)
        if bool(endpoint.model) == bool(endpoint.service):
            stated = "both a model and a service" if endpoint.model else "no model and no service"
            message = f"{name} has {stated}; an endpoint has exactly one"
            yield Problem(path, "ENDPOINT-PURPOSE", message)
        if endpoint.model and endpoint.model not in models:
            message = f"{name} serves the model {endpoint.model}, which is not described"
            yield Problem((*path, "model"), "MODEL-UNKNOWN", message)
        if endpoint.service and endpoint.service not in services:
            message = f"{name} runs the service {endpoint.service}, which is not described"
            yield Problem((*path, "service"), "SERVICE-UNKNOWN", message)


def check_workspaces(
    fleet: Fleet, models: collections.abc.Container[str], services: collections.abc.Container[str]
) -> collections.abc.Iterator[Problem]:
    """Yields workspaces that may call undefined models or services, or that share a key."""
    owners: dict[str, str] = {}
    for name, workspace in fleet.workspaces.items():
        path = ("workspaces", name)
        for index, model in enumerate(workspace.models):
            if model not in models:
                message = f"{name} may call the model {model}, which is not described"
                yield Problem((*path, "models", index), "MODEL-UNKNOWN", message)
        for index, service in enumerate(workspace.services):
            if service not in services:
                message = f"{name} may call the service {service}, which is not described"
                yield Problem((*path, "services", index), "SERVICE-UNKNOWN", message)
        for index, digest in enumerate(workspace.key_digests):
            if digest in owners:
                # A key of two workspaces would admit its caller to the workspace that is found
                # first, and so to the models, limits and answers of the wrong workspace.
                message = f"{name} lists a key digest that {owners[digest]} lists as well"
                yield Problem((*path, "key_digests", index), "KEY-DIGEST-TWICE", message)
            owners[digest] = name


def check_limits(limits: LimitSpec) -> collections.abc.Iterator[Problem]:
    """Yields limits that contradict each other."""
    if limits.largest_deadline_seconds < limits.default_deadline_seconds:
        message = "largest_deadline_seconds is below default_deadline_seconds"
        yield Problem(("limits", "largest_deadline_seconds"), "LIMIT-BELOW-DEFAULT", message)
