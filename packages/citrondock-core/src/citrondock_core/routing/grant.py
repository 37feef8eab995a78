"""What routers say to each other about the engines that they are homes of."""

import enum

import attrs

from citrondock_core.routing.request_facts import PromptPart


class Verdict(enum.Enum):
    """What a home says to a router that wants to send a prompt."""

    GRANTED = 1
    QUEUED = 2
    REFUSED = 3


class Stage(enum.Enum):
    """How far a request got that a home granted."""

    STARTED = 1
    ENDED = 2
    FAILED = 3
    WITHDRAWN = 4


@attrs.frozen(kw_only=True)
class GrantKey:
    """Names one ask: the life of the router that asks, and its number there."""

    incarnation: int
    number: int


@attrs.frozen(kw_only=True)
class GrantRequest:
    """Wish to send one prompt to one engine.

    Parameters
    ----------
    key : GrantKey
        Names it.
    target_id : str
        Engine.
    account : str
        Account that pays for it.
    kind : str
        Kind of request, for equal service of all kinds.
    prompt_tokens, output_tokens : int
        Tokens of the prompt, and expected ones of the answer.
    shared_parts : tuple of PromptPart
        Leading parts that other prompts share.
    on_time_until_s : float
        When its first answer is late.
    wait_until_s : float
        When the asker gives up.
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

    @property
    def memory_tokens(self) -> int:
        """Tokens of the engine's memory that it needs to the end."""
        return self.prompt_tokens + self.output_tokens


@attrs.frozen(kw_only=True)
class GrantAnswer:
    """A home's answer.

    Parameters
    ----------
    key : GrantKey
        Ask that it answers.
    verdict : Verdict
        Whether the prompt may be sent, waits, or must go elsewhere.
    first_answer_s : float
        Predicted time from now to the first token.
    """

    key: GrantKey
    verdict: Verdict
    first_answer_s: float


@attrs.frozen(kw_only=True)
class GrantProgress:
    """News of a request that a home granted or has queued."""

    key: GrantKey
    target_id: str
    stage: Stage


@attrs.frozen(kw_only=True)
class EngineBacklog:
    """Load of an engine as its home sees it.

    Parameters
    ----------
    target_id : str
        Engine.
    backlog_s : float
        Time until all prompts granted or queued so far are read.
    speed_percent : int
        Its prefill rate against the usual one, in coarse steps.
    """

    target_id: str
    backlog_s: float
    speed_percent: int
