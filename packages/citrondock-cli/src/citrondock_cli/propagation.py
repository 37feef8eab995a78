"""Waits until an accepted revision is in force on the routers."""

import time

import attrs

from citrondock_cli.command import Context
from citrondock_cli.router_client import FleetSurvey, RouterUnreachableError

POLL_PERIOD_S = 0.25


@attrs.frozen(kw_only=True)
class Propagation:
    """Routers on which a revision is in force, as the given routers see the fleet.

    Parameters
    ----------
    revision : int
        The accepted revision.
    in_force, behind, unreachable : tuple of str
        VMs with this or a later revision, VMs with an earlier one, and VMs that do
        not answer. A given URL that does not answer is listed in place of its VM.
    waited_s : float
        Time waited so far, in seconds.
    """

    revision: int
    in_force: tuple[str, ...] = ()
    behind: tuple[str, ...] = ()
    unreachable: tuple[str, ...] = ()
    waited_s: float = 0.0

    @property
    def is_everywhere(self) -> bool:
        """Whether the revision is in force on every known router."""
        return bool(self.in_force) and not self.behind and not self.unreachable

    def lines(self) -> list[str]:
        """Return the lines to print."""
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
    """Poll the routers until all reachable ones have a revision, or a timeout."""
    started_at_s = time.monotonic()
    deadline_s = started_at_s + context.options.wait_timeout_s
    propagation = Propagation(revision=revision)
    while True:
        waited_s = time.monotonic() - started_at_s
        try:
            propagation = _propagation(context.routers.survey(), revision, waited_s)
        except RouterUnreachableError as error:
            context.output.message(str(error))
        in_force_on_reachable = propagation.in_force and not propagation.behind
        if in_force_on_reachable or time.monotonic() >= deadline_s:
            return propagation
        time.sleep(POLL_PERIOD_S)


def _propagation(survey: FleetSurvey, revision: int, waited_s: float) -> Propagation:
    reachable = [member for member in survey.members if member.reachable]
    unreachable = [member.vm_name for member in survey.members if not member.reachable]
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
        unreachable=(*unreachable, *survey.silent_urls),
        waited_s=waited_s,
    )
