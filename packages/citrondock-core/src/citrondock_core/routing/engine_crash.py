"""Report that an engine crashed, and which prompt parts may have caused it."""

import attrs


@attrs.frozen(kw_only=True)
class EngineCrash:
    """Crash of one incarnation of an engine.

    Parameters
    ----------
    target_id : str
        Id of the engine.
    address : str
        Host and port; another incarnation of the engine has the same.
    suspected_parts : tuple of str
        Hashed ids of the shared parts of prompts whose connection ended before the
        response had begun.
    """

    target_id: str
    address: str
    suspected_parts: tuple[str, ...] = ()
