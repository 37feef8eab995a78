"""How far an accepted revision has come into force."""

import time

import attrs

from citrondock_cli.command import Context
from citrondock_cli.router_client import FleetSurvey, RouterUnreachableError

POLL_PERIOD_S = 0.25


@attrs.frozen(kw_only=True)
class Propagation:
    """Where a revision is in force, as the named routers see the fleet.

    Parameters
    ----------
    revision : int
        The revision.
    in_force, behind, unreachable : tuple of str
        VMs that have it or a later one, that do not yet, and that do not answer;
        a named URL that does not answer stands for its VM.
    waited_s : float
        How long it took, in seconds.
    """

    revision: int
    in_force: tuple[str, ...] = ()
    behind: tuple[str, ...] = ()
    unreachable: tuple[str, ...] = ()
    waited_s: float = 0.0

    @property
    def is_everywhere(self) -> bool:
        """Whether every known router has it."""
        return bool(self.in_force) and not self.behind and not self.unreachable

    def lines(self) -> list[str]:
        """Return lines for people."""
        lines = [
            f"in force after {self.waited_s:.1f} s on {len(self.in_force)} routers: "
            f"{', '.join(self.in_force) or 'none'}"
        ]
        if self.behind:
            lines.append(f"not yet in force: {', '.join(self.behind)}")
        if self.unreachable:
            lines.append(f"not reached: {', '.join(self.unreachable)}")
        return lines


def wait_until_in_force(context: Context, revision: int) -> Propagation:
    """Ask the routers until all reachable ones have a revision or the wait ends."""
    started_at_s = time.monotonic()
    deadline_s = started_at_s + context.options.wait_timeout_s
    propagation = Propagation(revision=revision)
    while True:
        waited_s = time.monotonic() - started_at_s
        try:
            propagation = _propagation(context.routers.survey(), revision, waited_s)
        except RouterUnreachableError as error:
            context.output.message(str(error))
        settled = propagation.in_force and not propagation.behind
        if settled or time.monotonic() >= deadline_s:
            return propagation
        time.sleep(POLL_PERIOD_S)


def _propagation(survey: FleetSurvey, revision: int, waited_s: float) -> Propagation:
    reachable = [member for member in survey.members if member.reachable]
    silent = [member.vm_name for member in survey.members if not member.reachable]
    return Propagation(
        revision=revision,
        in_force=tuple(
            member.vm_name
            for member in reachable
            if member.configuration_revision >= revision
        ),
        behind=tuple(
            member.vm_name
            for member in reachable
            if member.configuration_revision < revision
        ),
        unreachable=(*silent, *survey.silent_urls),
        waited_s=waited_s,
    )
