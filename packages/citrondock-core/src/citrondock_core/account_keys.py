"""API keys of client accounts, and the salted hashes that the fleet stores."""

import hashlib
import hmac
import re

from citrondock_core.configuration import KeyHash

SECRET_BYTES = 32
SALT_BYTES = 16
SCHEME = "sha256"

_SEPARATOR = "."
_TEXT_FORM = re.compile(rf"{SCHEME}:([0-9a-f]{{8,64}}):([0-9a-f]{{64}})")


def format_key(account: str, secret: bytes) -> str:
    """Return the key of an account, as ``ACCOUNT.SECRET`` in hexadecimal.

    Parameters
    ----------
    account : str
        Name of the account.
    secret : bytes
        `SECRET_BYTES` random bytes.
    """
    return f"{account}{_SEPARATOR}{secret.hex()}"


def account_of_key(key: str) -> str:
    """Return the account that a key names; only `key_matches` proves that it is."""
    return key.rpartition(_SEPARATOR)[0]


def hash_key(key: str, *, salt: bytes) -> KeyHash:
    """Return the salted hash of a key."""
    digest = hashlib.sha256(salt + key.encode()).hexdigest()
    return KeyHash(salt=salt.hex(), digest=digest)


def key_matches(key: str, key_hash: KeyHash) -> bool:
    """Return whether a key has this hash; the comparison takes constant time."""
    given = hash_key(key, salt=bytes.fromhex(key_hash.salt))
    return hmac.compare_digest(given.digest, key_hash.digest)


def format_key_hash(key_hash: KeyHash) -> str:
    """Return a key hash as it is written in the configuration text."""
    return f"{SCHEME}:{key_hash.salt}:{key_hash.digest}"


def parse_key_hash(text: str) -> KeyHash:
    """Parse a key hash as it is written in the configuration text.

    Raises
    ------
    ValueError
        The text is not a key hash.
    """
    match = _TEXT_FORM.fullmatch(text)
    if match is None or len(match[1]) % 2:
        raise ValueError(
            "is not a key hash; make one with `citrondock accounts new-key NAME`"
        )
    return KeyHash(salt=match[1], digest=match[2])
