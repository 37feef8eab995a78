import pytest

from citrondock_core.heartbeat import Heartbeat
from citrondock_core.messages import (
    Demand,
    InFlight,
    ServiceCounter,
    ServiceTotal,
    SlotGrant,
    SlotReturn,
    Summary,
)
from citrondock_wire.message_codec import BadMessageError, MessageCodec


def summary(accounts):
    return Summary(
        counters=[
            ServiceCounter(
                vm_name="router-1",
                incarnation=7,
                account=a,
                charged_tokens=1e9 + i,
                refunded_tokens=5,
                stream=3,
            )
            for i, a in enumerate(accounts)
        ],
        demands=[
            Demand(
                vm_name="router-2",
                incarnation=8,
                pool="engines",
                account=a,
                waiting_count=i,
                sequence=12,
            )
            for i, a in enumerate(accounts)
        ],
        totals=[
            ServiceTotal(
                account=a,
                charged_tokens=2e9,
                refunded_tokens=i,
                lifted_tokens=4,
                clamped_tokens=0,
            )
            for i, a in enumerate(accounts)
        ],
        sequence=9,
        acknowledged=(4, 5),
        wants_totals=True,
    )


def by_account(entries):
    return sorted(entries, key=lambda e: e.account)


class TestMessageCodec:
    @pytest.mark.parametrize("configured", [(), ("plume", "eau"), ("plume",)])
    def test_summary_round_trip_with_and_without_configured_accounts(self, configured):
        codec = MessageCodec()
        codec.set_accounts(configured)
        sent = summary(["plume", "eau", "autre"])
        (decoded,) = codec.decode(codec.encode([sent]))

        assert by_account(decoded.counters) == by_account(sent.counters)
        assert by_account(decoded.demands) == by_account(sent.demands)
        assert by_account(decoded.totals) == by_account(sent.totals)
        assert decoded.acknowledged == (4, 5)
        assert decoded.sequence == 9
        assert decoded.wants_totals

    def test_entries_of_accounts_not_configured_at_the_receiver_are_omitted(self):
        sender, receiver = MessageCodec(), MessageCodec()
        sender.set_accounts(["plume", "eau"])
        receiver.set_accounts(["plume"])
        (decoded,) = receiver.decode(sender.encode([summary(["plume", "eau"])]))

        assert [t.account for t in decoded.totals] == ["plume"]

    def test_round_trip_of_other_messages(self):
        sent = [
            Heartbeat(
                vm_name="router-1",
                availability_zone="zone-1",
                incarnation=1,
                host="127.0.0.1",
                port=7000,
                leaving=False,
                configuration_revision=3,
                sequence=4,
            ),
            SlotGrant(grant_id="1.2", target="t", pool="p", slot_count=2, ttl_s=1.5),
            SlotReturn(grant_id="1.2", target="t", returned_count=1, unused=True),
            InFlight(target="t", in_flight_count=3, sequence=4, first_token_s=0.25),
        ]
        codec = MessageCodec()

        assert codec.decode(codec.encode(sent)) == sent

    @pytest.mark.parametrize("payload", [b"\xff" * 40, b"\x19\xfc\xff\xff\xff\x0f"])
    def test_invalid_bytes_raise_bad_message_error(self, payload):
        with pytest.raises(BadMessageError) as error:
            MessageCodec().decode(payload, peer="router-9")

        assert error.value.peer == "router-9"
