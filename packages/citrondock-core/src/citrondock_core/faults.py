"""Errors in settings and configuration texts, each with location and remedy."""

from collections.abc import Sequence

import attrs

from citrondock_core.errors import CitrondockError


@attrs.frozen
class Location:
    """A position in a text.

    Parameters
    ----------
    file : str
        Name of the file, or the command line flag that held the text.
    line, column : int
        Both count from 1; the column counts characters.
    """

    file: str
    line: int = 1
    column: int = 1

    def __str__(self) -> str:
        return f"{self.file}:{self.line}:{self.column}"


@attrs.define(eq=False)
class Fault(CitrondockError):
    """One error in a text, which its author has to correct.

    Parameters
    ----------
    location : Location
        Position of the error.
    path : str
        Keys from the root of the document, joined by dots, for example
        ``"vm.name"``.
    remedy : str
        How to correct it.
    """

    location: Location = attrs.field(kw_only=True)
    remedy: str = attrs.field(kw_only=True)
    path: str = attrs.field(kw_only=True, default="")
    step: str = attrs.field(kw_only=True, default="check")

    def __str__(self) -> str:
        subject = f"{self.path}: " if self.path else ""
        return f"{self.location}: {subject}{self.reason}; {self.remedy}"


class SyntaxFault(Fault):
    """The text is not valid JSON with comments."""


class UnknownKeyFault(Fault):
    """A key that the document's schema does not define."""


class DuplicateKeyFault(Fault):
    """A key that appears twice in one object."""


class MissingKeyFault(Fault):
    """A required key that is missing."""


class WrongTypeFault(Fault):
    """A value whose type differs from the schema."""


class InvalidValueFault(Fault):
    """A value of the right type that is out of range or otherwise invalid."""


class MissingFileFault(Fault):
    """A file that does not exist or cannot be read."""


class UnknownNameFault(Fault):
    """A reference to a name that the text does not define."""


class DuplicateFault(Fault):
    """Two values that must differ but are equal or overlap."""


class DependencyCycleFault(Fault):
    """Services that depend on each other in a cycle."""


class SettingsError(ExceptionGroup[Fault]):
    """All faults of one text, raised together."""

    def derive(self, excs: Sequence[Fault]) -> "SettingsError":  # type: ignore[override]
        """Return a group of the same type, as `ExceptionGroup` requires."""
        return SettingsError(self.message, excs)


def raise_faults(faults: Sequence[Fault], *, file: str) -> None:
    """Raise a `SettingsError` of all ``faults``, sorted by location, if any."""
    if not faults:
        return
    ordered = sorted(faults, key=lambda fault: attrs.astuple(fault.location))
    raise SettingsError(f"faults in {file}", ordered)
