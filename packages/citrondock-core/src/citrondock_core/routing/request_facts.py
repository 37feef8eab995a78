"""What is known of a request beside its bytes."""

import attrs
import xxhash

_SIGN_BIT = 1 << 63


@attrs.frozen
class PromptPart:
    """A part of a prompt that other requests may share."""

    part_id: str
    token_count: int


@attrs.frozen(kw_only=True)
class PromptFacts:
    """Size and parts of a request for a model.

    Parameters
    ----------
    model : str
        Name of the model.
    prompt_token_count : int
        Tokens of the prompt.
    max_output_token_count : int
        Most tokens that may be generated.
    parts : tuple of PromptPart
        The prompt's parts in order; the last belongs to this request or its session.
    expected_output_token_count : int or None
        The client's estimate, if it gave one.
    """

    model: str
    prompt_token_count: int
    max_output_token_count: int
    parts: tuple[PromptPart, ...]
    expected_output_token_count: int | None = None

    @property
    def affinity_key(self) -> str:
        """Model and last part that other requests share, or empty."""
        if not self.parts:
            return ""
        part = self.parts[-2 if len(self.parts) > 1 else -1]
        return f"{self.model}/{part.part_id}"

    @property
    def hashed_shared_parts(self) -> tuple[PromptPart, ...]:
        """All parts but the last, under ids of 64 bits with a sign."""
        return tuple(self._hashed(part) for part in self.parts[:-1])

    def _hashed(self, part: PromptPart) -> PromptPart:
        # What one model keeps of a part is of no use to another.
        digest = xxhash.xxh64_intdigest(f"{self.model}/{part.part_id}".encode())
        return PromptPart(str(digest - _SIGN_BIT), part.token_count)


@attrs.frozen(kw_only=True)
class RequestFacts:
    """What the router needs to know of one request.

    Parameters
    ----------
    request_id : str
        Id of this attempt of the client.
    host : str
        Host in lower case, without a port.
    path : str
        Path without its query.
    key : str or None
        Account key that came with it.
    time_left_s : float or None
        How long the client waits, if it said so.
    resume_after_event_id : int or None
        Last event that the client has already.
    prompt : PromptFacts or None
        Present for requests to models.
    """

    request_id: str
    host: str
    path: str
    key: str | None
    time_left_s: float | None
    resume_after_event_id: int | None = None
    prompt: PromptFacts | None = None
