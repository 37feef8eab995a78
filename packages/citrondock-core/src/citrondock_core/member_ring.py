"""Chooses the routers to which a router sends heartbeats in a large fleet."""

from collections.abc import Iterable, Mapping, Sequence

import attrs
import xxhash


@attrs.frozen(kw_only=True)
class RingMember:
    """A router and its zone, as a member of the ring."""

    vm_name: str
    availability_zone: str


def ring_order(vm_names: Iterable[str]) -> list[str]:
    """Return the names sorted by their hashes; every router gets the same order."""
    return sorted(
        vm_names, key=lambda name: (xxhash.xxh64_intdigest(name.encode()), name)
    )


def ring_contacts(
    own: RingMember, others: Iterable[RingMember], *, zone_count: int, remote_count: int
) -> list[str]:
    """Return a bounded number of contacts, spread evenly over the fleet.

    In its own zone, a router sends to its successors on the ring at doubling
    distances, so that a change crosses the zone in a number of hops that grows with
    the logarithm of the zone's size. The routers of a zone divide the routers of the
    other zones among themselves, starting with the next zone by name; in a small
    zone, each has more remote contacts.

    Parameters
    ----------
    own : RingMember
        Router that sends the heartbeats.
    others : iterable of RingMember
        All other routers that it knows.
    zone_count, remote_count : int
        Numbers of contacts in its own zone and in other zones.

    Returns
    -------
    list of str
        Names of VMs, without duplicates.
    """
    zones: dict[str, list[str]] = {own.availability_zone: [own.vm_name]}
    for member in others:
        zones.setdefault(member.availability_zone, []).append(member.vm_name)
    own_ring = ring_order(zones[own.availability_zone])
    position = own_ring.index(own.vm_name)
    chosen = _successors(own_ring, position, zone_count)
    missing_count = zone_count - len(chosen)
    rings = _following_rings(zones, own.availability_zone)
    chosen += _remote_contacts(rings, position, remote_count + missing_count)
    return list(dict.fromkeys(chosen))


def _following_rings(
    zones: Mapping[str, list[str]], own_zone: str
) -> Sequence[list[str]]:
    names = sorted(zones)
    own_position = names.index(own_zone)
    following = names[own_position + 1 :] + names[:own_position]
    return [ring_order(zones[name]) for name in following]


def _successors(ring: list[str], position: int, count: int) -> list[str]:
    if len(ring) - 1 <= count:
        return ring[:position] + ring[position + 1 :]
    distances = [1]
    while len(distances) < count:
        step = max(1, len(ring) // 2 ** (count - len(distances)))
        distances.append(max(distances[-1] + 1, step))
    return [ring[(position + distance) % len(ring)] for distance in distances]


def _remote_contacts(
    rings: Sequence[list[str]], position: int, count: int
) -> list[str]:
    available_count = sum(len(ring) for ring in rings)
    chosen = []
    for offset in range(min(count, available_count)):
        ordinal = position * count + offset
        ring = rings[ordinal % len(rings)]
        chosen.append(ring[(ordinal // len(rings)) % len(ring)])
    return chosen
