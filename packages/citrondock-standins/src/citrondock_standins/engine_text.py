"""Text that an engine stand-in generates, determined by the request."""

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
    """Prompt size and output of a chat request.

    Parameters
    ----------
    prompt_tokens : int
        Length of the prompt.
    blocks : sequence of str
        Ids of the full cache blocks of the prompt.
    token_count : int
        Number of tokens to generate.
    digest : str
        Hash of the prompt that starts each token, so that a response sent to the
        wrong client is noticed.
    """

    prompt_tokens: int
    blocks: Sequence[str]
    token_count: int
    digest: str

    def uncached_tokens(self, cached_blocks: int) -> int:
        """Return the prompt tokens left to process after the cached leading blocks."""
        cached_tokens = cached_blocks * BLOCK_CHARACTERS // CHARACTERS_PER_TOKEN
        return self.prompt_tokens - cached_tokens

    def token(self, index: int) -> str:
        """Return the token at an index, counted from 0."""
        return f"{self.digest}.{index} "

    def text(self) -> str:
        """Return all tokens as one text."""
        return "".join(map(self.token, range(self.token_count)))


def plan_generation(body: Mapping[str, Any]) -> Generation:
    """Return the generation for the body of a chat request.

    ``standin_tokens`` in the body sets the number of tokens, with ``max_tokens`` as
    default and upper bound. Routers don't read it, so they can't know the length of the
    response in advance.
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
    """Return the text of the complete response to a chat request."""
    return plan_generation(body).text()
