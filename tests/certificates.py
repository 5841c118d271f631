"""A certificate authority for tests."""

import datetime
import ipaddress
import pathlib

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

ONE_DAY = datetime.timedelta(days=1)


class Authority:
    """Signs the certificates of a fleet."""

    def __init__(self, name: str) -> None:
        self._key = ec.generate_private_key(ec.SECP256R1())
        self._name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        self.certificate = self._sign(self._name, self._key.public_key(), authority=True)

    def write(self, folder: pathlib.Path, name: str) -> dict[str, str]:
        """Writes a new certificate, its key and the CA certificate; returns the TLS settings."""
        key = ec.generate_private_key(ec.SECP256R1())
        subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        certificate = self._sign(subject, key.public_key(), authority=False)
        encoded_key = key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
        contents = {
            "certificate": certificate.public_bytes(serialization.Encoding.PEM),
            "key": encoded_key,
            "authority": self.certificate.public_bytes(serialization.Encoding.PEM),
        }
        settings = {}
        for kind, content in contents.items():
            path = folder / f"{name}-{kind}.pem"
            path.write_bytes(content)
            settings[kind] = str(path)
        return settings

    def _sign(
        self, subject: x509.Name, public_key: ec.EllipticCurvePublicKey, authority: bool
    ) -> x509.Certificate:
        now = datetime.datetime.now(datetime.UTC)
        address = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))
        builder = x509.CertificateBuilder(
            issuer_name=self._name,
            subject_name=subject,
            public_key=public_key,
            serial_number=x509.random_serial_number(),
            not_valid_before=now - ONE_DAY,
            not_valid_after=now + ONE_DAY,
        )
        constraints = x509.BasicConstraints(ca=authority, path_length=None)
        builder = builder.add_extension(constraints, critical=True)
        builder = builder.add_extension(x509.SubjectAlternativeName([address]), critical=False)
        return builder.sign(self._key, hashes.SHA256())
