"""Signed envelopes around messages between routers."""

import hashlib
import hmac
import itertools
import threading
import time
from collections.abc import Sequence

import attrs

from citrondock_core.errors import CitrondockError
from citrondock_wire.gen.citrondock_peer.ttypes import Envelope

TAG_BYTES = 16
"""Length of the truncated HMAC-SHA-256 tag. RFC 2104 allows half of the hash."""

_SEPARATOR = b"\x00"


class EnvelopeError(CitrondockError):
    """An envelope is malformed, forged, replayed or for another receiver."""


@attrs.frozen(kw_only=True)
class Sender:
    """Router process that signed an envelope."""

    vm_name: str
    incarnation: int


class EnvelopeSigner:
    """Wraps payloads in envelopes that are signed with the routers' shared key.

    Parameters
    ----------
    sender : Sender
        This router.
    shared_key : bytes
        Key that all routers of a deployment share.
    """

    def __init__(self, sender: Sender, *, shared_key: bytes) -> None:
        self._sender = sender
        self._shared_key = shared_key
        self._sequences = itertools.count(time.time_ns())

    def sign(self, payload: bytes, *, receiver: str, method: str) -> Envelope:
        """Return a signed envelope that ``method`` of ``receiver`` accepts once."""
        envelope = Envelope(
            sender=self._sender.vm_name,
            incarnation=self._sender.incarnation,
            sequence=next(self._sequences),
            receiver=receiver,
            payload=payload,
        )
        envelope.tag = _tag(envelope, method, self._shared_key)
        return envelope


class EnvelopeVerifier:
    """Checks the signature, receiver and sequence of received envelopes.

    Parameters
    ----------
    receiver : str
        Name of this router's VM.
    shared_key : bytes
        Key that all routers of a deployment share.
    further_keys : sequence of bytes
        Keys that are also accepted while the shared key is being replaced.
    """

    def __init__(
        self, receiver: str, *, shared_key: bytes, further_keys: Sequence[bytes] = ()
    ) -> None:
        self._receiver = receiver
        self._keys = (shared_key, *further_keys)
        self._last_accepted: dict[tuple[str, str], tuple[int, int]] = {}
        self._lock = threading.Lock()

    def verify(self, envelope: Envelope, *, method: str) -> Sender:
        """Check an envelope and return its sender.

        Raises
        ------
        EnvelopeError
            If a field is missing, the tag is wrong, the envelope is for another
            receiver, or it is not newer than the last accepted envelope of the same
            sender and method.
        """
        self._check_field_types(envelope)
        # All keys are compared, so the time taken does not tell which one matched.
        matches = [
            hmac.compare_digest(_tag(envelope, method, key), envelope.tag)
            for key in self._keys
        ]
        if not any(matches):
            raise _envelope_error("wrong tag", "unknown")
        if envelope.receiver != self._receiver:
            raise _envelope_error(f"meant for {envelope.receiver!r}", envelope.sender)
        freshness = (envelope.incarnation, envelope.sequence)
        with self._lock:
            key = (envelope.sender, method)
            if freshness <= self._last_accepted.get(key, (0, 0)):
                raise _envelope_error(
                    "not newer than the last envelope", envelope.sender
                )
            self._last_accepted[key] = freshness
        return Sender(vm_name=envelope.sender, incarnation=envelope.incarnation)

    @staticmethod
    def _check_field_types(envelope: Envelope) -> None:
        texts = (envelope.sender, envelope.receiver)
        numbers = (envelope.incarnation, envelope.sequence)
        binaries = (envelope.payload, envelope.tag)
        if not (
            all(isinstance(text, str) and "\0" not in text for text in texts)
            and all(isinstance(number, int) for number in numbers)
            and all(isinstance(binary, bytes) for binary in binaries)
        ):
            raise _envelope_error("a field is missing or malformed", "unknown")


def _tag(envelope: Envelope, method: str, shared_key: bytes) -> bytes:
    parts = (
        method.encode(),
        envelope.sender.encode(),
        str(envelope.incarnation).encode(),
        str(envelope.sequence).encode(),
        envelope.receiver.encode(),
    )
    signed = _SEPARATOR.join(parts) + _SEPARATOR + envelope.payload
    return hmac.new(shared_key, signed, hashlib.sha256).digest()[:TAG_BYTES]


def _envelope_error(reason: str, peer: str) -> EnvelopeError:
    return EnvelopeError(reason, step="envelope", peer=peer)
