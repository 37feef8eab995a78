"""Generates configurations of any size and random edits of them."""

import json
import random
from typing import Any

Document = dict[str, dict[str, Any]]


def synthetic_document(
    *, account_count: int, target_count: int, rng: random.Random
) -> Document:
    """Return a configuration document with one engine pool and three models."""
    targets = {
        f"engine-{index}": {
            "availability_zone": f"zone-{index % 12}",
            "host": f"10.{index // 250}.{index % 250}.7",
            "port": 8000,
            "max_in_flight": rng.choice((8, 16, 32)),
        }
        for index in range(target_count)
    }
    return {
        "accounts": {
            f"account-{index}": _account(rng) for index in range(account_count)
        },
        "pools": {"engines": {"kind": "engine", "targets": targets}},
        "services": {
            f"model-{index}": {
                "kind": "chat",
                "pool": "engines",
                "model": f"m{index}",
            }
            for index in range(3)
        },
    }


def _account(rng: random.Random) -> dict[str, Any]:
    return {"weight": rng.choice((1, 1, 1, 4)), "key_hashes": [_key_hash(rng)]}


def _key_hash(rng: random.Random) -> str:
    return f"sha256:{rng.randbytes(16).hex()}:{rng.randbytes(32).hex()}"


def change_document(document: Document, rng: random.Random) -> None:
    """Make one random edit in place.

    Change an account's weight, replace its key, add an account, or start or stop
    draining a target.
    """
    accounts = document["accounts"]
    name = rng.choice(list(accounts))
    kind = rng.choice(("weight", "key", "account", "drain"))
    if kind == "account":
        accounts[f"account-{rng.randbytes(6).hex()}"] = _account(rng)
    elif kind == "drain":
        pool = document["pools"]["engines"]
        targets = pool["targets"]
        target = targets[rng.choice(list(targets))]
        target["draining"] = not target.get("draining", False)
    elif kind == "key":
        accounts[name]["key_hashes"] = [_key_hash(rng)]
    else:
        accounts[name]["weight"] = rng.uniform(1, 9)


def document_text(document: Document) -> bytes:
    """Return the document as the JSON text that an operator would apply."""
    return json.dumps(document, indent=2).encode()
