"""Fetches copies of the configuration from peer routers."""

import random
from collections.abc import Sequence

from citrondock_core.errors import CitrondockError
from citrondock_router.configuration_follower import PeerConfiguration
from citrondock_router.peer_network import PeerNetwork

_MAX_PEER_COUNT = 8


def fetch_peer_copies(
    network: PeerNetwork, after_revision: int, *, rng: random.Random
) -> Sequence[PeerConfiguration]:
    """Return the copies of a few randomly chosen peers; skips those that fail.

    Parameters
    ----------
    network : PeerNetwork
        Knows the peers' addresses and opens clients for them.
    after_revision : int
        Only copies of higher revisions have a document.
    rng : random.Random
        Chooses the peers, so that a restarting fleet spreads its calls.
    """
    addresses = network.addresses()
    rng.shuffle(addresses)
    copies = []
    for address in addresses[:_MAX_PEER_COUNT]:
        client = network.open_client(address)
        try:
            copy = client.fetch_configuration(after_revision)
        except CitrondockError:
            continue
        finally:
            client.close()
        copies.append(
            PeerConfiguration(
                vm_name=address.vm_name,
                revision=copy.revision,
                document=copy.document,
            )
        )
    return copies
