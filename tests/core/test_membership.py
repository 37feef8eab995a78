import attrs

from citrondock_core.heartbeat import Heartbeat
from citrondock_core.member_event import MemberEventKind
from citrondock_core.membership import MembershipView
from citrondock_core.vm_directory import Vm


def heartbeat_of(name, *, incarnation=1, sequence=1, zone="z1", **fields):
    return Heartbeat(
        vm_name=name,
        availability_zone=zone,
        incarnation=incarnation,
        host="127.0.0.1",
        port=7300,
        sequence=sequence,
        **fields,
    )


def view_of(name="a", zone="z1"):
    return MembershipView(heartbeat_of(name, zone=zone, sequence=0))


def names(view, now_s):
    return [live.member.vm_name for live in view.members(now_s=now_s)]


def kinds(view):
    return [event.kind for event in view.take_events()]


class Fleet:
    """Membership views that exchange heartbeats each period, without a network."""

    def __init__(self, zones):
        self.views = {n: view_of(n, zone) for n, zone in zones.items()}
        self.listed = [
            Vm(name=n, availability_zone=zone, host="127.0.0.1", port=7300)
            for n, zone in zones.items()
        ]
        self.dead = set()
        self.cut = set()
        self.sent = {}
        self.due = dict.fromkeys(zones, 0.0)

    def run(self, from_s, until_s):
        for half in range(2 * from_s, 2 * until_s):
            for name, view in self.views.items():
                if name not in self.dead:
                    self._step(name, view, half / 2)

    def _step(self, name, view, now_s):
        view.set_listed(self.listed, now_s=now_s)
        if now_s < self.due[name]:
            return
        self.due[name] = now_s + view.heartbeat_period_s
        contacts = view.contacts(now_s=now_s)
        self.sent[name] = len(contacts)
        for contact in contacts:
            heartbeats = view.next_heartbeats(contact.vm_name, now_s=now_s)
            pair = frozenset((name, contact.vm_name))
            if contact.vm_name in self.dead or pair in self.cut:
                continue
            for heartbeat in heartbeats:
                self.views[contact.vm_name].receive(heartbeat, now_s=now_s, sender=name)


class TestVmList:
    def test_a_listed_router_is_contacted_but_not_a_member(self):
        view = view_of()
        view.set_listed(
            [Vm(name="b", availability_zone="z1", host="h", port=1)], now_s=0.0
        )
        assert names(view, 0.0) == ["a"]
        assert [c.vm_name for c in view.contacts(now_s=0.0)] == ["b"]

    def test_a_live_router_missing_from_the_list_stays_a_member(self):
        view = view_of()
        view.receive(heartbeat_of("b"), now_s=0.0)
        view.set_listed([], now_s=1.0)
        assert names(view, 1.0) == ["a", "b"]
        assert [c.vm_name for c in view.contacts(now_s=1.0)] == ["b"]


class TestIncarnations:
    def test_a_restarted_router_replaces_its_former_incarnation(self):
        view = view_of()
        view.receive(heartbeat_of("b", incarnation=1, sequence=50), now_s=0.0)
        view.receive(heartbeat_of("b", incarnation=2, sequence=1), now_s=1.0)
        view.receive(heartbeat_of("b", incarnation=1, sequence=51), now_s=1.5)
        (live,) = [m for m in view.members(now_s=2.0) if m.member.vm_name == "b"]
        assert live.member.incarnation == 2
        assert kinds(view) == [MemberEventKind.JOINED, MemberEventKind.RESTARTED]

    def test_a_late_heartbeat_does_not_bring_a_lost_router_back(self):
        view = view_of()
        view.receive(heartbeat_of("b", sequence=9), now_s=0.0)
        assert names(view, 3.9) == ["a", "b"]
        assert names(view, 5.6) == ["a"]
        view.receive(heartbeat_of("b", sequence=9), now_s=5.8, sender="c")
        assert names(view, 5.8) == ["a"]
        view.receive(heartbeat_of("b", sequence=10), now_s=6.0)
        assert names(view, 6.0) == ["a", "b"]


