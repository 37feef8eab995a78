"""Choice of the routers to which a router sends heartbeats in a large fleet."""

from collections.abc import Iterable, Mapping, Sequence

import attrs
import xxhash


@attrs.frozen(kw_only=True)
class Place:
    """A router and its zone."""

    vm_name: str
    availability_zone: str


def ring_order(vm_names: Iterable[str]) -> list[str]:
    """Return names in the order of their hashes, the same at every router."""
    return sorted(
        vm_names, key=lambda name: (xxhash.xxh64_intdigest(name.encode()), name)
    )


def ring_contacts(
    own: Place, others: Iterable[Place], *, zone_count: int, remote_count: int
) -> list[str]:
    """Return a constant number of contacts, spread evenly over the fleet.

    In its own zone a router sends to its successors at distances that double, so
    that news crosses a zone in a number of hops that grows with its logarithm.
    The routers of one zone share out the other zones among themselves, beginning
    with the zone that follows theirs; in a small zone each has more of them.

    Parameters
    ----------
    own : Place
        The router that chooses.
    others : iterable of Place
        Every other router that it knows.
    zone_count, remote_count : int
        Contacts in the own zone and in other zones.

    Returns
    -------
    list of str
        Names of VMs, without doubles.
    """
    zones: dict[str, list[str]] = {own.availability_zone: [own.vm_name]}
    for place in others:
        zones.setdefault(place.availability_zone, []).append(place.vm_name)
    own_ring = ring_order(zones[own.availability_zone])
    position = own_ring.index(own.vm_name)
    chosen = _successors(own_ring, position, zone_count)
    missing_count = zone_count - len(chosen)
    rings = _following_rings(zones, own.availability_zone)
    chosen += _remote(rings, position, remote_count + missing_count)
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


def _remote(rings: Sequence[list[str]], position: int, count: int) -> list[str]:
    available_count = sum(len(ring) for ring in rings)
    chosen = []
    for offset in range(min(count, available_count)):
        turn = position * count + offset
        ring = rings[turn % len(rings)]
        chosen.append(ring[(turn // len(rings)) % len(ring)])
    return chosen
