"""One call to a plain service, sent on once."""

import asyncio
import secrets

from tornado import httpclient

from ..core.errors import CodedError
from ..core.fleet import Fleet, ServiceCall
from ..core.outcome import Outcome
from ..endpoints.service_reply import ServiceReply
from ..wire import headers, http_client
from .caller_request import CallerRequest
from .model_call import refusal_from
from .placement import Placement
from .traffic import Traffic
from .work_item import Priority, WorkItem


def find_call(fleet: Fleet, service: str, method: str, path: str) -> ServiceCall:
    """Returns what the files say of a call; one that they do not list is not idempotent."""
    spec = fleet.services.get(service)
    plain_path = path.partition("?")[0]
    for call in spec.calls if spec else ():
        if call.path == plain_path and call.method == method:
            return call
    return ServiceCall(path=plain_path, method=method)


class ServiceCaller:
    """Makes calls to plain services for the callers of one entry."""

    __slots__ = ("_client", "_traffic")

    def __init__(self, client: httpclient.AsyncHTTPClient, traffic: Traffic) -> None:
        self._client = client
        self._traffic = traffic

    async def call(
        self,
        caller: CallerRequest,
        service: str,
        method: str,
        path: str,
        content_type: str,
        body: bytes,
    ) -> ServiceReply:
        """Makes one call.

        Raises:
          CodedError: No whole answer came; the outcome says what that means.
        """
        listed = find_call(caller.revision.fleet, service, method, path)
        item = WorkItem(
            request_id=caller.request_id,
            workspace=caller.workspace,
            priority=Priority.READ if listed.priority == "read" else Priority.CHARGE,
            deadline=caller.deadline,
            idempotent=listed.idempotent,
            service=service,
        )
        permit = await self._traffic.admit(item)
        try:
            placement = self._traffic.place(item)
            code = "cancelled"
            try:
                reply = await self._attempt(placement, method, path, content_type, body)
                code = ""
                return reply
            except CodedError as error:
                code = error.code
                raise
            finally:
                placement.ended(code)
        finally:
            permit.release()

    async def _attempt(
        self, placement: Placement, method: str, path: str, content_type: str, body: bytes
    ) -> ServiceReply:
        view = placement.view
        remaining = max(0.001, placement.item.deadline - asyncio.get_running_loop().time())
        attempt_id = f"{placement.item.request_id}.{secrets.token_hex(6)}"
        request = httpclient.HTTPRequest(
            view.url + "/internal/service",
            method="POST",
            body=body,
            headers={
                "Content-Type": content_type,
                headers.FORWARDED_METHOD: method,
                headers.FORWARDED_PATH: path,
                headers.DEADLINE_MILLISECONDS: str(int(remaining * 1000)),
                headers.ATTEMPT_ID: attempt_id,
                headers.WORKSPACE: placement.item.workspace,
            },
            request_timeout=remaining,
        )
        response = await http_client.fetch(self._client, request, view.instance.name)
        placement.head_arrived(response.headers)
        if headers.ERROR_CODE in response.headers:
            raise refusal_from(response.code, response.headers, response.body)
        if response.headers.get(headers.ATTEMPT_ID) != attempt_id:
            raise CodedError("answer_crossed", "not this call's answer", 502, Outcome.UNKNOWN)
        content_type = response.headers.get("Content-Type", "application/octet-stream")
        return ServiceReply(response.code, content_type, response.body)
