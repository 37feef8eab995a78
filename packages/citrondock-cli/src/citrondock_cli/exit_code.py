"""Exit codes of the command line."""

import enum


class ExitCode(enum.IntEnum):
    """How a command ended, for scripts."""

    DONE = 0
    FAILED = 1
    """The store or the routers could not be reached; nothing was changed."""
    FAULTS = 2
    """The configuration file, the arguments or the flags are not valid."""
    CONFLICT = 3
    """Another edit was accepted first, so this one was rejected."""
    UNSETTLED = 4
    """It is unknown whether the edit was accepted; repeat it with the id shown."""
    NOT_EVERYWHERE = 5
    """The edit was accepted but not confirmed to be in force on every router."""
    NOT_FOUND = 6
    """The revision, request, account, VM or target does not exist."""
