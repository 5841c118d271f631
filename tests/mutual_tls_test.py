"""Tests of mutual TLS: daemons accept requests and peer messages only from their fleet."""

import json
import pathlib
import ssl
import unittest

from cryptography import x509
from tornado import httpclient

from bench.caller import Caller
from bench.cluster import Cluster, Member
from bench.fleet_files import make_base
from wasabidrum.config.settings import TlsSettings
from wasabidrum.core.errors import CodedError
from wasabidrum.peers import peer_client
from wasabidrum.wire import tls

from .certificates import Authority

VERSION_BYTES = 300_000
CHUNK_BYTES = 65_536
ORDER = {"request_id": "r", "prompt": "hello", "max_tokens": 3}


def make_client_context(settings: dict[str, str] | None) -> ssl.SSLContext:
    """Returns a client context with a certificate, or without one."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    context.verify_mode = ssl.CERT_NONE
    if settings is not None:
        context.load_cert_chain(settings["certificate"], settings["key"])
    return context


class MutualTlsTest(unittest.IsolatedAsyncioTestCase):
    """An entry and a sidecar with certificates, and clients from outside the fleet."""

    async def asyncSetUp(self) -> None:
        self.cluster = await self.enterAsyncContext(Cluster())
        self.authority = Authority("fleet")
        self.folder = self.cluster.folder
        await self.cluster.start_platform()
        sidecar = self.authority.write(self.folder, "worker-1")
        entry = self.authority.write(self.folder, "entry-1")
        self.sidecar = await self.cluster.start_sidecar("worker-1", "rift-a", tls=sidecar)
        self.entry = await self.cluster.start_entry("entry-1", "rift-a", tls=entry)
        await self.cluster.publish_instances()
        sizes = {"total_bytes": VERSION_BYTES, "chunk_bytes": CHUNK_BYTES}
        self.root = await self.cluster.make_version(**sizes)
        await self.cluster.publish(make_base({"v1": self.root}, "v1", {"worker-1": "rift-a"}))
        self.caller = Caller([self.entry.caller_port], seed=1)
        await self.wait_for_answer()

    async def wait_for_answer(self) -> None:
        """Waits until a request is answered completely."""

        async def answers() -> bool:
            return await self.caller.generate("hello", 3) == "whole"

        await self.cluster.wait_until(answers, 30.0, "the first whole answer")

    async def order(self, member: Member, context: ssl.SSLContext | None) -> int:
        """Sends a request directly to a daemon's internal port; returns the status, 0 if none."""
        scheme = "https" if context else "http"
        try:
            response = await self.cluster.client.fetch(
                f"{scheme}://127.0.0.1:{member.http_port}/internal/generate",
                method="POST",
                body=json.dumps(ORDER),
                ssl_options=context,
                raise_error=False,
            )
        except (OSError, httpclient.HTTPError):
            return 0
        return 0 if response.code == 599 else response.code

    async def generated(self) -> int:
        """Returns how many requests the engine has run."""
        counters = await self.cluster.counters(self.sidecar.endpoint_port)
        return counters["generated"]

    async def test_clients_from_outside_the_fleet_are_refused(self) -> None:
        """A client in the network sends a request to a daemon's internal port, or a call to its
        peer port, without a certificate or with one of another fleet. Without mutual TLS the
        engine would run it, bypassing the API keys and limits of the workspaces."""
        before = await self.generated()
        stranger = Authority("stranger").write(self.folder, "stranger")
        for context in (None, make_client_context(None), make_client_context(stranger)):
            self.assertEqual(await self.order(self.sidecar, context), 0)
            self.assertEqual(await self.order(self.entry, context), 0)
        self.assertEqual(await self.generated(), before)
        fleet = self.authority.write(self.folder, "friend")
        self.assertEqual(await self.order(self.sidecar, make_client_context(fleet)), 200)
        for settings, admitted in ((stranger, False), (fleet, True)):
            tls.enable_tls(TlsSettings(**settings))
            reply = peer_client.fetch_configuration("127.0.0.1", self.sidecar.peer_port, "")
            if admitted:
                self.assertEqual((await reply).revision, 1)
            else:
                with self.assertRaises(CodedError):
                    await reply
        self.assertEqual(await self.caller.generate("hello", 3), "whole")

    async def test_chunks_travel_between_sidecars(self) -> None:
        """A second sidecar joins and fetches weights from the first. Both ends of a peer transfer
        must use TLS; otherwise a fleet with certificates would fetch every copy from the
        origin, or never become live."""
        settings = self.authority.write(self.folder, "worker-2")
        second = await self.cluster.start_sidecar("worker-2", "rift-a", tls=settings)
        await self.cluster.publish_instances()
        drawn = (await self.cluster.counters())["origin_weight_bytes"]
        engines = {"worker-1": "rift-a", "worker-2": "rift-a"}
        await self.cluster.publish(make_base({"v1": self.root}, "v1", engines))

        async def is_live() -> bool:
            return (await self.cluster.counters(second.endpoint_port))["active"] == "v1"

        await self.cluster.wait_until(is_live, 60.0, "v1 at the second sidecar")
        again = (await self.cluster.counters())["origin_weight_bytes"] - drawn
        self.assertLess(again, VERSION_BYTES)

    async def test_certificates_change_without_a_restart(self) -> None:
        """Certificates are valid for a day and are replaced on every instance while it serves; for
        a moment a new certificate is stored beside the old key. A restart would interrupt
        requests, and a daemon that loaded the mismatched pair would stop answering."""
        files = {what: self.folder / f"worker-1-{what}.pem" for what in ("certificate", "key")}
        old_key = files["key"].read_bytes()
        self.authority.write(self.folder, "worker-1")
        new_key = files["key"].read_bytes()
        new_serial = x509.load_pem_x509_certificate(files["certificate"].read_bytes()).serial_number
        files["key"].write_bytes(old_key)
        await self.sidecar.daemon.read_event("certificates_refused")
        self.assertEqual(await self.caller.generate("hello", 3), "whole")
        files["key"].write_bytes(new_key)
        await self.sidecar.daemon.read_event("certificates_in_force")
        self.assertEqual(await self.caller.generate("hello", 3), "whole")
        shown = ssl.get_server_certificate(("127.0.0.1", self.sidecar.http_port))
        self.assertEqual(x509.load_pem_x509_certificate(shown.encode()).serial_number, new_serial)

    async def test_a_daemon_without_valid_certificates_does_not_start(self) -> None:
        """An instance starts before its certificates are present. A daemon that ran without them
        would accept requests from anyone, so it reports what is missing and exits."""
        missing = {what: str(pathlib.Path(self.folder) / "none") for what in ("certificate", "key")}
        with self.assertRaisesRegex(Exception, "TLS-INVALID"):
            await self.cluster.start_entry("entry-9", "rift-a", tls=missing | {"authority": "x"})
