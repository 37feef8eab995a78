"""TLS between routers: each shows a certificate, and each checks the other's."""

import ssl

from citrondock_router.settings import PeerSettings


def server_context(settings: PeerSettings) -> ssl.SSLContext | None:
    """Return the context that accepts peers, or None without certificates."""
    return _context(settings, ssl.PROTOCOL_TLS_SERVER)


def client_context(settings: PeerSettings) -> ssl.SSLContext | None:
    """Return the context that connects to peers, or None without certificates."""
    return _context(settings, ssl.PROTOCOL_TLS_CLIENT)


def _context(settings: PeerSettings, protocol: int) -> ssl.SSLContext | None:
    if not settings.tls_certificate_path:
        return None
    context = ssl.SSLContext(protocol)
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    context.load_cert_chain(settings.tls_certificate_path, settings.tls_key_path)
    context.load_verify_locations(settings.tls_ca_path or settings.tls_certificate_path)
    # VMs are replaced and come back under other addresses; the authority's signature
    # and the shared key say who is a router.
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    return context
