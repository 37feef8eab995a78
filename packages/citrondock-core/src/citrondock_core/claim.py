"""The claim that lets one router send a keyed call to a target once."""

import enum

import attrs
import xxhash

from citrondock_core.claim_errors import ClaimKeyError, ClaimLapsedError

MAX_IDEMPOTENCY_KEY_CHARACTERS = 255
KEY_SEPARATOR = "\x1f"


class ClaimState(enum.Enum):
    """How far a claimed call has come.

    ``SENT`` is known to the holder alone: the store has ``HELD`` until the outcome
    is written, so that one write comes before the send and not two.
    """

    HELD = "held"
    SENT = "sent"
    FINISHED = "finished"
    UNKNOWN = "unknown"
    RELEASED = "released"


@attrs.frozen(kw_only=True)
class ClaimKey:
    """What identifies a call that must not run twice.

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
                "Idempotency-Key must have 1 to "
                f"{MAX_IDEMPOTENCY_KEY_CHARACTERS} characters"
            )

    @property
    def text(self) -> str:
        """One string, different for different keys."""
        return KEY_SEPARATOR.join((self.account, self.service, self.idempotency_key))

    def shard(self, shard_count: int) -> int:
        """Return the number of the shard that holds this key."""
        return xxhash.xxh64_intdigest(self.text.encode()) % shard_count


@attrs.frozen(kw_only=True)
class AnswerHeader:
    """A header of a kept answer."""

    name: str
    value: str


@attrs.frozen(kw_only=True)
class ClaimOutcome:
    """The first answer to a keyed call.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : tuple of AnswerHeader
        Headers that a repeated answer needs.
    body : bytes
        The body, or nothing when it wasn't kept.
    body_kept : bool
        Whether `body` is the whole body.
    """

    status: int
    headers: tuple[AnswerHeader, ...] = ()
    body: bytes = b""
    body_kept: bool = True

    def bounded(self, max_body_bytes: int) -> "ClaimOutcome":
        """Return the outcome without its body when that is too long to keep."""
        if len(self.body) <= max_body_bytes:
            return self
        return attrs.evolve(self, body=b"", body_kept=False)


@attrs.define(kw_only=True)
class Claim:
    """One router's right to send one keyed call, until a deadline.

    Parameters
    ----------
    key : ClaimKey
        What is claimed.
    token : str
        Differs between any two attempts to claim.
    send_deadline_s : float
        Monotonic time from which the call must not be sent any more.
    send_deadline_unix_s : float
        The same on the wall clock, which also counts a suspended machine's time.
    state : ClaimState
        How far the call has come.
    """

    key: ClaimKey
    token: str
    send_deadline_s: float
    send_deadline_unix_s: float
    state: ClaimState = ClaimState.HELD

    def authorise_send(self, *, now_s: float, now_unix_s: float) -> None:
        """Turn to `ClaimState.SENT`, or raise `ClaimLapsedError`."""
        if self.state is not ClaimState.HELD:
            raise ClaimLapsedError.of(f"the claim is {self.state.value}, not held")
        if now_s >= self.send_deadline_s or now_unix_s >= self.send_deadline_unix_s:
            raise ClaimLapsedError.of("the time to send under this claim is over")
        self.state = ClaimState.SENT

    def finish(self) -> None:
        """Note that the call's outcome is known."""
        self._leave_sent(ClaimState.FINISHED)

    def give_up(self) -> None:
        """Note that the call was sent and its outcome will not be known."""
        self._leave_sent(ClaimState.UNKNOWN)

    def release(self) -> None:
        """Note that the call has provably not run; the key may be claimed anew."""
        if self.state not in (ClaimState.HELD, ClaimState.SENT):
            raise ClaimLapsedError.of(f"a claim that is {self.state.value} stays")
        self.state = ClaimState.RELEASED

    def _leave_sent(self, state: ClaimState) -> None:
        if self.state is not ClaimState.SENT:
            raise ClaimLapsedError.of(f"the claim is {self.state.value}, not sent")
        self.state = state
