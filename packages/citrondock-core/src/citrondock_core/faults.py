"""Faults of a text that operators wrote, each with its place and remedy."""

from collections.abc import Sequence

import attrs

from citrondock_core.errors import CitrondockError


@attrs.frozen
class Location:
    """Where something stands in a text.

    Parameters
    ----------
    file : str
        File, or the command line flag that held the text.
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
    """Something in a text that has to be changed.

    Parameters
    ----------
    location : Location
        Where it stands.
    path : str
        Dotted names from the root of the document, for example ``"vm.name"``.
    remedy : str
        What to do about it.
    """

    location: Location = attrs.field(kw_only=True)
    remedy: str = attrs.field(kw_only=True)
    path: str = attrs.field(kw_only=True, default="")
    step: str = attrs.field(kw_only=True, default="check")

    def __str__(self) -> str:
        subject = f"{self.path}: " if self.path else ""
        return f"{self.location}: {subject}{self.reason}; {self.remedy}"


class SyntaxFault(Fault):
    """The text is not JSON with comments."""


class UnknownKeyFault(Fault):
    """A key that the document does not have."""


class DuplicateKeyFault(Fault):
    """A key that stands twice in one object."""


class MissingKeyFault(Fault):
    """A required key that is not there."""


class WrongTypeFault(Fault):
    """A value of another type."""


class InvalidValueFault(Fault):
    """A value of the right type that cannot be used."""


class MissingFileFault(Fault):
    """A file that cannot be read."""


class UnknownNameFault(Fault):
    """A reference to something that the text does not define."""


class DuplicateFault(Fault):
    """Two things that must differ and do not."""


class DependencyCycleFault(Fault):
    """Services that need each other in a circle."""


class SettingsError(ExceptionGroup[Fault]):
    """All faults of one text."""

    def derive(self, excs: Sequence[Fault]) -> "SettingsError":  # type: ignore[override]
        """Return a group of the same type, as `ExceptionGroup` asks."""
        return SettingsError(self.message, excs)


def raise_faults(faults: Sequence[Fault], *, file: str) -> None:
    """Raise a `SettingsError` of ``faults`` in the order of the text, if any."""
    if not faults:
        return
    ordered = sorted(faults, key=lambda fault: attrs.astuple(fault.location))
    raise SettingsError(f"faults in {file}", ordered)
