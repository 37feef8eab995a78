"""Tests of the choice of targets and home routers."""

from collections import Counter

from citrondock_core.routing.engine_load_view import EngineLoadView
from citrondock_core.routing.grant import EngineBacklog
from citrondock_core.routing.peer_table import Peer, PeerTable
from citrondock_core.routing.placement import Placement
from citrondock_core.routing.request_facts import PromptFacts, PromptPart
from citrondock_core.routing.target_entry import TargetEntry
from citrondock_core.routing.target_load import TargetLoad


def load(target_id, zone="z1", slots=4):
    entry = TargetEntry(
        target_id=target_id,
        service="s",
        host="10.0.0.1",
        port=80,
        availability_zone=zone,
        max_concurrency=slots,
        is_leaving=False,
    )
    return TargetLoad(entry)


def prompt(session):
    parts = (PromptPart(session, 4000), PromptPart("own", 1000))
    return PromptFacts(
        model="m", prompt_token_count=5000, max_output_token_count=50, parts=parts
    )


class TestEngines:
    def test_all_routers_choose_the_same_engine_for_a_session(self):
        loads = [load(f"e{n}") for n in range(9)]
        first, second = (Placement("z1", EngineLoadView()) for _ in range(2))
        for session in map(str, range(50)):
            chosen = first.choose_engine(prompt(session), loads, now_s=0)
            again = second.choose_engine(prompt(session), loads[::-1], now_s=0)
            assert chosen.load is again.load

    def test_a_fast_engine_is_preferred_for_more_sessions(self):
        load_view = EngineLoadView()
        for target_id, percent in (("slow", 50), ("fast", 150)):
            reported = EngineBacklog(
                target_id=target_id, backlog_s=0.0, speed_percent=percent
            )
            load_view.update(reported, now_s=0)
        loads = [load("slow"), load("fast")]
        placement = Placement("z1", load_view)
        chosen = Counter(
            placement.choose_engine(prompt(str(n)), loads, now_s=0).load.entry.target_id
            for n in range(400)
        )
        assert chosen["fast"] > 2 * chosen["slow"]

    def test_a_placement_that_has_chosen_follows_speeds_and_engines(self):
        load_view = EngineLoadView()
        placement = Placement("z1", load_view)
        loads = [load(f"e{n}") for n in range(9)]

        def chosen(loads):
            return [
                placement.choose_engine(prompt(str(n)), loads, now_s=0).load
                for n in range(200)
            ]

        chosen(loads)
        reported = EngineBacklog(target_id="e0", backlog_s=0.0, speed_percent=200)
        load_view.update(reported, now_s=0)
        fresh = Placement("z1", load_view)
        expected = [
            fresh.choose_engine(prompt(str(n)), loads, now_s=0).load for n in range(200)
        ]
        assert chosen(loads) == expected
        assert loads[0] not in chosen(loads[1:])
        added = load("e9")
        assert added in chosen([*loads, added])

    def test_a_prompt_avoids_a_preferred_engine_with_a_long_backlog(self):
        load_view = EngineLoadView()
        loads = [load(f"e{n}") for n in range(3)]
        placement = Placement("z1", load_view)
        preferred = placement.choose_engine(prompt("1"), loads, now_s=0).load
        reported = EngineBacklog(
            target_id=preferred.entry.target_id, backlog_s=2.0, speed_percent=100
        )
        load_view.update(reported, now_s=0)
        assert (
            placement.choose_engine(prompt("1"), loads, now_s=0).load is not preferred
        )
        # The reported backlog has drained by then.
        assert placement.choose_engine(prompt("1"), loads, now_s=2).load is preferred

    def test_a_target_that_failed_is_suspended(self):
        loads = [load("a"), load("b")]
        loads[0].record_failure(now_s=0)
        placement = Placement("z1", EngineLoadView())
        assert {
            placement.choose_engine(
                prompt(str(n)), loads, now_s=0.1
            ).load.entry.target_id
            for n in range(30)
        } == {"b"}

    def test_a_suspended_target_is_used_if_there_is_no_other(self):
        only = load("a")
        only.record_failure(now_s=0)
        placement = Placement("z1", EngineLoadView())
        assert placement.choose_engine(prompt("1"), [only], now_s=0.1).load is only


class TestPlainTargets:
    def test_among_equally_loaded_targets_one_of_the_local_zone_is_chosen(self):
        loads = [load("a", "z2"), load("b", "z1")]
        placement = Placement("z1", EngineLoadView())
        assert placement.choose_plain(loads, now_s=0).load.entry.target_id == "b"

    def test_the_least_loaded_target_is_chosen(self):
        loads = [load("a"), load("b", "z2")]
        loads[0].record_sent("r1")
        placement = Placement("z1", EngineLoadView())
        assert placement.choose_plain(loads, now_s=0).load.entry.target_id == "b"

    def test_targets_without_a_free_slot_are_not_chosen(self):
        full = load("a", slots=1)
        full.record_sent("r1")
        assert Placement("z1", EngineLoadView()).choose_plain([full], now_s=0) is None


class TestHomeRouters:
    def table(self):
        table = PeerTable("v0", "z1")
        for n in range(1, 6):
            zone = "z1" if n < 3 else "z2"
            table.put(Peer(vm_name=f"v{n}", host="h", port=n, availability_zone=zone))
        return table

    def test_the_home_router_is_in_the_zone_of_the_engine(self):
        table = self.table()
        homes = {table.home_router_of(f"e{n}", "z2", now_s=0) for n in range(50)}
        assert homes == {"v3", "v4", "v5"}

    def test_a_silent_home_router_is_replaced_for_a_while(self):
        table = self.table()
        home = table.home_router_of("e1", "z2", now_s=0)
        table.mark_silent(home, now_s=0)
        assert table.home_router_of("e1", "z2", now_s=0.5) != home
        assert table.home_router_of("e1", "z2", now_s=1.1) == home
        table.mark_silent(home, now_s=1.1)
        assert table.home_router_of("e1", "z2", now_s=2.2) != home
        table.mark_alive(home)
        assert table.home_router_of("e1", "z2", now_s=2.2) == home

    def test_a_router_without_peers_is_home_of_all_engines(self):
        assert PeerTable("v0", "z1").home_router_of("e1", "z2", now_s=0) == "v0"
