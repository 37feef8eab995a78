from citrondock_standins.fleet import Fleet, FleetPlan
from citrondock_standins.small_deployment import configuration_publisher

PLAN = FleetPlan(router_zones=("a", "b", "c"), application_zones=("a",))


class TestRestartAtAnotherAddress:
    def test_the_others_reach_a_router_whose_address_changed(self):
        with Fleet(PLAN, publish=configuration_publisher()) as fleet:
            fleet.wait_ready()
            fleet.wait_joined()
            fleet.routers["router-b1"].process.kill()
            fleet.restart_router("router-b1")
            fleet.wait_ready()
            fleet.wait_joined(timeout_s=20)
