"""Refusals of keyed calls.

``ran`` speaks of the action that the key names as far as the router knows of it:
where another attempt under the same key is known, the refusal says ``maybe``.
"""

from typing import ClassVar, Self

import attrs

from citrondock_core.request import Ran, RefusalReason, RequestRefusedError

CLAIM_STEP = "claim"


@attrs.define(eq=False)
class ClaimError(RequestRefusedError):
    """A keyed call was refused by its claim."""

    default_cause: ClassVar[RefusalReason] = RefusalReason.CLAIM_UNAVAILABLE
    default_ran: ClassVar[Ran] = Ran.NO
    default_retry_after_s: ClassVar[float | None] = None

    @classmethod
    def of(cls, reason: str, *, peer: str = "local") -> Self:
        """Return the error with the cause and ``ran`` of its class."""
        return cls(
            reason,
            step=CLAIM_STEP,
            peer=peer,
            cause=cls.default_cause,
            ran=cls.default_ran,
            retry_after_s=cls.default_retry_after_s,
        )


@attrs.define(eq=False)
class ClaimKeyError(ClaimError):
    """The key is malformed, or was used for another request."""

    default_cause: ClassVar[RefusalReason] = RefusalReason.BAD_REQUEST


@attrs.define(eq=False)
class ClaimUnavailableError(ClaimError):
    """The store can't take a claim now; this request was not sent."""

    default_retry_after_s: ClassVar[float | None] = 2.0


@attrs.define(eq=False)
class ClaimLapsedError(ClaimError):
    """The claim gives no right to send, or not any more; nothing was sent."""

    default_retry_after_s: ClassVar[float | None] = 1.0


@attrs.define(eq=False)
class ClaimHeldError(ClaimError):
    """Another attempt under the same key is under way and may run."""

    default_cause: ClassVar[RefusalReason] = RefusalReason.CLAIM_HELD
    default_ran: ClassVar[Ran] = Ran.MAYBE
    default_retry_after_s: ClassVar[float | None] = 1.0


@attrs.define(eq=False)
class ClaimUnresolvedError(ClaimError):
    """An earlier attempt under the same key may have run; nobody knows."""

    default_cause: ClassVar[RefusalReason] = RefusalReason.CLAIM_HELD
    default_ran: ClassVar[Ran] = Ran.MAYBE
