import time

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from citrondock_core.configuration import (
    ClientAccount,
    Configuration,
    Pool,
    PoolKind,
)
from citrondock_core.dispatch_options import DispatchOptions
from citrondock_core.dispatcher import Dispatcher
from citrondock_core.messages import Member
from citrondock_core.request import RefusalReason, RequestRefusedError, WaitingRequest
from citrondock_router.intake_quota import IntakeQuota

ALICE = ClientAccount(name="alice", max_waiting_requests=3, max_waiting_bytes=100)
BOB = ClientAccount(name="bob")


def new_quota(
    check_capacity=lambda *_: None, *, max_request_count=8, max_body_bytes=20
):
    return IntakeQuota(
        max_request_count=max_request_count,
        max_total_bytes=80,
        max_body_bytes=max_body_bytes,
        check_capacity=check_capacity,
    )


class TestIntakeQuota:
    def test_account_at_its_limit_leaves_quota_for_others(self):
        quota = new_quota()
        quota.reserve(ALICE, 10)
        quota.reserve(ALICE, 10)

        with pytest.raises(RequestRefusedError) as refused:
            quota.reserve(ALICE, 0)

        assert refused.value.cause is RefusalReason.ACCOUNT_QUEUE_FULL
        quota.reserve(BOB, 20)

    def test_undeclared_bytes_count_when_received(self):
        quota = new_quota()
        reservation = quota.reserve(ALICE, 0)
        quota.receive(reservation, 20)

        with pytest.raises(RequestRefusedError):
            quota.receive(reservation, 1)

    def test_total_bytes_of_all_accounts_are_limited(self):
        quota = new_quota(max_body_bytes=80)
        quota.receive(quota.reserve(ALICE, 50), 50)

        with pytest.raises(RequestRefusedError) as refused:
            quota.reserve(BOB, 31)

        assert refused.value.cause is RefusalReason.ROUTER_QUEUE_FULL

    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["reserve", "receive", "release"]),
                st.sampled_from([ALICE, BOB]),
                st.integers(0, 30),
            ),
            max_size=60,
        )
    )
    @settings(derandomize=True, deadline=None)
    def test_released_quota_is_available_again(self, steps):
        quota = new_quota()
        held = []
        for step, account, size_bytes in steps:
            try:
                if step == "reserve":
                    held.append(quota.reserve(account, size_bytes))
                elif held and step == "receive":
                    quota.receive(held[-1], size_bytes)
                elif held:
                    quota.release(held.pop())
            except RequestRefusedError:
                continue
        for reservation in held:
            quota.release(reservation)

        assert quota.total_bytes == 0
        quota.reserve(ALICE, 20)
        quota.reserve(BOB, 20)


class TestCapacityCheck:
    @pytest.fixture
    def dispatcher(self):
        member = Member(vm_name="r", availability_zone="a", incarnation=1)
        made = Dispatcher(member, options=DispatchOptions(max_waiting_requests=4))
        pool = Pool(name="p", kind=PoolKind.APPLICATION, targets=())
        configuration = Configuration(
            revision=1,
            accounts={"alice": ALICE, "bob": BOB},
            pools={"p": pool},
            services={},
        )
        made.set_configuration(configuration, now_s=0.0)
        return made

    def queue_requests(self, dispatcher, account, *, count, body_bytes=0):
        for number in range(count):
            request = WaitingRequest(
                request_id=f"{account}{number}",
                account=account,
                service="s",
                pool="p",
                arrived_at_s=0.0,
                deadline_s=time.monotonic() + 60,
                body_bytes=body_bytes,
            )
            dispatcher.submit(request, now_s=0.0)

    def test_unfinished_and_waiting_requests_count_together(self, dispatcher):
        self.queue_requests(dispatcher, "alice", count=2)
        quota = new_quota(dispatcher.check_capacity)
        quota.reserve(ALICE, 0)

        with pytest.raises(RequestRefusedError) as refused:
            quota.reserve(ALICE, 0)

        assert refused.value.cause is RefusalReason.ACCOUNT_QUEUE_FULL

    def test_waiting_bytes_count_against_the_limit(self, dispatcher):
        self.queue_requests(dispatcher, "alice", count=1, body_bytes=90)

        dispatcher.check_capacity("alice", 1, 10)
        with pytest.raises(RequestRefusedError):
            dispatcher.check_capacity("alice", 1, 11)

    def test_full_router_refuses_with_router_queue_full(self, dispatcher):
        self.queue_requests(dispatcher, "bob", count=4)

        with pytest.raises(RequestRefusedError) as refused:
            dispatcher.check_capacity("alice", 1, 0)

        assert refused.value.cause is RefusalReason.ROUTER_QUEUE_FULL

    def test_early_check_gives_the_same_cause_as_submit(self, dispatcher):
        self.queue_requests(dispatcher, "alice", count=3)

        with pytest.raises(RequestRefusedError) as early:
            dispatcher.check_capacity("alice", 1, 0)
        request = attrs.evolve(dispatcher._waiting.get("alice0"), request_id="late")
        with pytest.raises(RequestRefusedError) as late:
            dispatcher.submit(request, now_s=0.0)

        assert early.value.cause is late.value.cause
