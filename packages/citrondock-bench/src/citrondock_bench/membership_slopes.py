"""Traffic and processor time of membership per node, by size of the fleet."""

import time
from collections import Counter

import attrs
from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.Thrift import TMessageType
from thrift.transport.TTransport import TMemoryBuffer

from citrondock_core.heartbeat import Heartbeat
from citrondock_core.membership import MembershipView
from citrondock_wire.gen.citrondock_peer import PeerService, ttypes
from citrondock_wire.message_codec import MessageCodec

ZONE_COUNT = 12
FRAME_BYTES = 4
"""Length prefix of a framed Thrift message."""

TAG_BYTES = 32
"""Authentication tag of an envelope."""

INCARNATION = 1_790_000_000_000
PERCENT = 100.0


@attrs.frozen(kw_only=True)
class MembershipPoint:
    """Measured cost of membership per node in a fleet without changes.

    Parameters
    ----------
    node_count : int
        Routers in the fleet.
    contact_count : int
        Largest number of contacts that a router sent heartbeats to.
    bytes_per_s : float
        Bytes sent and received by a router on average, including envelopes and
        responses.
    busiest_bytes_per_s : float
        The same for the busiest router.
    cpu_percent : float
        Processor time of a router's membership view, encoding and decoding, in
        percent of a core, without the envelope's authentication tag and the sockets.
    """

    node_count: int
    contact_count: int
    bytes_per_s: float
    busiest_bytes_per_s: float
    cpu_percent: float


class SimulatedFleet:
    """Membership views that exchange encoded heartbeats on a simulated clock.

    Parameters
    ----------
    node_count : int
        Routers, spread over twelve zones.
    """

    def __init__(self, node_count: int) -> None:
        self._codec = MessageCodec()
        own = [_heartbeat(number) for number in range(node_count)]
        self._views = {each.vm_name: MembershipView(each) for each in own}
        self._next_heartbeat_s: dict[str, float] = {}
        self.sent_bytes: Counter[str] = Counter()
        self.contact_count = 0
        for number, name in enumerate(self._views):
            self._next_heartbeat_s[name] = number / node_count
            for heartbeat in own:
                self._views[name].receive(
                    attrs.evolve(heartbeat, sequence=1), now_s=0.0, sender="start"
                )

    def run(self, from_s: float, until_s: float) -> None:
        """Send all heartbeats due before `until_s`, overdue ones at `from_s`."""
        while True:
            name = min(
                self._next_heartbeat_s, key=lambda each: self._next_heartbeat_s[each]
            )
            now_s = self._next_heartbeat_s[name]
            if now_s >= until_s:
                return
            view = self._views[name]
            self._next_heartbeat_s[name] = now_s + view.heartbeat_period_s
            self._send_heartbeats(name, view, max(now_s, from_s))

    def member_counts(self, now_s: float) -> set[int]:
        """Return the distinct numbers of members that the views have."""
        return {len(view.members(now_s=now_s)) for view in self._views.values()}

    def _send_heartbeats(self, name: str, view: MembershipView, now_s: float) -> None:
        contacts = view.contacts(now_s=now_s)
        self.contact_count = max(self.contact_count, len(contacts))
        for contact in contacts:
            payload = self._codec.encode(
                view.next_heartbeats(contact.vm_name, now_s=now_s)
            )
            size_bytes = _exchange_bytes(name, contact.vm_name, payload)
            self.sent_bytes[name] += size_bytes
            self.sent_bytes[contact.vm_name] += size_bytes
            receiver = self._views[contact.vm_name]
            for heartbeat in self._codec.decode(payload):
                assert isinstance(heartbeat, Heartbeat)
                receiver.receive(heartbeat, now_s=now_s, sender=name)


def measure_membership(
    node_count: int, *, settle_s: float = 60.0, duration_s: float = 15.0
) -> MembershipPoint:
    """Measure a fleet in which no router joins or leaves."""
    fleet = SimulatedFleet(node_count)
    fleet.run(0.0, settle_s)
    fleet.sent_bytes.clear()
    began_s = time.process_time()
    fleet.run(settle_s, settle_s + duration_s)
    cpu_s = time.process_time() - began_s
    counts = fleet.member_counts(settle_s + duration_s)
    if counts != {node_count}:
        raise RuntimeError(
            f"membership views of {node_count} routers have {sorted(counts)} members"
        )
    return MembershipPoint(
        node_count=node_count,
        contact_count=fleet.contact_count,
        bytes_per_s=fleet.sent_bytes.total() / node_count / duration_s,
        busiest_bytes_per_s=max(fleet.sent_bytes.values()) / duration_s,
        cpu_percent=PERCENT * cpu_s / duration_s / node_count,
    )


def _heartbeat(number: int) -> Heartbeat:
    return Heartbeat(
        vm_name=f"router-{number:03}",
        availability_zone=f"zone-{number % ZONE_COUNT:02}",
        incarnation=INCARNATION + number,
        host=f"10.20.{number % 250}.{number // 250 + 1}",
        port=7300,
        configuration_revision=100_000,
    )


def _exchange_bytes(sender: str, receiver: str, payload: bytes) -> int:
    call = TMemoryBuffer()
    protocol = TCompactProtocolAccelerated(call, fallback=True)
    protocol.writeMessageBegin("deliver", TMessageType.CALL, 1)
    envelope = ttypes.Envelope(
        sender=sender,
        incarnation=INCARNATION,
        sequence=INCARNATION * 1_000_000,
        receiver=receiver,
        payload=payload,
        tag=bytes(TAG_BYTES),
    )
    PeerService.deliver_args(envelope=envelope).write(protocol)
    protocol.writeMessageEnd()
    answer = TMemoryBuffer()
    protocol = TCompactProtocolAccelerated(answer, fallback=True)
    protocol.writeMessageBegin("deliver", TMessageType.REPLY, 1)
    PeerService.deliver_result(success=INCARNATION).write(protocol)
    protocol.writeMessageEnd()
    return len(call.getvalue()) + len(answer.getvalue()) + 2 * FRAME_BYTES
