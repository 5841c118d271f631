"""The fleet's processes take work, orders and peer messages only from the fleet."""

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
    """Returns a context that shows a certificate, or none."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    context.verify_mode = ssl.CERT_NONE
    if settings is not None:
        context.load_cert_chain(settings["certificate"], settings["key"])
    return context


class MutualTlsTest(unittest.IsolatedAsyncioTestCase):
    """An entry and a sidecar with certificates, and strangers who knock."""

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
        """Waits until a request is answered whole."""

        async def answers() -> bool:
            return await self.caller.generate("hello", 3) == "whole"

        await self.cluster.wait_until(answers, 30.0, "the first whole answer")

    async def order(self, member: Member, context: ssl.SSLContext | None) -> int:
        """Sends work straight to a daemon's own port; returns the status, or 0 for none."""
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

    async def test_strangers_are_turned_away(self) -> None:
        """Someone inside the network finds a daemon's port and sends it work, or opens a peer
        stream, without a certificate or with one of another fleet. Without mutual TLS the
        engine would run it, past every key and limit of the workspaces."""
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
        """A second sidecar joins and takes its weights from the first. Both ends of a peer's
        transfer have to speak TLS, or a fleet with certificates would draw every copy from
        the origin, or never be live."""
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
        """Certificates last a day and are replaced on every instance while it serves; for a
        moment a new certificate lies beside the old key. A daemon that had to be restarted
        for it would cut requests off, and one that took the half pair would stop answering."""
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

    async def test_a_daemon_without_sound_certificates_does_not_start(self) -> None:
        """An instance comes up before its certificates do. Started without them it would take
        work from anyone; so it says what is missing and ends."""
        missing = {what: str(pathlib.Path(self.folder) / "none") for what in ("certificate", "key")}
        with self.assertRaisesRegex(Exception, "TLS-INVALID"):
            await self.cluster.start_entry("entry-9", "rift-a", tls=missing | {"authority": "x"})
