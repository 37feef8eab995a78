"""Messages between routers about sending prompts to engines.

Each engine has one home router, chosen by rendezvous hashing. Every router requests a
grant from it before it sends a prompt to the engine.
"""

import enum

import attrs

from citrondock_core.routing.engine_speed import FIRST_TOKEN_BASE_S
from citrondock_core.routing.request_facts import PromptPart

PLAIN_REQUEST_TOKENS = 1
"""Output tokens of a grant request for a plain request, which takes up one slot. A
grant request without any tokens is for a permit."""

OUTPUT_TOKEN_WEIGHT = 2
"""Prompt tokens that one generated token counts as in the usage of an account."""


class Verdict(enum.Enum):
    """A home router's decision on a grant request."""

    GRANTED = 1
    QUEUED = 2
    REFUSED = 3


class RefusalReason(enum.Enum):
    """Why a grant request was refused."""

    ACCOUNT_QUEUE_FULL = 1
    WAITED_OUT = 2
    LIMIT_REACHED = 3
    TARGET_GONE = 4
    NO_ANSWER = 5


class Stage(enum.Enum):
    """Progress of a granted or queued request."""

    STARTED = 1
    ENDED = 2
    FAILED = 3
    WITHDRAWN = 4


@attrs.frozen(kw_only=True)
class GrantKey:
    """Identifies a grant request: the requesting router's incarnation and a number."""

    incarnation: int
    number: int


@attrs.frozen(kw_only=True)
class GrantRequest:
    """Request to send one prompt to one engine.

    Parameters
    ----------
    key : GrantKey
        Identifies the grant request.
    target_id : str
        Id of the engine.
    account : str
        Account that the usage is charged to.
    kind : str
        Kind of the client's request; kinds are served in equal ratios.
    prompt_tokens, output_tokens : int
        Tokens of the prompt, and expected tokens of the output.
    shared_parts : tuple of PromptPart
        Leading parts that other prompts share.
    on_time_until_s : float
        Loop time after which a first token is late.
    wait_until_s : float
        Loop time at which the requesting router gives up.
    continues_stream : bool
        Whether the client has part of the stream already.
    """

    key: GrantKey
    target_id: str
    account: str
    kind: str
    prompt_tokens: int
    output_tokens: int
    shared_parts: tuple[PromptPart, ...]
    on_time_until_s: float
    wait_until_s: float
    continues_stream: bool = False

    @property
    def memory_tokens(self) -> int:
        """Tokens of the engine's memory that the request takes up until it ends."""
        return self.prompt_tokens + self.output_tokens

    @property
    def charged_tokens(self) -> int:
        """Tokens that the usage of the account grows by if it is granted."""
        return self.prompt_tokens + OUTPUT_TOKEN_WEIGHT * self.output_tokens

    @property
    def is_permit(self) -> bool:
        """Whether it is for one plain request, which only a limit can hold back."""
        return self.memory_tokens == 0


@attrs.frozen(kw_only=True)
class GrantAnswer:
    """A home router's answer to a grant request.

    Parameters
    ----------
    key : GrantKey
        Grant request that it answers.
    verdict : Verdict
        Whether the prompt may be sent, waits in the queue, or must go elsewhere.
    first_answer_s : float
        Predicted time from now to the first token.
    refusal_reason : RefusalReason or None
        Why the prompt must go elsewhere; None if it need not, or if unknown.
    account_tokens : int or None
        Recent usage of the account as the home router counts it; None for a grant.
    """

    key: GrantKey
    verdict: Verdict
    first_answer_s: float
    refusal_reason: RefusalReason | None = None
    account_tokens: int | None = None


@attrs.frozen(kw_only=True)
class GrantProgress:
    """Report to a home router about a request that it granted or queued."""

    key: GrantKey
    target_id: str
    stage: Stage


@attrs.frozen(kw_only=True)
class EngineBacklog:
    """Load of an engine, as its home router reports it.

    Parameters
    ----------
    target_id : str
        Id of the engine.
    backlog_s : float
        Time until the engine takes a further request: until it has read all prompts
        granted or queued so far, or until it has a free slot, whichever is later.
    speed_percent : int
        Its prefill rate in percent of the nominal rate, rounded to coarse steps.
    first_token_base_s : float
        Time to the first token of an empty prompt on it while it is idle.
    age_s : float
        Time since its home router reported this.
    """

    target_id: str
    backlog_s: float
    speed_percent: int
    first_token_base_s: float = FIRST_TOKEN_BASE_S
    age_s: float = 0.0
