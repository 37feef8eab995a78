"""Choice of the routers to which a router sends heartbeats in a large fleet."""

from collections.abc import Iterable, Mapping

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
    The routers of one zone share out the other zones among themselves.

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
    rings = {zone: ring_order(names) for zone, names in zones.items()}
    own_ring = rings.pop(own.availability_zone)
    position = own_ring.index(own.vm_name)
    chosen = _successors(own_ring, position, zone_count)
    chosen += _remote(rings, position, remote_count)
    return list(dict.fromkeys(chosen))


def _successors(ring: list[str], position: int, count: int) -> list[str]:
    if len(ring) - 1 <= count:
        return ring[:position] + ring[position + 1 :]
    distances = [1]
    while len(distances) < count:
        step = max(1, len(ring) // 2 ** (count - len(distances)))
        distances.append(max(distances[-1] + 1, step))
    return [ring[(position + distance) % len(ring)] for distance in distances]


def _remote(rings: Mapping[str, list[str]], position: int, count: int) -> list[str]:
    zones = sorted(rings)
    chosen = []
    for offset in range(min(count, len(zones))):
        turn = position * count + offset
        ring = rings[zones[turn % len(zones)]]
        chosen.append(ring[(turn // len(zones)) % len(ring)])
    return chosen
