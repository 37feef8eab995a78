"""Errors that refuse keyed calls because of their claims.

``ran`` states whether the call identified by the key may have run, not just this
attempt: it is ``maybe`` if another attempt with the same key is known.
"""

from typing import ClassVar, Self

import attrs

from citrondock_core.request import Ran, RefusalReason, RequestRefusedError

CLAIM_STEP = "claim"


@attrs.define(eq=False)
class ClaimError(RequestRefusedError):
    """Base of the errors that refuse a keyed call because of its claim."""

    default_cause: ClassVar[RefusalReason] = RefusalReason.CLAIM_UNAVAILABLE
    default_ran: ClassVar[Ran] = Ran.NO
    default_retry_after_s: ClassVar[float | None] = None

    @classmethod
    def of(cls, reason: str, *, peer: str = "local") -> Self:
        """Return an error with the class's cause, ``ran`` and retry delay."""
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
    """The key is malformed or was used for another request."""

    default_cause: ClassVar[RefusalReason] = RefusalReason.BAD_REQUEST


@attrs.define(eq=False)
class ClaimUnavailableError(ClaimError):
    """The claim could not be written to the store; this request was not sent."""

    default_retry_after_s: ClassVar[float | None] = 2.0


@attrs.define(eq=False)
class ClaimLapsedError(ClaimError):
    """The claim does not, or no longer, permit a send; nothing was sent."""

    default_retry_after_s: ClassVar[float | None] = 1.0


@attrs.define(eq=False)
class ClaimHeldError(ClaimError):
    """Another attempt with the same key is in progress and may run."""

    default_cause: ClassVar[RefusalReason] = RefusalReason.CLAIM_HELD
    default_ran: ClassVar[Ran] = Ran.MAYBE
    default_retry_after_s: ClassVar[float | None] = 1.0


@attrs.define(eq=False)
class ClaimUnresolvedError(ClaimError):
    """An earlier attempt with the same key may have run; its outcome is unknown."""

    default_cause: ClassVar[RefusalReason] = RefusalReason.CLAIM_HELD
    default_ran: ClassVar[Ran] = Ran.MAYBE
