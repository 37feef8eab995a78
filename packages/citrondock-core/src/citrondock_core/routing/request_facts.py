"""Properties of a request that routing decisions depend on."""

import attrs
import xxhash

_SIGN_BIT = 1 << 63


@attrs.frozen
class PromptPart:
    """Id and size of a part of a prompt, which other requests may share."""

    part_id: str
    token_count: int


@attrs.frozen(kw_only=True)
class PromptFacts:
    """Size and parts of the prompt of a request to a model.

    Parameters
    ----------
    model : str
        Name of the model.
    prompt_token_count : int
        Tokens of the prompt.
    max_output_token_count : int
        Most tokens that may be generated.
    parts : tuple of PromptPart
        The prompt's parts in order; the last one belongs to this request or its session
        alone.
    expected_output_token_count : int or None
        The client's estimate of the generated tokens, if it gave one.
    """

    model: str
    prompt_token_count: int
    max_output_token_count: int
    parts: tuple[PromptPart, ...]
    expected_output_token_count: int | None = None

    @property
    def affinity_key(self) -> str:
        """Key of prompts that should go to the same engine; empty without parts.

        It is the model and the last part that other requests may share.
        """
        if not self.parts:
            return ""
        part = self.parts[-2 if len(self.parts) > 1 else -1]
        return f"{self.model}/{part.part_id}"

    @property
    def hashed_shared_parts(self) -> tuple[PromptPart, ...]:
        """All parts but the last, with ids hashed to signed 64-bit integers."""
        return tuple(self._hashed(part) for part in self.parts[:-1])

    def _hashed(self, part: PromptPart) -> PromptPart:
        # The model is hashed too, as one model's cached part is useless to another.
        digest = xxhash.xxh64_intdigest(f"{self.model}/{part.part_id}".encode())
        return PromptPart(str(digest - _SIGN_BIT), part.token_count)


@attrs.frozen(kw_only=True)
class RequestFacts:
    """Properties of one request from a client.

    Parameters
    ----------
    request_id : str
        Id of this attempt; a client that sends a request again uses a new one.
    host : str
        Host in lower case, without a port.
    path : str
        Path without its query.
    key : str or None
        Account key, if the request carries one.
    time_left_s : float or None
        Time until the client's deadline, if it gave one.
    resume_after_event_id : int or None
        Last event that the client has received, if it resumes a stream.
    begun_by_request_id : str or None
        Attempt that brought the first event of that stream, if the client names it.
    prompt : PromptFacts or None
        The prompt; None for requests that go to no model.
    """

    request_id: str
    host: str
    path: str
    key: str | None
    time_left_s: float | None
    resume_after_event_id: int | None = None
    begun_by_request_id: str | None = None
    prompt: PromptFacts | None = None
