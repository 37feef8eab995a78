"""Handles the calls that peer routers make to this router."""

from collections.abc import Callable, Sequence

import pykka

from citrondock_core.heartbeat import Heartbeat
from citrondock_core.messages import Member
from citrondock_router.configuration_follower import ConfigurationFollower
from citrondock_router.dispatch_actor import Receive
from citrondock_router.membership_actor import ReceiveHeartbeats
from citrondock_router.metrics import RouterMetrics
from citrondock_wire.envelope import Sender
from citrondock_wire.gen.citrondock_peer.ttypes import ConfigurationCopy
from citrondock_wire.message_codec import BadMessageError, MessageCodec
from citrondock_wire.peer_server import PeerHandler

_ENVELOPE_OVERHEAD_BYTES = 110


class PeerInbox(PeerHandler):
    """Passes peers' messages to the actors; serves configuration and explanations.

    Parameters
    ----------
    codec : MessageCodec
        Decodes received messages.
    dispatch : pykka.ActorRef
        Actor that gets all messages except heartbeats.
    follower : ConfigurationFollower
        Holds the configuration that peers may fetch.
    find_member : callable
        Returns the live member with a VM name, or None.
    metrics : RouterMetrics
        Counts the received bytes.
    """

    def __init__(
        self,
        *,
        codec: MessageCodec,
        dispatch: pykka.ActorRef,
        follower: ConfigurationFollower,
        find_member: Callable[[str], Member | None],
        metrics: RouterMetrics,
    ) -> None:
        self._codec = codec
        self._membership: pykka.ActorRef | None = None
        self._dispatch = dispatch
        self._follower = follower
        self._find_member = find_member
        self._explain: Callable[[str], list[str]] = lambda _subject: []
        self._metrics = metrics

    def attach(
        self, membership: pykka.ActorRef, *, explain: Callable[[str], list[str]]
    ) -> None:
        """Set the actor for heartbeats and the function that explains requests."""
        self._membership = membership
        self._explain = explain

    def deliver(self, sender: Sender, payload: bytes) -> None:
        """Decode a batch of messages and pass it to the actors.

        Messages other than heartbeats are ignored unless their sender is a live member
        of the same incarnation.

        Raises
        ------
        ValueError
            The batch cannot be decoded.
        """
        try:
            messages = self._codec.decode(payload, peer=sender.vm_name)
        except BadMessageError as error:
            raise ValueError(error.reason) from error
        heartbeats = [m for m in messages if isinstance(m, Heartbeat)]
        others = [m for m in messages if not isinstance(m, Heartbeat)]
        if heartbeats and self._membership is not None:
            self._membership.tell(ReceiveHeartbeats(sender.vm_name, heartbeats))
        member = self._find_member(sender.vm_name)
        if others and member is not None and member.incarnation == sender.incarnation:
            self._dispatch.tell(Receive(member, others))
        self._count(messages, len(payload))

    def configuration_copy(self, after_revision: int) -> ConfigurationCopy:
        """Return the revision in force, with its document if it is newer."""
        configuration = self._follower.configuration
        document = self._follower.encode_if_newer(after_revision)
        return ConfigurationCopy(revision=configuration.revision, document=document)

    def explain(self, subject: str) -> list[str]:
        """Return what this router knows of a request."""
        return self._explain(subject)

    def _count(self, messages: Sequence[object], payload_bytes: int) -> None:
        kinds = {type(message).__name__ for message in messages}
        kind = kinds.pop() if len(kinds) == 1 else "Mixed"
        self._metrics.count_peer_batch(
            "received", {kind: payload_bytes}, payload_bytes + _ENVELOPE_OVERHEAD_BYTES
        )
