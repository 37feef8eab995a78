"""State and decisions of the routers; callers do all I/O and pass in the time."""

from citrondock_core.actions import Action, Outcome, Refuse, Send, Start
from citrondock_core.dispatch_options import DispatchOptions
from citrondock_core.dispatch_policy import DispatchPolicy, policy_named
from citrondock_core.dispatch_statistics import DispatchStatistics
from citrondock_core.dispatcher import Dispatcher
from citrondock_core.load_report import LoadReport

__all__ = [
    "Action",
    "DispatchOptions",
    "DispatchPolicy",
    "DispatchStatistics",
    "Dispatcher",
    "LoadReport",
    "Outcome",
    "Refuse",
    "Send",
    "Start",
    "policy_named",
]
