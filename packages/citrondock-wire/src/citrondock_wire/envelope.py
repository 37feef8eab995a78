"""Authenticated envelopes around what routers tell each other."""

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
"""Kept length of the tag; half of SHA-256's, as RFC 2104 allows."""

_SEPARATOR = b"\x00"


class EnvelopeError(CitrondockError):
    """An envelope is forged, replayed or meant for somebody else."""


@attrs.frozen(kw_only=True)
class Sender:
    """Who sealed an envelope."""

    vm_name: str
    incarnation: int


class EnvelopeSigner:
    """Seals payloads under the routers' shared key.

    Parameters
    ----------
    sender : Sender
        The own router.
    shared_key : bytes
        Key of all routers of a deployment.
    """

    def __init__(self, sender: Sender, *, shared_key: bytes) -> None:
        self._sender = sender
        self._shared_key = shared_key
        self._sequences = itertools.count(time.time_ns())

    def sign(self, payload: bytes, *, receiver: str, method: str) -> Envelope:
        """Return an envelope that only ``method`` of ``receiver`` accepts, once."""
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
    """Checks envelopes that arrive at one router.

    Parameters
    ----------
    receiver : str
        Name of the own VM.
    shared_key : bytes
        Key of all routers of a deployment.
    further_keys : sequence of bytes
        Keys that are accepted too, while the key is being replaced.
    """

    def __init__(
        self, receiver: str, *, shared_key: bytes, further_keys: Sequence[bytes] = ()
    ) -> None:
        self._receiver = receiver
        self._keys = (shared_key, *further_keys)
        self._latest: dict[tuple[str, str], tuple[int, int]] = {}
        self._lock = threading.Lock()

    def verify(self, envelope: Envelope, *, method: str) -> Sender:
        """Return who sealed the envelope.

        Raises
        ------
        EnvelopeError
            When the tag is wrong, the receiver is another or the envelope isn't newer
            than the last one of its sender.
        """
        self._check_shape(envelope)
        # No early end: the time taken does not tell which key matched.
        matches = [
            hmac.compare_digest(_tag(envelope, method, key), envelope.tag)
            for key in self._keys
        ]
        if not any(matches):
            raise _refused("wrong tag", "unknown")
        if envelope.receiver != self._receiver:
            raise _refused(f"meant for {envelope.receiver!r}", envelope.sender)
        freshness = (envelope.incarnation, envelope.sequence)
        with self._lock:
            key = (envelope.sender, method)
            if freshness <= self._latest.get(key, (0, 0)):
                raise _refused("not newer than the last envelope", envelope.sender)
            self._latest[key] = freshness
        return Sender(vm_name=envelope.sender, incarnation=envelope.incarnation)

    @staticmethod
    def _check_shape(envelope: Envelope) -> None:
        texts = (envelope.sender, envelope.receiver)
        numbers = (envelope.incarnation, envelope.sequence)
        binaries = (envelope.payload, envelope.tag)
        if not (
            all(isinstance(text, str) and "\0" not in text for text in texts)
            and all(isinstance(number, int) for number in numbers)
            and all(isinstance(binary, bytes) for binary in binaries)
        ):
            raise _refused("a field is missing or malformed", "unknown")


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


def _refused(reason: str, peer: str) -> EnvelopeError:
    return EnvelopeError(reason, step="envelope", peer=peer)
