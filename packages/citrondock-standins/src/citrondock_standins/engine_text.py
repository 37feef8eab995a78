"""What a model engine stand-in generates, as a function of the request."""

import json
from collections.abc import Mapping, Sequence
from typing import Any

import attrs
import xxhash

from citrondock_standins.prefix_cache import BLOCK_CHARACTERS, block_ids

CHARACTERS_PER_TOKEN = 4
DEFAULT_MAX_TOKENS = 64


@attrs.frozen(kw_only=True)
class Generation:
    """What a chat request makes an engine do.

    Parameters
    ----------
    prompt_tokens : int
        Length of the prompt.
    blocks : sequence of str
        Ids of the prompt's whole blocks.
    token_count : int
        Tokens that are generated.
    digest : str
        Begins each token, so that answers can't be mixed up unseen.
    """

    prompt_tokens: int
    blocks: Sequence[str]
    token_count: int
    digest: str

    def uncached_tokens(self, cached_blocks: int) -> int:
        """Return the prompt tokens to process when leading blocks are cached."""
        cached_tokens = cached_blocks * BLOCK_CHARACTERS // CHARACTERS_PER_TOKEN
        return self.prompt_tokens - cached_tokens

    def token(self, index: int) -> str:
        """Return one token; the first has index 0."""
        return f"{self.digest}.{index} "

    def text(self) -> str:
        """Return the whole answer."""
        return "".join(map(self.token, range(self.token_count)))


def plan_generation(body: Mapping[str, Any]) -> Generation:
    """Return what a chat request generates.

    ``standin_tokens`` in the body is the length of the answer, unknown to whoever
    routes it; without it, or above ``max_tokens``, ``max_tokens`` is.
    """
    messages: Sequence[Mapping[str, Any]] = body["messages"]
    prompt = json.dumps(messages, sort_keys=True)
    max_tokens = int(body.get("max_tokens", DEFAULT_MAX_TOKENS))
    token_count = min(max_tokens, int(body.get("standin_tokens", max_tokens)))
    return Generation(
        prompt_tokens=len(prompt) // CHARACTERS_PER_TOKEN + 1,
        blocks=block_ids(prompt),
        token_count=max(1, token_count),
        digest=xxhash.xxh64(prompt.encode()).hexdigest()[:8],
    )


def expected_text(body: Mapping[str, Any]) -> str:
    """Return the text that a whole answer to a chat request holds."""
    return plan_generation(body).text()
