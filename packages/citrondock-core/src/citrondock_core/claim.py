"""Claims: exclusive rights to send a call with an idempotency key once."""

import enum

import attrs
import xxhash

from citrondock_core.claim_errors import ClaimKeyError, ClaimLapsedError

MAX_IDEMPOTENCY_KEY_CHARACTERS = 255
KEY_SEPARATOR = "\x1f"


class ClaimState(enum.Enum):
    """Progress of a claimed call.

    ``SENT`` exists only in the memory of the claim's holder: the store says ``HELD``
    until the outcome is written, so that a send waits for one write instead of two.
    """

    HELD = "held"
    SENT = "sent"
    FINISHED = "finished"
    UNKNOWN = "unknown"
    RELEASED = "released"


@attrs.frozen(kw_only=True)
class ClaimKey:
    """Identifies a call that must run at most once.

    Parameters
    ----------
    account, service : str
        Names of the client account and the service.
    idempotency_key : str
        The caller's key.
    """

    account: str
    service: str
    idempotency_key: str = attrs.field()

    @idempotency_key.validator
    def _check_key(self, _attribute: object, value: str) -> None:
        if not value or len(value) > MAX_IDEMPOTENCY_KEY_CHARACTERS:
            raise ClaimKeyError.of(
                "Idempotency-Key must be 1 to "
                f"{MAX_IDEMPOTENCY_KEY_CHARACTERS} characters long"
            )

    @property
    def text(self) -> str:
        """The key as one string, unique to the key."""
        return KEY_SEPARATOR.join((self.account, self.service, self.idempotency_key))

    def shard(self, shard_count: int) -> int:
        """Return the number of the shard that stores the claim of this key."""
        return xxhash.xxh64_intdigest(self.text.encode()) % shard_count


@attrs.frozen(kw_only=True)
class ResponseHeader:
    """One HTTP header of a stored response."""

    name: str
    value: str


@attrs.frozen(kw_only=True)
class ClaimOutcome:
    """The response of a target to a keyed call, stored for later attempts.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : tuple of ResponseHeader
        Headers that are sent again with the stored response.
    body : bytes
        The body; empty when it was too long to keep.
    body_kept : bool
        Whether `body` is the complete body.
    """

    status: int
    headers: tuple[ResponseHeader, ...] = ()
    body: bytes = b""
    body_kept: bool = True

    def bounded(self, max_body_bytes: int) -> "ClaimOutcome":
        """Return the outcome, without its body if that exceeds ``max_body_bytes``."""
        if len(self.body) <= max_body_bytes:
            return self
        return attrs.evolve(self, body=b"", body_kept=False)


@attrs.define(kw_only=True)
class Claim:
    """One router's exclusive right to send one keyed call until a deadline.

    Parameters
    ----------
    key : ClaimKey
        Key of the claimed call.
    token : str
        Unique id of the attempt to claim the key.
    send_deadline_s : float
        Monotonic time from which the call must no longer be sent.
    send_deadline_unix_s : float
        The same as Unix time, because the wall clock also counts the time for which
        a machine was suspended.
    state : ClaimState
        Progress of the call.
    """

    key: ClaimKey
    token: str
    send_deadline_s: float
    send_deadline_unix_s: float
    state: ClaimState = ClaimState.HELD

    def authorise_send(self, *, now_s: float, now_unix_s: float) -> None:
        """Mark the call as sent, or raise `ClaimLapsedError` if it must not be sent."""
        if self.state is not ClaimState.HELD:
            raise ClaimLapsedError.of(
                f"the claim is in state {self.state.value!r}, expected 'held'"
            )
        if now_s >= self.send_deadline_s or now_unix_s >= self.send_deadline_unix_s:
            raise ClaimLapsedError.of(
                "the deadline for sending under this claim has passed"
            )
        self.state = ClaimState.SENT

    def finish(self) -> None:
        """Mark the call as finished: its outcome is known."""
        self._leave_sent(ClaimState.FINISHED)

    def give_up(self) -> None:
        """Mark the outcome of the sent call as unknown for good."""
        self._leave_sent(ClaimState.UNKNOWN)

    def release(self) -> None:
        """Release the claim of a call that provably did not run, for a new attempt."""
        if self.state not in (ClaimState.HELD, ClaimState.SENT):
            raise ClaimLapsedError.of(
                f"a claim in state {self.state.value!r} cannot be released"
            )
        self.state = ClaimState.RELEASED

    def _leave_sent(self, state: ClaimState) -> None:
        if self.state is not ClaimState.SENT:
            raise ClaimLapsedError.of(
                f"the claim is in state {self.state.value!r}, expected 'sent'"
            )
        self.state = state
