"""Sends messages to peer routers in the background."""

import queue
import ssl
import threading
import time
from collections import Counter
from collections.abc import Callable, Sequence

from citrondock_core.heartbeat import Heartbeat
from citrondock_core.messages import PeerMessage
from citrondock_router.log import log_event
from citrondock_router.metrics import RouterMetrics
from citrondock_wire.envelope import EnvelopeSigner
from citrondock_wire.message_codec import MessageCodec
from citrondock_wire.peer_client import (
    PeerAddress,
    PeerClient,
    PeerRefusedError,
    PeerUnavailableError,
)

OutgoingMessage = PeerMessage | Heartbeat

_MAX_QUEUED_MESSAGES = 2_000
_MAX_BATCH_MESSAGES = 200
_BATCH_DELAY_S = 0.03
_MIN_BATCH_DELAY_S = 0.002
_IDLE_TIMEOUT_S = 30.0
_MIN_BACKOFF_S = 0.2
_MAX_BACKOFF_S = 2.0


class _PeerLink:
    """Queue and thread that deliver messages to one peer in batches."""

    def __init__(
        self,
        client: PeerClient,
        codec: MessageCodec,
        metrics: RouterMetrics,
        on_idle: Callable[[], None],
    ) -> None:
        self.client = client
        self._codec = codec
        self._metrics = metrics
        self._on_idle = on_idle
        self._queue: queue.Queue[OutgoingMessage] = queue.Queue(_MAX_QUEUED_MESSAGES)
        self._stopping = threading.Event()
        self._backoff_until_s = 0.0
        self._backoff_s = _MIN_BACKOFF_S
        self._last_delivery_s = 0.0
        name = f"peer-{client.address.vm_name}"
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)
        self._thread.start()

    def send(self, message: OutgoingMessage) -> None:
        try:
            self._queue.put_nowait(message)
        except queue.Full:
            # Dropping it is safe: every message is repeated later or expires.
            self._metrics.count_peer_drop(self.client.address.vm_name)

    def stop(self) -> None:
        self._stopping.set()

    def _run(self) -> None:
        while not self._stopping.is_set():
            try:
                first = self._queue.get(timeout=_IDLE_TIMEOUT_S)
            except queue.Empty:
                self._on_idle()
                break
            # The short delay lets messages of one dispatch decision share an envelope.
            # Soon after a delivery, messages wait longer for others to join the batch.
            waited_s = time.monotonic() - self._last_delivery_s
            time.sleep(max(_MIN_BATCH_DELAY_S, _BATCH_DELAY_S - waited_s))
            self._deliver([first, *self._take_queued()])
            self._last_delivery_s = time.monotonic()
        self.client.close()

    def _take_queued(self) -> list[OutgoingMessage]:
        messages: list[OutgoingMessage] = []
        while len(messages) < _MAX_BATCH_MESSAGES:
            try:
                messages.append(self._queue.get_nowait())
            except queue.Empty:
                break
        return messages

    def _deliver(self, messages: Sequence[OutgoingMessage]) -> None:
        if time.monotonic() < self._backoff_until_s:
            # Messages to an unreachable peer are dropped until the next attempt.
            return
        payload = self._codec.encode(messages)
        peer = self.client.address.vm_name
        sent_before_bytes = self.client.sent_bytes
        received_before_bytes = self.client.received_bytes
        try:
            self.client.deliver(payload)
        except PeerUnavailableError as error:
            self._back_off()
            self._metrics.count_peer_failure(peer)
            log_event(
                "peer_unavailable",
                level="DEBUG",
                peer=peer,
                step=error.step,
                detail=error.reason,
            )
            return
        except PeerRefusedError as error:
            self._metrics.count_peer_failure(peer)
            log_event(
                "peer_refused_us",
                level="WARNING",
                peer=peer,
                step=error.step,
                detail=error.reason,
            )
            return
        self._backoff_s = _MIN_BACKOFF_S
        sent_bytes = self.client.sent_bytes - sent_before_bytes
        received_bytes = self.client.received_bytes - received_before_bytes
        self._metrics.count_peer_batch(
            "sent", self._sizes_by_kind(messages), sent_bytes
        )
        self._metrics.count_peer_batch("received", {}, received_bytes)

    def _sizes_by_kind(self, messages: Sequence[OutgoingMessage]) -> dict[str, int]:
        sizes: Counter[str] = Counter()
        for message in messages:
            sizes[type(message).__name__] += len(self._codec.encode([message]))
        return sizes

    def _back_off(self) -> None:
        self._backoff_until_s = time.monotonic() + self._backoff_s
        self._backoff_s = min(2 * self._backoff_s, _MAX_BACKOFF_S)


class PeerNetwork:
    """Links to peers, each opened with the first message to its peer.

    Parameters
    ----------
    signer : EnvelopeSigner
        Signs the envelopes.
    codec : MessageCodec
        Encodes the messages.
    metrics : RouterMetrics
        Counts bytes, failed deliveries and dropped messages.
    call_timeout_s : float
        Timeout of one delivery.
    tls : ssl.SSLContext or None
        Context with this router's certificate; None for connections without TLS.
    """

    def __init__(
        self,
        *,
        signer: EnvelopeSigner,
        codec: MessageCodec,
        metrics: RouterMetrics,
        call_timeout_s: float = 1.0,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self._signer = signer
        self._codec = codec
        self._metrics = metrics
        self._call_timeout_s = call_timeout_s
        self._tls = tls
        self._addresses: dict[str, PeerAddress] = {}
        self._links: dict[str, _PeerLink] = {}
        self._lock = threading.Lock()

    def set_addresses(self, addresses: Sequence[PeerAddress]) -> None:
        """Set the peers' addresses; close links to peers that moved or are gone."""
        with self._lock:
            self._addresses = {address.vm_name: address for address in addresses}
            for name, link in list(self._links.items()):
                if self._addresses.get(name) != link.client.address:
                    link.stop()
                    del self._links[name]

    def addresses(self) -> list[PeerAddress]:
        """Return the peers' addresses."""
        with self._lock:
            return list(self._addresses.values())

    def send(self, vm_name: str, message: OutgoingMessage) -> None:
        """Queue a message for a peer; it may be dropped or lost."""
        with self._lock:
            address = self._addresses.get(vm_name)
            if address is None:
                return
            link = self._links.get(vm_name)
            if link is None:
                link = _PeerLink(
                    self.open_client(address),
                    self._codec,
                    self._metrics,
                    lambda: self._remove_link(vm_name),
                )
                self._links[vm_name] = link
        link.send(message)

    def open_client(
        self, address: PeerAddress, *, timeout_s: float | None = None
    ) -> PeerClient:
        """Return a new client, for calls whose answer the caller needs."""
        return PeerClient(
            address,
            signer=self._signer,
            timeout_s=self._call_timeout_s if timeout_s is None else timeout_s,
            tls=self._tls,
        )

    def stop(self) -> None:
        """Close all links."""
        with self._lock:
            links = list(self._links.values())
            self._links.clear()
            self._addresses.clear()
        for link in links:
            link.stop()

    def _remove_link(self, vm_name: str) -> None:
        with self._lock:
            self._links.pop(vm_name, None)
