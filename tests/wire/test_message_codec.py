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
    @pytest.mark.parametrize("known", [(), ("plume", "eau"), ("plume",)])
    def test_a_summary_comes_back_with_or_without_known_names(self, known):
        codec = MessageCodec()
        codec.set_accounts(known)
        sent = summary(["plume", "eau", "autre"])
        (back,) = codec.decode(codec.encode([sent]))

        assert by_account(back.counters) == by_account(sent.counters)
        assert by_account(back.demands) == by_account(sent.demands)
        assert by_account(back.totals) == by_account(sent.totals)
        assert back.acknowledged == (4, 5)
        assert back.sequence == 9
        assert back.wants_totals

    def test_entries_of_accounts_unknown_to_the_receiver_are_left_out(self):
        sender, receiver = MessageCodec(), MessageCodec()
        sender.set_accounts(["plume", "eau"])
        receiver.set_accounts(["plume"])
        (back,) = receiver.decode(sender.encode([summary(["plume", "eau"])]))

        assert [t.account for t in back.totals] == ["plume"]

    def test_other_messages_come_back(self):
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
    def test_bad_bytes_are_a_typed_error(self, payload):
        with pytest.raises(BadMessageError) as error:
            MessageCodec().decode(payload, peer="router-9")

        assert error.value.peer == "router-9"