class TestLeaving:
    def test_leaving_is_reported_once_and_a_final_heartbeat_removes_at_once(self):
        view, other = view_of(), view_of("b")
        other.update_self(leaving=True)
        for now in (0.0, 1.0):
            (heartbeat,) = other.next_heartbeats("a", now_s=now)
            view.receive(heartbeat, now_s=now)
        view.receive(other.final_heartbeat(), now_s=1.2)
        assert names(view, 1.2) == ["a"]
        assert kinds(view) == [
            MemberEventKind.JOINED,
            MemberEventKind.LEAVING,
            MemberEventKind.LEFT,
        ]


class TestPausedObserver:
    def test_a_router_that_was_paused_does_not_declare_the_others_lost(self):
        view = view_of()
        view.receive(heartbeat_of("b"), now_s=0.0)
        names(view, 0.5)
        assert names(view, 60.0) == ["a", "b"]
        for now in (61.0, 62.0, 63.0, 64.0, 65.0):
            names(view, now)
        assert names(view, 66.0) == ["a"]


class TestSevenRouters:
    zones = {f"r{i}": f"z{i % 3}" for i in range(7)}

    def test_a_killed_router_is_lost_everywhere_within_seven_seconds(self):
        fleet = Fleet(self.zones)
        fleet.run(0, 10)
        assert all(len(names(v, 9.0)) == 7 for v in fleet.views.values())
        fleet.dead.add("r3")
        fleet.run(10, 17)
        live = [v for n, v in fleet.views.items() if n != "r3"]
        assert all("r3" not in names(v, 16.0) for v in live)
        fleet.run(17, 60)
        assert all("r3" not in names(v, 59.0) for v in live)

    def test_a_cut_between_two_routers_keeps_both_members_but_unreachable(self):
        fleet = Fleet(self.zones)
        fleet.run(0, 10)
        fleet.cut.add(frozenset(("r0", "r1")))
        fleet.run(10, 40)
        seen = {m.member.vm_name: m for m in fleet.views["r0"].members(now_s=39.0)}
        assert set(seen) == set(self.zones)
        assert not seen["r1"].reachable
        assert seen["r2"].reachable

    def test_zones_cut_off_lose_each_other_and_rejoin_after_the_cut(self):
        fleet = Fleet(self.zones)
        fleet.run(0, 10)
        inside = {n for n, zone in self.zones.items() if zone == "z0"}
        pairs = {frozenset((a, b)) for a in inside for b in set(self.zones) - inside}
        fleet.cut |= pairs
        fleet.run(10, 30)
        assert set(names(fleet.views["r0"], 29.0)) == inside
        fleet.cut.clear()
        fleet.run(30, 35)
        assert all(len(names(v, 34.0)) == 7 for v in fleet.views.values())


class TestLargeFleet:
    zones = {f"r{i:03}": f"z{i % 4}" for i in range(48)}

    def test_contacts_stay_few_and_a_loss_reaches_all_members(self):
        fleet = Fleet(self.zones)
        fleet.run(0, 75)
        assert all(len(names(v, 74.0)) == 48 for v in fleet.views.values())
        assert max(fleet.sent.values()) <= 4
        fleet.dead.add("r005")
        fleet.run(75, 111)
        knowing = [n for n, v in fleet.views.items() if "r005" in names(v, 110.0)]
        assert set(knowing) <= {"r005"}

    def test_a_report_of_a_loss_is_refuted_by_direct_heartbeats(self):
        view = view_of()
        view.receive(heartbeat_of("b", sequence=5), now_s=0.0)
        gone = attrs.evolve(heartbeat_of("b", sequence=5), gone=True)
        view.receive(gone, now_s=0.5, sender="c")
        assert names(view, 0.5) == ["a", "b"]

    def test_a_joining_router_keeps_all_reported_members_without_the_vm_list(self):
        fleet = Fleet({name: zone for name, zone in self.zones.items()})
        listed, fleet.listed = fleet.listed, []
        for view in fleet.views.values():
            for vm in listed:
                heartbeat = heartbeat_of(vm.name, zone=vm.availability_zone)
                view.receive(heartbeat, now_s=0.0, sender="r000")
        fleet.run(1, 40)
        assert all(len(names(v, 39.0)) == 48 for v in fleet.views.values())
