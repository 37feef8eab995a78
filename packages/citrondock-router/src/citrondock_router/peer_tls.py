"""Contexts for mutual TLS between routers: each side checks the other's certificate."""

import ssl

from citrondock_router.settings import PeerSettings


def server_context(settings: PeerSettings) -> ssl.SSLContext | None:
    """Return the context for accepting peers, or None if no certificate is set."""
    return _context(settings, ssl.PROTOCOL_TLS_SERVER)


def client_context(settings: PeerSettings) -> ssl.SSLContext | None:
    """Return the context for connecting to peers, or None if no certificate is set."""
    return _context(settings, ssl.PROTOCOL_TLS_CLIENT)


def _context(settings: PeerSettings, protocol: int) -> ssl.SSLContext | None:
    if not settings.tls_certificate_path:
        return None
    context = ssl.SSLContext(protocol)
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    context.load_cert_chain(settings.tls_certificate_path, settings.tls_key_path)
    context.load_verify_locations(settings.tls_ca_path or settings.tls_certificate_path)
    # Host names are not checked, as replaced VMs come back at other addresses. The
    # signature of the certificate authority and the shared key identify a router.
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    return context
