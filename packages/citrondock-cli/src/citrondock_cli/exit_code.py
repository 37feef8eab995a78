"""Exit codes of the command line."""

import enum


class ExitCode(enum.IntEnum):
    """What a script can tell from how a command ended."""

    DONE = 0
    FAILED = 1
    """The store or the routers could not be reached; nothing was changed."""
    FAULTS = 2
    """The text, the arguments or the flags have faults."""
    CONFLICT = 3
    """Another edit was accepted first; this one was not."""
    UNSETTLED = 4
    """The edit may or may not be accepted; repeat it with the edit id shown."""
    NOT_EVERYWHERE = 5
    """Accepted, but not confirmed in force on every live router."""
    NOT_FOUND = 6
    """No such revision, request, account, VM or target."""
