"""A router that the store turned away drops engines that left meanwhile (DRAIN)."""

from citrondock_core.routing.store_position import StorePosition
from citrondock_core.routing.target_directory import TargetDirectory
from citrondock_core.routing.target_entry import TargetEntry
from citrondock_platform.settings import REGISTRY_RECOVERY_S
from citrondock_router.gateway.gateway_process import HOUSEKEEPING_S
from citrondock_router.gateway.object_follower import FollowerOptions

STABLE_S = 3.0
"""The rule counts for a router once the store has served it again for so long."""


class TestEngineThatLeftDuringAnOutage:
    def test_it_gets_no_requests_once_the_store_is_back_for_three_seconds(self):
        entry = TargetEntry(
            target_id="e1",
            service="llm",
            host="10.0.0.1",
            port=1,
            availability_zone="z1",
            max_concurrency=8,
            is_leaving=False,
        )
        directory = TargetDirectory(grace_s=REGISTRY_RECOVERY_S)
        directory.replace([entry], position=StorePosition(0, 1), now_s=0.0)
        # The store is back at 0 s; the follower asks it again after its longest pause.
        noticed_at_s = FollowerOptions().max_backoff_s
        directory.registry_recovered(now_s=noticed_at_s)
        directory.replace([], position=StorePosition(0, 2), now_s=noticed_at_s)
        now_s = noticed_at_s
        while now_s + HOUSEKEEPING_S <= STABLE_S:
            now_s += HOUSEKEEPING_S
            directory.expire(now_s=now_s)
        assert directory.usable() == []
