import copy

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.TSerialization import deserialize, serialize

from citrondock_wire.envelope import (
    EnvelopeError,
    EnvelopeSigner,
    EnvelopeVerifier,
    Sender,
)
from citrondock_wire.gen.citrondock_peer.ttypes import Envelope

OLD, NEW = b"old-shared-key", b"new-shared-key"
FACTORY = TCompactProtocolAcceleratedFactory()


def signer(*, key=OLD, incarnation=1, vm_name="router-1"):
    sender = Sender(vm_name=vm_name, incarnation=incarnation)
    return EnvelopeSigner(sender, shared_key=key)


def verifier(*, key=OLD, further_keys=(), receiver="router-2"):
    return EnvelopeVerifier(receiver, shared_key=key, further_keys=further_keys)


def signed(payload=b"hello", **options):
    return signer(**options).sign(payload, receiver="router-2", method="deliver")


class TestEnvelopeVerifier:
    def test_a_signed_envelope_returns_its_sender(self):
        sender = verifier().verify(signed(), method="deliver")

        assert sender == Sender(vm_name="router-1", incarnation=1)

    @pytest.mark.parametrize(
        ("field", "value"),
        [
            ("sender", "router-3"),
            ("incarnation", 2),
            ("sequence", 2**62),
            ("receiver", "router-3"),
            ("payload", b"hullo"),
            ("tag", b"\0" * 32),
            ("tag", b""),
            ("sender", None),
            ("sequence", None),
            ("payload", None),
            ("tag", None),
            ("incarnation", True),
        ],
    )
    def test_a_changed_envelope_is_refused(self, field, value):
        envelope = signed()
        setattr(envelope, field, value)

        with pytest.raises(EnvelopeError):
            verifier().verify(envelope, method="deliver")

    def test_an_envelope_for_another_router_is_refused(self):
        with pytest.raises(EnvelopeError, match="meant for"):
            verifier(receiver="router-3").verify(signed(), method="deliver")

    def test_an_envelope_for_another_method_is_refused(self):
        with pytest.raises(EnvelopeError, match="wrong tag"):
            verifier().verify(signed(), method="explain")

    def test_a_replayed_envelope_is_refused(self):
        receiver = verifier()
        envelope = signed()
        receiver.verify(copy.copy(envelope), method="deliver")

        with pytest.raises(EnvelopeError, match="not newer"):
            receiver.verify(envelope, method="deliver")

    def test_an_envelope_of_an_earlier_incarnation_is_refused(self):
        receiver = verifier()
        late = signed()
        receiver.verify(signed(incarnation=2), method="deliver")

        with pytest.raises(EnvelopeError, match="not newer"):
            receiver.verify(late, method="deliver")

    def test_a_separator_byte_in_a_field_is_refused(self):
        envelope = signed(vm_name="router\x001")

        with pytest.raises(EnvelopeError, match="malformed"):
            verifier().verify(envelope, method="deliver")

    @given(st.binary(max_size=200))
    @settings(derandomize=True, deadline=None, max_examples=200)
    def test_any_other_bytes_are_refused(self, data):
        changed = serialize(signed(), protocol_factory=FACTORY)[: len(data)] + data
        try:
            envelope = deserialize(Envelope(), changed, protocol_factory=FACTORY)
        except Exception:
            return
        with pytest.raises(EnvelopeError):
            verifier().verify(envelope, method="deliver")


class TestKeyReplacement:
    @pytest.mark.parametrize("signing", [OLD, NEW])
    @pytest.mark.parametrize(
        "receiver",
        [verifier(key=OLD, further_keys=[NEW]), verifier(key=NEW, further_keys=[OLD])],
    )
    def test_both_keys_are_accepted_during_replacement(self, signing, receiver):
        receiver.verify(signed(key=signing), method="deliver")

    def test_the_old_key_is_refused_after_replacement(self):
        with pytest.raises(EnvelopeError, match="wrong tag"):
            verifier(key=NEW).verify(signed(key=OLD), method="deliver")
