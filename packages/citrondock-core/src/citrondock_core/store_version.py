"""Versions of a store that may come back from an older copy.

Such a store gives out the same numbers again. A version therefore holds the era beside
the number, so that versions of different eras differ and a later era's are greater.
"""

NUMBERS_PER_ERA = 2**48


def version_in(era: int, number: int) -> int:
    """Return the version with a number that the store gave out in an era."""
    return era * NUMBERS_PER_ERA + number


def era_of(version: int) -> int:
    """Return the era of a version; 0 if the store has never come back from a copy."""
    return version // NUMBERS_PER_ERA


def number_of(version: int) -> int:
    """Return the number that the store knows a version by."""
    return version % NUMBERS_PER_ERA
